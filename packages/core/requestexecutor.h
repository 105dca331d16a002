#ifndef NUTMEGLOOM_CORE_REQUESTEXECUTOR_H
#define NUTMEGLOOM_CORE_REQUESTEXECUTOR_H

#include "core/executorcontext.h"
#include "core/readvalidator.h"
#include "core/replicaselector.h"
#include "core/retrybudget.h"
#include "core/timerqueue.h"
#include "core/transactions.h"

namespace nutmegloom {

/// States of a task at its owner.
enum class TaskState { Waiting, Queued, Sent, Confirming, Checking, Resolving };
std::string_view nameOf(TaskState State);

/// Serves the tasks of the groups that this host owns: chooses a database,
/// sends, confirms and settles. Hands steps of transactions to
/// TransactionSystem.
class RequestExecutor {
public:
  struct Hooks {
    std::function<void(TaskId, const CallerAnswer &)> Answer;
    Dispatcher::Hooks Databases;
    std::function<std::string()> NewIdentifier;
  };

  /// FirstExchange: see Dispatcher.
  RequestExecutor(Tables &Data, const Policy &Limits,
                  const OwnershipSystem &Owners, const TermCheck &Terms,
                  const PeerHeartbeat &Self, ExchangeId FirstExchange,
                  EngineCounters &Counters, Hooks Callbacks);
  ~RequestExecutor();

  void submit(TaskId Task, const CallerRequest &Request, TimePoint Now);
  /// Whoever waits for the task has gone. No answer is given for it.
  void cancel(TaskId Task, TimePoint Now);

  void onConnectionOpened(ConnectionId Connection, TimePoint Now);
  void onConnectionClosed(ConnectionId Connection, TimePoint Now);
  void onDatabaseAnswer(ConnectionId Connection, const DatabaseAnswer &Answer,
                        TimePoint Now);
  void onDatabaseFailure(ConnectionId Connection,
                         const DatabaseFailure &Failure, TimePoint Now);
  void onStatus(const DatabaseStatus &Status, TimePoint Now);
  /// A group was removed or its primary changed without a status.
  void onGroupChanged(const GroupId &Group);

  void tick(TimePoint Now);
  /// Refuses new transactions, so that their callers begin them elsewhere.
  void beginDrain();
  bool isIdle() const;
  /// True when work of the group is in progress here.
  bool isInUse(const GroupId &Group) const;
  /// Work that waits for a primary or in the queue of a database.
  std::size_t waitingIn(const GroupEntity &Group) const;

private:
  struct Task {
    TaskId Id = 0;
    CallerRequest Request;
    TaskState State = TaskState::Waiting;
    /// Order of arrival.
    std::uint64_t Sequence = 0;
    TimePoint Timer;
    DatabaseId Database;
    bool AtPrimary = false;
    std::uint64_t Term = 0;
    WorkId Work = 0;
    ExchangeId Exchange = 0;
    /// The database may have executed the statement at least once.
    bool MayHaveRun = false;
    /// A database has promised this term, so lower ones are of no use.
    std::uint64_t MinimumTerm = 0;
    std::optional<TimePoint> RetryAt;
    /// Databases that failed to serve this read.
    std::set<DatabaseId> ExcludedDatabases;
    /// Why the settlement began.
    ErrorCode Cause = ErrorCode::NoPrimary;
  };

  Task *find(TaskId Id);
  bool isWrite(const Task &Target) const;
  void setState(Task &Target, TaskState State);
  void setTimer(Task &Target, TimePoint At);

  void dispatch(Task &Target, TimePoint Now);
  void enqueue(Task &Target, const DatabaseId &Database, bool AtPrimary,
               TimePoint Now);
  void redirect(Task &Target, const RegionName &Region);
  void moveToWaiting(Task &Target, Milliseconds Pause, TimePoint Now);
  void dispatchWaiting(TimePoint Now);
  void recheckQueued(TimePoint Now);

  void onStart(TaskId Id, WorkId Work, ConnectionId Connection, TimePoint Now);
  void send(Task &Target, ConnectionId Connection, std::uint64_t Term,
            TimePoint Now);
  void onResult(TaskId Id, const ExchangeResult &Result, TimePoint Now);
  void onReadAnswer(Task &Target, const DatabaseAnswer &Answer, TimePoint Now);
  void onReadFailure(Task &Target, const DatabaseFailure &Failure,
                     TimePoint Now);
  void onWriteAnswer(Task &Target, const DatabaseAnswer &Answer, TimePoint Now);
  void onWriteFailure(Task &Target, const DatabaseFailure &Failure,
                      TimePoint Now);
  bool onRefusal(Task &Target, const DatabaseFailure &Failure, TimePoint Now);
  void confirm(Task &Target, std::optional<Position> Wanted,
               CallerAnswer PendingAnswer);
  void resolveOutcome(Task &Target, ErrorCode Cause);

  void onTimer(Task &Target, TimePoint Now);
  void expire(Task &Target, TimePoint Now);
  void dequeue(Task &Target, TimePoint Now);
  void finish(Task &Target, const CallerAnswer &Answer);

  Tables &Data_;
  const Policy &Limits_;
  const TermCheck &Terms_;
  EngineCounters &Counters_;
  Hooks Hooks_;
  GroupAccess Access_;
  Dispatcher Databases_;
  ConfirmationQueue Confirmations_;
  OutcomeResolver Resolver_;
  ExecutorContext Context_;
  TransactionManager Transactions_;
  ReadValidator Validator_;
  ReplicaSelector Selector_;
  RetryBudget Budget_;
  std::map<TaskId, Task> Tasks_;
  std::map<WorkId, TaskId> TaskOf_;
  TimerQueue Timers_;
  /// Waiting tasks of each group in order of arrival.
  std::map<GroupId, std::map<std::uint64_t, TaskId>> Waiting_;
  std::uint64_t LastSequence_ = 0;
  std::optional<TimePoint> NextDispatchAt_;
  std::optional<TimePoint> NextRecheckAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_REQUESTEXECUTOR_H
