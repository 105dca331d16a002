#ifndef NUTMEGLOOM_CORE_REQUESTEXECUTOR_H
#define NUTMEGLOOM_CORE_REQUESTEXECUTOR_H

#include "core/executorcontext.h"
#include "core/readvalidator.h"
#include "core/replicaselector.h"
#include "core/retrybudget.h"
#include "core/timerqueue.h"
#include "core/transactions.h"

namespace nutmegloom {

/// States of a request at its owner. In Confirming, a write waits until a
/// majority holds its log position; in Checking, a read at the primary waits
/// until a majority has confirmed the term; in Resolving, the outcome of a
/// write is being resolved.
enum class TaskState { Waiting, Queued, Sent, Confirming, Checking, Resolving };
std::string_view nameOf(TaskState State);

/// Executes the requests of the groups that this host owns: selects a database,
/// sends the statement, waits for its confirmation and resolves unknown
/// outcomes. Passes steps of transactions to TransactionManager.
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
  /// Cancels a request whose caller or forwarding peer has disconnected. No
  /// answer is sent.
  void cancel(TaskId Task, TimePoint Now);

  void onConnectionOpened(ConnectionId Connection, TimePoint Now);
  void onConnectionClosed(ConnectionId Connection, TimePoint Now);
  void onDatabaseAnswer(ConnectionId Connection, const DatabaseAnswer &Answer,
                        TimePoint Now);
  void onDatabaseFailure(ConnectionId Connection,
                         const DatabaseFailure &Failure, TimePoint Now);
  void onStatus(const DatabaseStatus &Status, TimePoint Now);
  /// Has answers of the group that wait for a confirmation checked again.
  void onGroupChanged(const GroupId &Group);

  void tick(TimePoint Now);
  /// Refuses new transactions, so that callers begin them at another host.
  void beginDrain();
  bool isIdle() const;
  /// True if requests or transactions of the group are in progress on this
  /// host.
  bool isInUse(const GroupId &Group) const;
  /// Number of the group's requests that wait for a primary or in the queue of
  /// a database.
  std::size_t waitingIn(const GroupEntity &Group) const;

private:
  struct Task {
    TaskId Id = 0;
    CallerRequest Request;
    TaskState State = TaskState::Waiting;
    /// Order of arrival.
    std::uint64_t Sequence = 0;
    /// Time of the entry for this request in Timers_.
    TimePoint TimerDue;
    DatabaseId Database;
    /// The request is sent to the primary under a confirmed term.
    bool AtPrimary = false;
    std::uint64_t Term = 0;
    WorkId Work = 0;
    ExchangeId Exchange = 0;
    /// The database may have executed the statement at least once.
    bool MayHaveRun = false;
    /// The primary refused the request because it had promised this term. Lower
    /// terms must not be tried again.
    std::uint64_t MinimumTerm = 0;
    std::optional<TimePoint> RetryAt;
    /// Databases that failed to serve this read.
    std::set<DatabaseId> ExcludedDatabases;
    /// Error because of which the outcome had to be resolved.
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
  /// Waiting requests of each group in order of arrival.
  std::map<GroupId, std::map<std::uint64_t, TaskId>> Waiting_;
  std::uint64_t LastSequence_ = 0;
  std::optional<TimePoint> NextDispatchAt_;
  std::optional<TimePoint> NextRecheckAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_REQUESTEXECUTOR_H
