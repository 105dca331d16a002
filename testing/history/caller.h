#ifndef NUTMEGLOOM_TESTING_HISTORY_CALLER_H
#define NUTMEGLOOM_TESTING_HISTORY_CALLER_H

#include "protocol/httpconnection.h"
#include "testing/history/operation.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

namespace nutmegloom::testing {

/// Workload of a caller. Shares are probabilities from 0 to 1.
struct CallerOptions {
  /// Caller addresses of the hosts, as "IP:port".
  std::vector<std::string> Hosts;
  std::string Service;
  std::uint64_t Groups = 1;
  /// Lists in each group.
  std::uint64_t Lists = 5;
  std::uint64_t Operations = 100;
  std::uint64_t Seed = 1;
  double WriteShare = 0.5;
  /// Reads that state a maximum age.
  double MaxAgeShare = 0.2;
  double TransactionShare = 0.1;
  /// Operations before which the caller switches to the next host.
  double HostSwitchShare = 0.2;
  /// Pause after each operation.
  Milliseconds Pause{0};
  /// Deadline of each request.
  std::uint64_t TimeoutMs = 5000;
  /// Most attempts of a write, or of a transaction's commit, with the same
  /// idempotency key.
  std::uint64_t Attempts = 20;
};

/// A caller that sends operations one after the other and records each in the
/// history. It takes its session token along when it switches hosts, and
/// retries a write of unknown outcome at another host with the same idempotency
/// key.
class HistoryCaller : public std::enable_shared_from_this<HistoryCaller> {
public:
  HistoryCaller(boost::asio::io_context &Io, CallerOptions Options,
                std::string Name, std::ostream &Output,
                std::function<void()> OnDone);

  /// Sends the random operations, then calls OnDone.
  void start();
  /// Reads each list at the primary, with retries until the read succeeds, then
  /// calls OnDone.
  void startFinalReads();

private:
  /// Null: there was no response, and the outcome is already stored.
  using ResponseHandler = std::function<void(const HttpResponse *)>;

  void sendNextOperation();
  void sendFinalRead(std::size_t Number);
  void begin(HistoryOperation Operation);
  void afterPause(Milliseconds Pause, std::function<void()> Work);
  void post(const std::string &Target, const nlohmann::json &Body,
            const std::string &Key, ResponseHandler Handler);
  void exchange(HttpRequest Request, ResponseHandler Handler);
  void sendStatement();
  void beginTransaction();
  void sendStep(const std::string &Transaction, std::size_t StepIndex);
  void commit(const std::string &Transaction, std::uint64_t Attempt);
  /// Stores the response's outcome and error in Current_ and its result in
  /// Step, which may be null.
  void parseResponse(const HttpResponse *Response, HistoryStep *Step);
  void finish();
  void switchHost();
  bool drawWithProbability(double Share);
  std::uint64_t randomBelow(std::uint64_t Limit);
  nlohmann::json statementOf(const HistoryStep &Step) const;

  boost::asio::io_context &Io_;
  CallerOptions Options_;
  std::string Name_;
  std::ostream &Output_;
  std::function<void()> OnDone_;
  std::mt19937_64 Random_;
  boost::asio::steady_timer Timer_;
  std::shared_ptr<HttpConnection> Http_;
  std::size_t Host_ = 0;
  std::string Token_;
  std::uint64_t SessionNumber_ = 1;
  /// Number of the current operation, and of its attempt.
  std::uint64_t Number_ = 0;
  std::uint64_t Attempt_ = 0;
  /// The current operation is a read with a maximum age.
  bool UsesMaxAge_ = false;
  HistoryOperation Current_;
  std::function<void()> AfterOperation_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_HISTORY_CALLER_H
