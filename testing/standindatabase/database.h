#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_DATABASE_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_DATABASE_H

#include "testing/standindatabase/faults.h"
#include "testing/standindatabase/journal.h"
#include "testing/standindatabase/replicatedlog.h"
#include "testing/standindatabase/replicationclient.h"
#include "testing/standindatabase/statementexecutor.h"
#include "testing/support/httpserver.h"

#include <nlohmann/json_fwd.hpp>

#include <list>
#include <map>
#include <memory>
#include <string>

namespace nutmegloom::testing {

struct DatabaseOptions {
  std::string Id;
  std::string Group;
  std::string ServiceAddress;
  std::string ControlAddress;
  std::size_t Slots = 5;
  std::size_t ConnectionCap = 35;
  std::chrono::milliseconds ConnectionCost{0};
  std::string DataFolder;
  /// "self" or the control address of the primary of term 1.
  std::string InitialPrimary;
};

/// A stand-in database: the service port and the control port over one
/// replicated log.
class Database {
public:
  Database(boost::asio::io_context &Io, const DatabaseOptions &Options);

  void start();
  std::string serviceAddress() const { return Service_->address(); }
  std::string controlAddress() const { return Control_->address(); }

private:
  struct Transaction {
    std::uint64_t Session = 0;
    std::uint64_t Term = 0;
    StatementView View;
  };
  /// A status or log request that waits for a change.
  struct LongPoll {
    std::uint64_t Number = 0;
    HttpCall Call;
    /// The change happened, or the time expired.
    std::function<bool()> IsReady;
    std::function<void()> Answer;
    std::unique_ptr<boost::asio::steady_timer> Timer;
  };
  struct ServiceRequest;

  void onServiceCall(const HttpCall &Call);
  void onControlCall(const HttpCall &Call);
  std::chrono::milliseconds onServiceOpen(std::uint64_t Session);
  void onServiceClose(std::uint64_t Session);

  void executeStatement(const std::shared_ptr<ServiceRequest> &Request);
  void runStatement(const std::shared_ptr<ServiceRequest> &Request);
  void begin(const std::shared_ptr<ServiceRequest> &Request);
  void executeInTransaction(const std::shared_ptr<ServiceRequest> &Request);
  void commit(const std::shared_ptr<ServiceRequest> &Request);
  void rollback(const std::shared_ptr<ServiceRequest> &Request);
  void closeKey(const std::shared_ptr<ServiceRequest> &Request);
  /// Answers from the key's record if it has one.
  bool answerFromKey(const std::shared_ptr<ServiceRequest> &Request);
  Transaction *findTransaction(const std::shared_ptr<ServiceRequest> &Request);
  nlohmann::json describePosition(const Position &At) const;
  void answer(const std::shared_ptr<ServiceRequest> &Request,
              nlohmann::json Body);
  void reject(const std::shared_ptr<ServiceRequest> &Request, int Status,
              const std::string &Code, const std::string &Detail = "");
  void finish(const std::shared_ptr<ServiceRequest> &Request,
              const HttpReply &Reply);

  nlohmann::json status() const;
  void answerWhen(const HttpCall &Call, std::function<bool()> IsReady,
                  std::function<void()> Answer);
  void onChange();
  void executeCommand(const HttpCall &Call);
  void serveLog(const HttpCall &Call);
  void setFaults(const HttpCall &Call);
  void applyFaults(const nlohmann::json &Body, std::uint64_t Session);
  nlohmann::json counters() const;
  void incrementCounter(const std::string &Name) { ++Counters_[Name]; }

  boost::asio::io_context &Io_;
  DatabaseOptions Options_;
  std::string Boot_;
  std::unique_ptr<Journal> Journal_;
  ReplicatedLog Log_;
  DatabaseFaults Faults_;
  StatementExecutor Executor_;
  std::shared_ptr<ReplicationClient> Replication_;
  std::map<std::string, Transaction> Transactions_;
  std::list<LongPoll> LongPolls_;
  /// Service connections and whether each is within the cap.
  std::map<std::uint64_t, bool> Connections_;
  std::multiset<std::string> Executing_;
  std::map<std::string, std::uint64_t> Counters_;
  std::uint64_t NextTransaction_ = 1;
  std::uint64_t NextLongPoll_ = 1;
  std::shared_ptr<HttpServer> Service_;
  std::shared_ptr<HttpServer> Control_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_DATABASE_H
