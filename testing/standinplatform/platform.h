#ifndef NUTMEGLOOM_TESTING_STANDINPLATFORM_PLATFORM_H
#define NUTMEGLOOM_TESTING_STANDINPLATFORM_PLATFORM_H

#include "testing/support/httpserver.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace nutmegloom::testing {

/// A stand-in of the platform: objects with versions, conditional updates and
/// watches, and the lagging list of hosts.
class Platform {
public:
  Platform(boost::asio::io_context &Io, const std::string &Address);

  std::string address() const { return Server_->address(); }

private:
  struct Object {
    std::uint64_t Version = 0;
    std::string Value;
  };
  struct Watch {
    std::uint64_t Number = 0;
    HttpCall Call;
    std::string Name;
    std::uint64_t After = 0;
    std::unique_ptr<boost::asio::steady_timer> Timer;
  };

  void onCall(const HttpCall &Call);
  void setFaults(const HttpCall &Call);
  void afterDelay(std::function<void()> Work);
  void getObject(const HttpCall &Call, const std::string &Name);
  void putObject(const HttpCall &Call, const std::string &Name);
  void watchObject(const HttpCall &Call, const std::string &Name);
  void endWatches(const std::string &Name);
  void setHosts(const HttpCall &Call);
  void respondWith(const HttpCall &Call, const Object &Found);
  void finish(const HttpCall &Call, const HttpReply &Reply);

  boost::asio::io_context &Io_;
  std::map<std::string, Object> Objects_;
  std::list<Watch> Watches_;
  std::uint64_t NextWatch_ = 1;
  /// JSON text of the list that callers see.
  std::string Hosts_;
  std::uint64_t HostsVersion_ = 0;
  std::uint64_t ShownHostsVersion_ = 0;
  std::map<std::string, std::uint64_t> Counters_;
  bool Outage_ = false;
  std::chrono::milliseconds Delay_{0};
  std::chrono::milliseconds ListLag_{0};
  std::uint64_t LoseAnswers_ = 0;
  std::shared_ptr<HttpServer> Server_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINPLATFORM_PLATFORM_H
