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

struct CallerOptions {
  std::vector<std::string> Hosts;
  std::string Service;
  std::uint64_t Groups = 1;
  std::uint64_t Lists = 5;
  std::uint64_t Operations = 100;
  std::uint64_t Seed = 1;
  double WriteShare = 0.5;
  double MaxAgeShare = 0.2;
  double TransactionShare = 0.1;
  double HostSwitchShare = 0.2;
  Milliseconds Pause{0};
  std::uint64_t TimeoutMs = 5000;
  /// Attempts with one idempotency key.
  std::uint64_t Attempts = 20;
};

/// One caller: sends one operation after the other and records each. It moves
/// between hosts with its session token, and repeats a write of unknown
/// outcome with its key at another host.
class HistoryCaller : public std::enable_shared_from_this<HistoryCaller> {
public:
  HistoryCaller(boost::asio::io_context &Io, CallerOptions Options,
                std::string Name, std::ostream &Output,
                std::function<void()> OnDone);

  /// Sends the seeded mix of operations.
  void start();
  /// Reads every list at the primary until each read has succeeded.
  void startFinalReads();

private:
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
  /// Stores the outcome, error and result of a response.
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
  std::uint64_t Number_ = 0;
  std::uint64_t Attempt_ = 0;
  bool UsesMaxAge_ = false;
  HistoryOperation Current_;
  std::function<void()> AfterOperation_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_HISTORY_CALLER_H
