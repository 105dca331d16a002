#include "core/transactions.h"

#include "core/termcheck.h"
#include "core/transactionid.h"

#include <algorithm>

namespace nutmegloom {

/// Suggested delay before a retry while a commit is in progress.
static constexpr Milliseconds CommitRetryAfter{100};
/// Delay before a failed begin is repeated.
static constexpr Milliseconds BeginRetryPause{20};
/// Number of rolled-back transactions that are remembered, so that a late
/// rollback request for one of them is answered with its outcome.
static constexpr std::size_t MaximumRememberedRollbacks = 4096;

TransactionManager::TransactionManager(ExecutorContext &Context)
    : Context_(Context) {}

TransactionManager::Step *TransactionManager::findStep(TaskId Task) {
  const auto Found = Steps_.find(Task);
  return Found == Steps_.end() ? nullptr : &Found->second;
}

TransactionManager::Transaction *
TransactionManager::findTransaction(const std::string &Id) {
  const auto Found = Transactions_.find(Id);
  return Found == Transactions_.end() ? nullptr : &Found->second;
}

std::size_t
TransactionManager::openTransactionsAt(const DatabaseId &Database) const {
  return static_cast<std::size_t>(std::count_if(
      Transactions_.begin(), Transactions_.end(),
      [&](const auto &Entry) { return Entry.second.Database == Database; }));
}

bool TransactionManager::isInUse(const GroupId &Group) const {
  const auto InGroup = [&](const auto &Entry) {
    return Entry.second.Group == Group;
  };
  return std::any_of(Transactions_.begin(), Transactions_.end(), InGroup) ||
         std::any_of(Steps_.begin(), Steps_.end(), [&](const auto &Entry) {
           return Entry.second.Request.Group == Group;
         });
}

void TransactionManager::submit(TaskId Task, const CallerRequest &Request,
                                TimePoint Now) {
  Step &Target = Steps_[Task];
  Target.Id = Task;
  Target.Request = Request;
  Target.TimerDue = Request.Deadline;
  Timers_.add(Target.TimerDue, Task);
  switch (Request.Step) {
  case RequestStep::Begin:
    if (Draining_)
      finish(Target, makeError(Outcome::NotRun, ErrorCode::NotReady,
                               "the host is stopping"));
    else
      begin(Target, Now);
    return;
  case RequestStep::TransactionStatement:
    execute(Target, Now);
    return;
  case RequestStep::Commit:
    commit(Target, Now);
    return;
  case RequestStep::Rollback:
    rollBack(Target, Now);
    return;
  case RequestStep::Statement:
  case RequestStep::ResolveOutcome:
    break;
  }
  finish(Target, makeError(Outcome::NotRun, ErrorCode::Internal,
                           "not a step of a transaction"));
}

void TransactionManager::begin(Step &Target, TimePoint Now) {
  const PrimaryAccess Access =
      Context_.Access.primaryOf(Target.Request.Group, Now);
  if (Access.State == PrimaryAccess::Kind::Redirect) {
    ++Context_.Counters.Redirected;
    CallerAnswer Answer =
        makeError(Outcome::NotRun, ErrorCode::NoPrimary,
                  "the group is served in region \"" + Access.Region + "\"");
    Answer.RedirectRegion = Access.Region;
    finish(Target, Answer);
    return;
  }
  // Half of the connections are reserved for single statements.
  const std::size_t Limit = std::max<std::size_t>(
      1, Context_.Databases.pool().connectionLimitOf(Access.Database) / 2);
  const std::size_t Opening = static_cast<std::size_t>(
      std::count_if(Steps_.begin(), Steps_.end(), [&](const auto &Entry) {
        return Entry.second.Request.Step == RequestStep::Begin &&
               Entry.second.State != StepState::Waiting &&
               Entry.second.Database == Access.Database;
      }));
  if (Access.State != PrimaryAccess::Kind::Ready ||
      openTransactionsAt(Access.Database) + Opening >= Limit) {
    const auto Waiting =
        std::count_if(Steps_.begin(), Steps_.end(), [](const auto &Entry) {
          return Entry.second.State == StepState::Waiting;
        });
    if (Waiting > static_cast<std::ptrdiff_t>(Context_.Limits.WaitingRequests))
      finish(Target, makeError(Outcome::NotRun, ErrorCode::Overloaded,
                               "too many transactions wait to begin",
                               NoPrimaryRetryAfter));
    return;
  }
  ScheduledWork Work;
  Work.WorkClass = Target.Request.WorkClass;
  Work.Caller = Target.Request.Caller;
  Work.Deadline = Target.Request.Deadline;
  const auto Admitted = Context_.Databases.enqueue(
      Access.Database, Work, true,
      [this, Task = Target.Id](WorkId Id, ConnectionId Connection,
                               TimePoint At) {
        onStart(Task, Id, Connection, At);
      },
      Now);
  if (const auto *Refusal = std::get_if<AdmissionRefusal>(&Admitted)) {
    ++Context_.Counters.Refused;
    finish(Target, makeError(Outcome::NotRun, ErrorCode::Overloaded,
                             "the queue for database \"" + Access.Database +
                                 "\" is full, or the expected wait is too long",
                             Refusal->RetryAfter));
    return;
  }
  Target.Work = std::get<WorkId>(Admitted);
  Target.Database = Access.Database;
  Target.State = StepState::Queued;
  StepOf_[Target.Work] = Target.Id;
}

bool TransactionManager::startStep(Step &Target) {
  Transaction *Open = findTransaction(Target.Request.Transaction);
  if (Open == nullptr) {
    finish(Target, makeError(Outcome::NotRun, ErrorCode::TransactionLost,
                             "the transaction is not open"));
    return false;
  }
  if (Open->Step != 0) {
    finish(Target, makeError(Outcome::NotRun, ErrorCode::BadRequest,
                             "another step of the transaction is in progress"));
    return false;
  }
  Open->Step = Target.Id;
  Target.Database = Open->Database;
  Target.Term = Open->Term;
  return true;
}

void TransactionManager::execute(Step &Target, TimePoint Now) {
  if (!startStep(Target))
    return;
  ScheduledWork Work;
  Work.WorkClass = Target.Request.WorkClass;
  Work.Caller = Target.Request.Caller;
  Work.StatementDigest = Target.Request.StatementDigest;
  Work.Deadline = Target.Request.Deadline;
  const auto Admitted = Context_.Databases.enqueue(
      Target.Database, Work, false,
      [this, Task = Target.Id](WorkId Id, ConnectionId, TimePoint At) {
        onStart(Task, Id, 0, At);
      },
      Now);
  if (const auto *Refusal = std::get_if<AdmissionRefusal>(&Admitted)) {
    ++Context_.Counters.Refused;
    finish(Target, makeError(Outcome::NotRun, ErrorCode::Overloaded,
                             "the queue for database \"" + Target.Database +
                                 "\" is full, or the expected wait is too long",
                             Refusal->RetryAfter));
    return;
  }
  Target.Work = std::get<WorkId>(Admitted);
  Target.State = StepState::Queued;
  StepOf_[Target.Work] = Target.Id;
}

void TransactionManager::commit(Step &Target, TimePoint Now) {
  Transaction *Open = findTransaction(Target.Request.Transaction);
  if (Open == nullptr) {
    // This may be a retry of a commit. Resolve the outcome of the first one by
    // its idempotency key.
    resolveOutcome(Target, ErrorCode::TransactionLost, Now);
    return;
  }
  const Step *Running = findStep(Open->Step);
  if (Running != nullptr && Running->Request.Step == RequestStep::Commit) {
    finish(Target, makeError(Outcome::Unknown, ErrorCode::OutcomeUnknown,
                             "the commit is in progress", CommitRetryAfter));
    return;
  }
  if (!startStep(Target))
    return;
  // A commit bypasses the queue, because the transaction keeps its locks until
  // the commit is executed.
  send(Target, DatabaseOperation::Commit, Open->Connection, Now);
}

void TransactionManager::rollBack(Step &Target, TimePoint Now) {
  Transaction *Open = findTransaction(Target.Request.Transaction);
  if (Open == nullptr) {
    // A transaction that isn't known here may have been committed.
    if (std::find(RecentlyRolledBack_.begin(), RecentlyRolledBack_.end(),
                  Target.Request.Transaction) == RecentlyRolledBack_.end())
      finish(
          Target,
          makeError(Outcome::Unknown, ErrorCode::TransactionLost,
                    "the transaction is not open; if a commit was sent, repeat "
                    "it with the same key to get its outcome"));
    else
      finish(Target,
             makeError(Outcome::NotRun, ErrorCode::None, std::string()));
    return;
  }
  Step *Running = findStep(Open->Step);
  if (Running != nullptr && Running->Request.Step == RequestStep::Commit) {
    finish(Target, makeError(Outcome::Unknown, ErrorCode::BadRequest,
                             "the commit is in progress"));
    return;
  }
  if (Running != nullptr) {
    failTransaction(*Running, "the transaction was rolled back", Now);
    finish(Target, makeError(Outcome::NotRun, ErrorCode::None, std::string()));
    return;
  }
  if (startStep(Target))
    send(Target, DatabaseOperation::Rollback, Open->Connection, Now);
}

void TransactionManager::onStart(TaskId Task, WorkId Work,
                                 ConnectionId Connection, TimePoint Now) {
  StepOf_.erase(Work);
  Step *Target = findStep(Task);
  if (Target == nullptr || Target->State != StepState::Queued ||
      Target->Work != Work) {
    Context_.Databases.finishWork(Work, Connection, Now);
    return;
  }
  if (Target->Request.Step == RequestStep::Begin) {
    const PrimaryAccess Access =
        Context_.Access.primaryOf(Target->Request.Group, Now);
    if (Access.State != PrimaryAccess::Kind::Ready ||
        Access.Database != Target->Database) {
      Context_.Databases.finishWork(Work, Connection, Now);
      Target->State = StepState::Waiting;
      return;
    }
    Target->Term = Access.Term;
    send(*Target, DatabaseOperation::Begin, Connection, Now);
    return;
  }
  const Transaction *Open = findTransaction(Target->Request.Transaction);
  if (Open == nullptr) {
    Context_.Databases.finishWork(Work, 0, Now);
    return;
  }
  send(*Target, DatabaseOperation::TransactionStatement, Open->Connection, Now);
}

void TransactionManager::send(Step &Target, DatabaseOperation Operation,
                              ConnectionId Connection, TimePoint Now) {
  DatabaseRequest Request;
  Request.Operation = Operation;
  Request.Term = Target.Term;
  Request.Kind = Target.Request.Kind;
  Request.Statement = Target.Request.Statement;
  Request.TraceParent = Target.Request.TraceParent;
  if (const Transaction *Open = findTransaction(Target.Request.Transaction))
    Request.Transaction = Open->DatabaseTransaction;
  if (Operation == DatabaseOperation::Commit) {
    Request.Key = Target.Request.Key;
    Request.Fingerprint = Target.Request.Fingerprint;
    Timers_.remove(Target.TimerDue, Target.Id);
    Target.TimerDue = resolutionStartOf(Target.Request.Deadline, Now);
    Timers_.add(Target.TimerDue, Target.Id);
  }
  Dispatcher::SendOptions Options;
  Options.Work = Target.Work;
  Options.KeepConnection = true;
  Options.StatementDigest = Target.Request.StatementDigest;
  Target.State = StepState::Sent;
  Target.Exchange = Context_.Databases.send(
      Connection, std::move(Request), Options,
      [this, Task = Target.Id, Connection](const ExchangeResult &Result,
                                           TimePoint At) {
        onResult(Task, Connection, Result, At);
      },
      Now);
}

void TransactionManager::onResult(TaskId Task, ConnectionId Connection,
                                  const ExchangeResult &Result, TimePoint Now) {
  Step *Target = findStep(Task);
  if (Target == nullptr || Target->State != StepState::Sent) {
    Context_.Databases.closeConnection(Connection, Now);
    return;
  }
  Target->Exchange = 0;
  switch (Target->Request.Step) {
  case RequestStep::Begin:
    onBegun(*Target, Connection, Result, Now);
    return;
  case RequestStep::TransactionStatement:
    onExecuted(*Target, Result, Now);
    return;
  case RequestStep::Commit:
    onCommitted(*Target, Result, Now);
    return;
  case RequestStep::Rollback:
    onRolledBack(*Target, Result, Now);
    return;
  case RequestStep::Statement:
  case RequestStep::ResolveOutcome:
    return;
  }
}

void TransactionManager::onBegun(Step &Target, ConnectionId Connection,
                                 const ExchangeResult &Result, TimePoint Now) {
  const auto *Answer = std::get_if<DatabaseAnswer>(&Result);
  if (Answer == nullptr) {
    // A begin without an answer has no effect: closing the connection rolls the
    // transaction back.
    Context_.Databases.closeConnection(Connection, Now);
    Target.State = StepState::Waiting;
    Target.RetryAt = Now + BeginRetryPause;
    return;
  }
  const std::string Id = makeTransactionId(Context_.Self, Target.Request.Group,
                                           Context_.NewIdentifier());
  Transaction Open;
  Open.Group = Target.Request.Group;
  Open.Database = Target.Database;
  Open.Connection = Connection;
  Open.Term = Target.Term;
  Open.DatabaseTransaction = Answer->Transaction;
  Open.Deadline = Target.Request.Deadline;
  Expiries_.emplace(Open.Deadline, Id);
  TransactionOf_[Connection] = Id;
  Transactions_[Id] = std::move(Open);
  CallerAnswer BeginAnswer;
  BeginAnswer.Result = Outcome::Run;
  BeginAnswer.Transaction = Id;
  BeginAnswer.Database = Target.Database;
  finish(Target, BeginAnswer);
}

void TransactionManager::onExecuted(Step &Target, const ExchangeResult &Result,
                                    TimePoint Now) {
  if (const auto *Failure = std::get_if<DatabaseFailure>(&Result)) {
    if (Failure->Kind != DatabaseFailureKind::StatementFailed) {
      failTransaction(Target, Failure->Detail, Now);
      return;
    }
    finish(Target, makeError(Outcome::NotRun, ErrorCode::StatementFailed,
                             Failure->Detail));
    return;
  }
  const auto &Answer = std::get<DatabaseAnswer>(Result);
  CallerAnswer PendingAnswer;
  PendingAnswer.Result = Outcome::Run;
  PendingAnswer.Body = Answer.Result;
  PendingAnswer.Database = Target.Database;
  PendingAnswer.Transaction = Target.Request.Transaction;
  Target.State = StepState::Confirming;
  Context_.Confirmations.add(
      Target.Id, Target.Request.Group, Target.Term, std::nullopt,
      [this, Task = Target.Id, PendingAnswer](bool Confirmed, TimePoint At) {
        Step *Checked = findStep(Task);
        if (Checked == nullptr)
          return;
        if (Confirmed)
          finish(*Checked, PendingAnswer);
        else
          failTransaction(*Checked, "the primary was replaced", At);
      });
}

void TransactionManager::onCommitted(Step &Target, const ExchangeResult &Result,
                                     TimePoint Now) {
  Timers_.remove(Target.TimerDue, Target.Id);
  Target.TimerDue = Target.Request.Deadline;
  Timers_.add(Target.TimerDue, Target.Id);
  if (const auto *Failure = std::get_if<DatabaseFailure>(&Result)) {
    endTransaction(Target.Request.Transaction, false, Now);
    switch (Failure->Kind) {
    case DatabaseFailureKind::Broken:
    case DatabaseFailureKind::Malformed:
    case DatabaseFailureKind::KeyClosed:
      resolveOutcome(Target, ErrorCode::TransactionLost, Now);
      return;
    case DatabaseFailureKind::StatementFailed:
      finish(Target, makeError(Outcome::NotRun, ErrorCode::StatementFailed,
                               Failure->Detail));
      return;
    case DatabaseFailureKind::KeyReused:
      finish(Target,
             makeError(Outcome::NotRun, ErrorCode::KeyReused,
                       "the idempotency key was used for another request"));
      return;
    case DatabaseFailureKind::NotConnected:
    case DatabaseFailureKind::TermMismatch:
    case DatabaseFailureKind::TooManyConnections:
    case DatabaseFailureKind::NoTransaction:
      break;
    }
    finish(Target, makeError(Outcome::NotRun, ErrorCode::TransactionLost,
                             Failure->Detail));
    return;
  }
  const auto &Answer = std::get<DatabaseAnswer>(Result);
  endTransaction(Target.Request.Transaction, true, Now);
  Target.State = StepState::Confirming;
  Context_.Confirmations.add(
      Target.Id, Target.Request.Group, Target.Term,
      Position{Answer.LogTerm, Answer.Index},
      [this, Task = Target.Id,
       PendingAnswer = makeWriteAnswer(Target.Request, Answer)](bool Confirmed,
                                                                TimePoint At) {
        Step *Checked = findStep(Task);
        if (Checked == nullptr)
          return;
        if (!Confirmed) {
          resolveOutcome(*Checked, ErrorCode::TransactionLost, At);
          return;
        }
        ++Context_.Counters.Writes;
        finish(*Checked, PendingAnswer);
      });
}

void TransactionManager::onRolledBack(Step &Target,
                                      const ExchangeResult &Result,
                                      TimePoint Now) {
  const bool ReuseConnection = std::holds_alternative<DatabaseAnswer>(Result);
  endTransaction(Target.Request.Transaction, ReuseConnection, Now);
  finish(Target, makeError(Outcome::NotRun, ErrorCode::None, std::string()));
}

void TransactionManager::resolveOutcome(Step &Target, ErrorCode Cause,
                                        TimePoint) {
  Target.Cause = Cause;
  Target.State = StepState::Resolving;
  Timers_.remove(Target.TimerDue, Target.Id);
  Target.TimerDue = Target.Request.Deadline;
  Timers_.add(Target.TimerDue, Target.Id);
  ++Context_.Counters.Resolved;
  Context_.Resolver.start(
      Target.Id, Target.Request,
      [this, Task = Target.Id](const ResolvedOutcome &Result, TimePoint) {
        if (Step *Resolved = findStep(Task))
          finish(*Resolved, makeResolvedAnswer(Resolved->Request, Result,
                                               Resolved->Cause));
      });
}

void TransactionManager::failTransaction(Step &Target,
                                         const std::string &Detail,
                                         TimePoint Now) {
  Context_.Databases.cancelWork(Target.Work, Now);
  StepOf_.erase(Target.Work);
  Context_.Confirmations.remove(Target.Id, Target.Request.Group);
  // Closing the connection rolls the transaction back, so the step had no
  // effect.
  endTransaction(Target.Request.Transaction, false, Now);
  finish(Target,
         makeError(Outcome::NotRun, ErrorCode::TransactionLost, Detail));
}

void TransactionManager::endTransaction(const std::string &Id,
                                        bool ReuseConnection, TimePoint Now) {
  const auto Found = Transactions_.find(Id);
  if (Found == Transactions_.end())
    return;
  const ConnectionId Connection = Found->second.Connection;
  const Step *Running = findStep(Found->second.Step);
  if (Running == nullptr || Running->Request.Step != RequestStep::Commit) {
    RecentlyRolledBack_.push_back(Id);
    if (RecentlyRolledBack_.size() > MaximumRememberedRollbacks)
      RecentlyRolledBack_.pop_front();
  }
  Expiries_.erase({Found->second.Deadline, Id});
  TransactionOf_.erase(Connection);
  Transactions_.erase(Found);
  if (ReuseConnection)
    Context_.Databases.releaseConnection(Connection, Now);
  else
    Context_.Databases.closeConnection(Connection, Now);
}

void TransactionManager::onConnectionClosed(ConnectionId Connection,
                                            TimePoint Now) {
  const auto Found = TransactionOf_.find(Connection);
  if (Found == TransactionOf_.end())
    return;
  const std::string Id = Found->second;
  if (Step *Running = findStep(Transactions_.at(Id).Step))
    failTransaction(*Running, "the database closed the connection", Now);
  else
    endTransaction(Id, false, Now);
}

void TransactionManager::onExpired(WorkId Work, TimePoint Now) {
  const auto Found = StepOf_.find(Work);
  if (Found == StepOf_.end())
    return;
  Step *Target = findStep(Found->second);
  StepOf_.erase(Found);
  if (Target != nullptr)
    onTimer(*Target, Now);
}

void TransactionManager::onTimer(Step &Target, TimePoint Now) {
  const bool Commit = Target.Request.Step == RequestStep::Commit;
  if (Commit && Target.State == StepState::Sent &&
      Now < Target.Request.Deadline) {
    Context_.Databases.ignoreResult(Target.Exchange);
    endTransaction(Target.Request.Transaction, false, Now);
    resolveOutcome(Target, ErrorCode::DeadlineExceeded, Now);
    return;
  }
  if (Commit) {
    Context_.Databases.ignoreResult(Target.Exchange);
    Context_.Confirmations.remove(Target.Id, Target.Request.Group);
    Context_.Resolver.cancel(Target.Id, Now);
    endTransaction(Target.Request.Transaction, false, Now);
    finish(Target,
           makeError(Outcome::Unknown, ErrorCode::OutcomeUnknown,
                     "the deadline passed before the outcome was known"));
    return;
  }
  if (Target.State == StepState::Waiting || Target.State == StepState::Queued) {
    Context_.Databases.cancelWork(Target.Work, Now);
    StepOf_.erase(Target.Work);
    const bool HasPrimary =
        Context_.Access.primaryOf(Target.Request.Group, Now).State !=
        PrimaryAccess::Kind::Unavailable;
    finish(Target, makeError(Outcome::NotRun,
                             HasPrimary ? ErrorCode::DeadlineExceeded
                                        : ErrorCode::NoPrimary,
                             "the step did not start before its deadline",
                             NoPrimaryRetryAfter));
    return;
  }
  if (Target.Request.Step == RequestStep::Begin) {
    Context_.Databases.ignoreResult(Target.Exchange);
    finish(Target, makeError(Outcome::NotRun, ErrorCode::DeadlineExceeded,
                             "the transaction did not begin in time"));
    return;
  }
  if (Target.Request.Step == RequestStep::Rollback) {
    endTransaction(Target.Request.Transaction, false, Now);
    finish(Target, makeError(Outcome::NotRun, ErrorCode::None, std::string()));
    return;
  }
  failTransaction(Target, "the deadline passed during a statement", Now);
}

void TransactionManager::cancel(TaskId Task, TimePoint Now) {
  Step *Target = findStep(Task);
  if (Target == nullptr)
    return;
  Target->CallerGone = true;
  switch (Target->Request.Step) {
  case RequestStep::Begin:
    Context_.Databases.cancelWork(Target->Work, Now);
    StepOf_.erase(Target->Work);
    Context_.Databases.ignoreResult(Target->Exchange);
    finish(*Target, CallerAnswer());
    return;
  case RequestStep::TransactionStatement:
    failTransaction(*Target, "the caller has disconnected", Now);
    return;
  default:
    return;
  }
}

void TransactionManager::expireTransactions(TimePoint Now) {
  std::vector<std::string> Ended;
  for (const auto &[Deadline, Id] : Expiries_) {
    if (Deadline > Now)
      break;
    Ended.push_back(Id);
  }
  for (const auto &[Id, Open] : Transactions_) {
    const GroupEntity *Group = Context_.Access.findGroup(Open.Group);
    if (Group == nullptr || Group->Term > Open.Term)
      Ended.push_back(Id);
  }
  for (const std::string &Id : Ended) {
    const Transaction *Open = findTransaction(Id);
    if (Open == nullptr)
      continue;
    Step *Running = findStep(Open->Step);
    if (Running == nullptr)
      endTransaction(Id, false, Now);
    else if (Running->Request.Step == RequestStep::TransactionStatement)
      failTransaction(
          *Running,
          "the transaction's deadline passed or the group's primary changed",
          Now);
  }
}

void TransactionManager::tick(TimePoint Now) {
  while (const auto Due = Timers_.takeDue(Now))
    if (Step *Target = findStep(*Due))
      onTimer(*Target, Now);
  expireTransactions(Now);
  std::vector<TaskId> Waiting;
  for (const auto &[Task, Target] : Steps_)
    if (Target.State == StepState::Waiting &&
        (!Target.RetryAt || *Target.RetryAt <= Now))
      Waiting.push_back(Task);
  for (const TaskId Task : Waiting)
    if (Step *Target = findStep(Task))
      begin(*Target, Now);
}

void TransactionManager::finish(Step &Target, const CallerAnswer &Answer) {
  const TaskId Task = Target.Id;
  const bool CallerGone = Target.CallerGone;
  if (Transaction *Open = findTransaction(Target.Request.Transaction))
    if (Open->Step == Task)
      Open->Step = 0;
  Timers_.remove(Target.TimerDue, Task);
  Steps_.erase(Task);
  if (!CallerGone)
    Context_.Answer(Task, Answer);
}

} // namespace nutmegloom
