#ifndef NUTMEGLOOM_TESTING_LOADTOOL_LOADRUN_H
#define NUTMEGLOOM_TESTING_LOADTOOL_LOADRUN_H

#include "testing/loadtool/loadreport.h"
#include "testing/loadtool/workload.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace nutmegloom::testing {

struct LoadOptions {
  std::vector<std::string> Hosts;
  /// Requests per second of the open loop; zero means the closed loop.
  double Rate = 0;
  /// Closed loop: requests in progress. Open loop: most connections per host.
  std::uint64_t Connections = 16;
  Milliseconds Warmup{0};
  Milliseconds Duration{5000};
  Milliseconds Timeout{10000};
};

/// One run of the load. Latency counts from the planned arrival, so that a
/// slow server isn't hidden by requests that were never sent.
class LoadRun {
public:
  LoadRun(boost::asio::io_context &Io, LoadOptions Options, Workload &Requests,
          const LoadTarget &Target, std::size_t Sessions, LoadReport &Report);

  void start();

private:
  struct Session {
    std::string Token;
    std::size_t Host = 0;
  };
  struct Pending {
    LoadRequest Request;
    TimePoint Planned;
  };
  struct Host {
    std::string Address;
    std::deque<std::shared_ptr<HttpConnection>> Idle;
    std::uint64_t Open = 0;
    std::deque<Pending> Waiting;
  };

  void scheduleArrival();
  void startNextClosed();
  void dispatch(Pending Work);
  void sendOn(std::size_t HostIndex,
              const std::shared_ptr<HttpConnection> &Connection, Pending Work);
  void release(std::size_t HostIndex,
               const std::shared_ptr<HttpConnection> &Connection);
  void finish(const Pending &Work, const LoadResult &Result);

  boost::asio::io_context &Io_;
  LoadOptions Options_;
  Workload &Requests_;
  const LoadTarget &Target_;
  LoadReport &Report_;
  std::vector<Session> Sessions_;
  std::vector<Host> Hosts_;
  boost::asio::steady_timer Arrival_;
  TimePoint NextArrival_;
  TimePoint MeasureFrom_;
  TimePoint End_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_LOADTOOL_LOADRUN_H
