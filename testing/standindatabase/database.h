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
  /// Replication group, as "service/number".
  std::string Group;
  std::string ServiceAddress;
  std::string ControlAddress;
  /// Statements that are executed at the same time.
  std::size_t Slots = 5;
  /// Connections of the service port that are served at the same time.
  std::size_t ConnectionCap = 35;
  /// Delay before the first request of a new service connection is read.
  std::chrono::milliseconds ConnectionCost{0};
  /// Folder of the journal; created if it is absent.
  std::string DataFolder;
  /// "self" or the control address of the primary of term 1. Only used while
  /// the journal is empty.
  std::string InitialPrimary;
};

/// Simulated database: a service port for statements and a control port for
/// status, replication, failover commands and fault injection, on top of one
/// replicated log.
class Database {
public:
  Database(boost::asio::io_context &Io, const DatabaseOptions &Options);

  /// Starts replication from the primary if this database is a replica.
  void start();
  std::string serviceAddress() const { return Service_->address(); }
  std::string controlAddress() const { return Control_->address(); }

private:
  struct Transaction {
    /// Connection that began it; its end discards the transaction.
    std::uint64_t Session = 0;
    std::uint64_t Term = 0;
    StatementView View;
  };
  /// A status or log request that is held until there is a change to report.
  struct LongPoll {
    std::uint64_t Number = 0;
    HttpCall Call;
    /// True once there is a change. The request is also answered when Timer
    /// expires.
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
  /// Answers from the recorded outcome of the request's idempotency key.
  /// Returns false, without an answer, if the key has none.
  bool answerFromKey(const std::shared_ptr<ServiceRequest> &Request);
  /// The request's open transaction. If there is none, or the term has changed,
  /// rejects the request and returns null.
  Transaction *findTransaction(const std::shared_ptr<ServiceRequest> &Request);
  nlohmann::json describePosition(const Position &At) const;
  void answer(const std::shared_ptr<ServiceRequest> &Request,
              nlohmann::json Body);
  void reject(const std::shared_ptr<ServiceRequest> &Request, int Status,
              const std::string &Code, const std::string &Detail = "");
  void finish(const std::shared_ptr<ServiceRequest> &Request,
              const HttpReply &Reply);

  nlohmann::json status() const;
  /// Calls Answer when IsReady returns true or the call's wait_ms have passed.
  void answerWhen(const HttpCall &Call, std::function<bool()> IsReady,
                  std::function<void()> Answer);
  /// Answers the held requests whose change has happened.
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
  /// Open service connections by number; true if accepted within the cap.
  std::map<std::uint64_t, bool> Connections_;
  /// Exchange names of the requests that have no answer yet.
  std::multiset<std::string> Executing_;
  std::map<std::string, std::uint64_t> Counters_;
  std::uint64_t NextTransaction_ = 1;
  std::uint64_t NextLongPoll_ = 1;
  std::shared_ptr<HttpServer> Service_;
  std::shared_ptr<HttpServer> Control_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_DATABASE_H
