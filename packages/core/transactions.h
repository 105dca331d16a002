#ifndef NUTMEGLOOM_CORE_TRANSACTIONS_H
#define NUTMEGLOOM_CORE_TRANSACTIONS_H

#include "core/executorcontext.h"
#include "core/timerqueue.h"

#include <deque>
#include <set>

namespace nutmegloom {

/// Executes interactive transactions. Each transaction uses one connection of
/// its own. The connection returns to the pool after a confirmed commit or
/// rollback and is closed otherwise.
class TransactionManager {
public:
  explicit TransactionManager(ExecutorContext &Context);

  /// Accepts a Begin, TransactionStatement, Commit or Rollback request.
  void submit(TaskId Task, const CallerRequest &Request, TimePoint Now);
  /// The caller of the step has disconnected. A statement's transaction is
  /// rolled back; a commit or rollback continues.
  void cancel(TaskId Task, TimePoint Now);
  void onConnectionClosed(ConnectionId Connection, TimePoint Now);
  /// The scheduler removed the work of a step because it is too late.
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
    /// Time of the entry for this step in Timers_.
    TimePoint TimerDue;
    /// A Begin is not repeated before this time.
    std::optional<TimePoint> RetryAt;
    DatabaseId Database;
    std::uint64_t Term = 0;
    WorkId Work = 0;
    ExchangeId Exchange = 0;
    /// Error because of which the outcome had to be resolved.
    ErrorCode Cause = ErrorCode::TransactionLost;
    /// The caller has disconnected, so no answer is sent.
    bool CallerGone = false;
  };
  struct Transaction {
    GroupId Group;
    DatabaseId Database;
    ConnectionId Connection = 0;
    std::uint64_t Term = 0;
    /// Transaction identifier assigned by the database.
    std::string DatabaseTransaction;
    TimePoint Deadline;
    /// Step in progress; zero if there is none.
    TaskId Step = 0;
  };

  Step *findStep(TaskId Task);
  Transaction *findTransaction(const std::string &Id);

  void begin(Step &Target, TimePoint Now);
  void execute(Step &Target, TimePoint Now);
  void commit(Step &Target, TimePoint Now);
  void rollBack(Step &Target, TimePoint Now);
  /// Marks the step as in progress in its transaction. If the transaction is
  /// not open or has another step in progress, answers with an error and
  /// returns false.
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

  /// Rolls back the transaction of the step and answers the step with
  /// TransactionLost.
  void failTransaction(Step &Target, const std::string &Detail, TimePoint Now);
  /// Removes the transaction. Its connection returns to the pool if
  /// ReuseConnection is set and is closed otherwise.
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
  /// The most recent transactions that ended without a commit, oldest first.
  std::deque<std::string> RecentlyRolledBack_;
  bool Draining_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TRANSACTIONS_H
