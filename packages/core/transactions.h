#ifndef NUTMEGLOOM_CORE_TRANSACTIONS_H
#define NUTMEGLOOM_CORE_TRANSACTIONS_H

#include "core/executorcontext.h"
#include "core/timerqueue.h"

#include <deque>
#include <set>

namespace nutmegloom {

/// Serves interactive transactions. Each holds one connection until the
/// database has confirmed that nothing is open on it.
class TransactionManager {
public:
  explicit TransactionManager(ExecutorContext &Context);

  /// Begin, TransactionStatement, Commit or Rollback.
  void submit(TaskId Task, const CallerRequest &Request, TimePoint Now);
  /// The caller of the step has gone: its transaction is rolled back, but a
  /// commit goes on.
  void cancel(TaskId Task, TimePoint Now);
  void onConnectionClosed(ConnectionId Connection, TimePoint Now);
  /// Work of a step was removed from its queue.
  void onExpired(WorkId Work, TimePoint Now);
  void tick(TimePoint Now);
  void beginDrain() { Draining_ = true; }
  bool isIdle() const { return Transactions_.empty() && Steps_.empty(); }
  bool isInUse(const GroupId &Group) const;

private:
  enum class StepState { Waiting, Queued, Sent, Confirming, Resolving };
  /// A step that is in progress.
  struct Step {
    TaskId Id = 0;
    CallerRequest Request;
    StepState State = StepState::Waiting;
    TimePoint Timer;
    std::optional<TimePoint> RetryAt;
    DatabaseId Database;
    std::uint64_t Term = 0;
    WorkId Work = 0;
    ExchangeId Exchange = 0;
    ErrorCode Cause = ErrorCode::TransactionLost;
    /// The caller has gone.
    bool CallerGone = false;
  };
  struct Transaction {
    GroupId Group;
    DatabaseId Database;
    ConnectionId Connection = 0;
    std::uint64_t Term = 0;
    /// The database's own id.
    std::string DatabaseTransaction;
    TimePoint Deadline;
    /// Step in progress; zero: none.
    TaskId Step = 0;
  };

  Step *findStep(TaskId Task);
  Transaction *findTransaction(const std::string &Id);

  void begin(Step &Target, TimePoint Now);
  void execute(Step &Target, TimePoint Now);
  void commit(Step &Target, TimePoint Now);
  void rollBack(Step &Target, TimePoint Now);
  bool startStep(Step &Target);

  void onStart(TaskId Task, WorkId Work, ConnectionId Connection,
               TimePoint Now);
  void send(Step &Target, DatabaseOperation Operation, ConnectionId Connection,
            TimePoint Now);
  void onResult(TaskId Task, ConnectionId Connection,
                const ExchangeResult &Result, TimePoint Now);
  void onBegun(Step &Target, ConnectionId Connection,
               const ExchangeResult &Result, TimePoint Now);
  void onExecuted(Step &Target, const ExchangeResult &Result, TimePoint Now);
  void onCommitted(Step &Target, const ExchangeResult &Result, TimePoint Now);
  void onRolledBack(Step &Target, const ExchangeResult &Result, TimePoint Now);
  void resolveOutcome(Step &Target, ErrorCode Cause, TimePoint Now);
  void onTimer(Step &Target, TimePoint Now);

  void failTransaction(Step &Target, const std::string &Detail, TimePoint Now);
  void endTransaction(const std::string &Id, bool ReuseConnection,
                      TimePoint Now);
  void expireTransactions(TimePoint Now);
  void finish(Step &Target, const CallerAnswer &Answer);
  std::size_t openTransactionsAt(const DatabaseId &Database) const;

  ExecutorContext &Context_;
  std::map<TaskId, Step> Steps_;
  std::map<std::string, Transaction> Transactions_;
  std::map<ConnectionId, std::string> TransactionOf_;
  std::set<std::pair<TimePoint, std::string>> Expiries_;
  std::map<WorkId, TaskId> StepOf_;
  TimerQueue Timers_;
  /// Latest transactions that ended without a commit, oldest first.
  std::deque<std::string> RecentlyRolledBack_;
  bool Draining_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TRANSACTIONS_H
