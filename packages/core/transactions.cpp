#include "core/transactions.h"

#include "core/termcheck.h"
#include "core/transactionid.h"

#include <algorithm>

namespace nutmegloom {

/// Time after which the outcome of a commit in progress is likely known.
static constexpr Milliseconds CommitRetryAfter{100};
/// Pause before a begin that the database refused is tried again.
static constexpr Milliseconds BeginPause{20};
/// Rolled back transactions that are remembered, so that a late rollback of
/// one of them is answered with its outcome.
static constexpr std::size_t MaximumRolledBack = 4096;

TransactionSystem::TransactionSystem(OwnerParts &Parts) : Parts_(Parts) {}

TransactionSystem::Step *TransactionSystem::findStep(TaskId Task) {
  const auto Found = Steps_.find(Task);
  return Found == Steps_.end() ? nullptr : &Found->second;
}

TransactionSystem::Transaction *
TransactionSystem::findTransaction(const std::string &Id) {
  const auto Found = Transactions_.find(Id);
  return Found == Transactions_.end() ? nullptr : &Found->second;
}

std::size_t TransactionSystem::countOf(const DatabaseId &Database) const {
  return static_cast<std::size_t>(std::count_if(
      Transactions_.begin(), Transactions_.end(),
      [&](const auto &Entry) { return Entry.second.Database == Database; }));
}

bool TransactionSystem::isInUse(const GroupId &Group) const {
  const auto InGroup = [&](const auto &Entry) {
    return Entry.second.Group == Group;
  };
  return std::any_of(Transactions_.begin(), Transactions_.end(), InGroup) ||
         std::any_of(Steps_.begin(), Steps_.end(), [&](const auto &Entry) {
           return Entry.second.Request.Group == Group;
         });
}

void TransactionSystem::submit(TaskId Task, const CallerRequest &Request,
                               TimePoint Now) {
  Step &Target = Steps_[Task];
  Target.Id = Task;
  Target.Request = Request;
  Target.Timer = Request.Deadline;
  Timers_.add(Target.Timer, Task);
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

void TransactionSystem::begin(Step &Target, TimePoint Now) {
  const PrimaryAccess Access =
      Parts_.Access.primaryOf(Target.Request.Group, Now);
  if (Access.Answer == PrimaryAccess::Kind::Redirect) {
    ++Parts_.Counters.Redirected;
    CallerAnswer Answer =
        makeError(Outcome::NotRun, ErrorCode::NoPrimary,
                  "served in region \"" + Access.Region + "\"");
    Answer.RedirectRegion = Access.Region;
    finish(Target, Answer);
    return;
  }
  // Half of the connections stay free for single statements.
  const std::size_t Limit = std::max<std::size_t>(
      1, Parts_.Databases.pool().shareOf(Access.Database) / 2);
  const std::size_t Opening = static_cast<std::size_t>(
      std::count_if(Steps_.begin(), Steps_.end(), [&](const auto &Entry) {
        return Entry.second.Request.Step == RequestStep::Begin &&
               Entry.second.State != StepState::Waiting &&
               Entry.second.Database == Access.Database;
      }));
  if (Access.Answer != PrimaryAccess::Kind::Ready ||
      countOf(Access.Database) + Opening >= Limit) {
    const auto Waiting =
        std::count_if(Steps_.begin(), Steps_.end(), [](const auto &Entry) {
          return Entry.second.State == StepState::Waiting;
        });
    if (Waiting > static_cast<std::ptrdiff_t>(Parts_.Limits.WaitingRequests))
      finish(Target, makeError(Outcome::NotRun, ErrorCode::Overloaded,
                               "too many transactions wait to begin",
                               NoPrimaryRetryAfter));
    return;
  }
  ScheduledWork Work;
  Work.WorkClass = Target.Request.WorkClass;
  Work.Caller = Target.Request.Caller;
  Work.Deadline = Target.Request.Deadline;
  const auto Admitted = Parts_.Databases.enqueue(
      Access.Database, Work, true,
      [this, Task = Target.Id](WorkId Id, ConnectionId Connection,
                               TimePoint At) {
        onStart(Task, Id, Connection, At);
      },
      Now);
  if (const auto *Refusal = std::get_if<AdmissionRefusal>(&Admitted)) {
    ++Parts_.Counters.Refused;
    finish(Target,
           makeError(Outcome::NotRun, ErrorCode::Overloaded,
                     "database \"" + Access.Database + "\" is at its limit",
                     Refusal->RetryAfter));
    return;
  }
  Target.Work = std::get<WorkId>(Admitted);
  Target.Database = Access.Database;
  Target.State = StepState::Queued;
  StepOf_[Target.Work] = Target.Id;
}

bool TransactionSystem::claim(Step &Target) {
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

void TransactionSystem::execute(Step &Target, TimePoint Now) {
  if (!claim(Target))
    return;
  ScheduledWork Work;
  Work.WorkClass = Target.Request.WorkClass;
  Work.Caller = Target.Request.Caller;
  Work.StatementDigest = Target.Request.StatementDigest;
  Work.Deadline = Target.Request.Deadline;
  const auto Admitted = Parts_.Databases.enqueue(
      Target.Database, Work, false,
      [this, Task = Target.Id](WorkId Id, ConnectionId, TimePoint At) {
        onStart(Task, Id, 0, At);
      },
      Now);
  if (const auto *Refusal = std::get_if<AdmissionRefusal>(&Admitted)) {
    ++Parts_.Counters.Refused;
    finish(Target,
           makeError(Outcome::NotRun, ErrorCode::Overloaded,
                     "database \"" + Target.Database + "\" is at its limit",
                     Refusal->RetryAfter));
    return;
  }
  Target.Work = std::get<WorkId>(Admitted);
  Target.State = StepState::Queued;
  StepOf_[Target.Work] = Target.Id;
}

void TransactionSystem::commit(Step &Target, TimePoint Now) {
  Transaction *Open = findTransaction(Target.Request.Transaction);
  if (Open == nullptr) {
    // The commit may be a second try. The key tells what became of the first.
    settle(Target, ErrorCode::TransactionLost, Now);
    return;
  }
  const Step *Running = findStep(Open->Step);
  if (Running != nullptr && Running->Request.Step == RequestStep::Commit) {
    finish(Target, makeError(Outcome::Unknown, ErrorCode::OutcomeUnknown,
                             "the commit is in progress", CommitRetryAfter));
    return;
  }
  if (!claim(Target))
    return;
  // A commit takes no turn in the queue: until it is executed, the transaction
  // holds what it has locked.
  send(Target, DatabaseOperation::Commit, Open->Connection, Now);
}

void TransactionSystem::rollBack(Step &Target, TimePoint Now) {
  Transaction *Open = findTransaction(Target.Request.Transaction);
  if (Open == nullptr) {
    // A transaction that isn't known here may have been committed.
    if (std::find(RolledBack_.begin(), RolledBack_.end(),
                  Target.Request.Transaction) == RolledBack_.end())
      finish(Target, makeError(Outcome::Unknown, ErrorCode::TransactionLost,
                               "the transaction is not open; if a commit was "
                               "sent, its key tells the outcome"));
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
    lose(*Running, "the transaction was rolled back", Now);
    finish(Target, makeError(Outcome::NotRun, ErrorCode::None, std::string()));
    return;
  }
  if (claim(Target))
    send(Target, DatabaseOperation::Rollback, Open->Connection, Now);
}

void TransactionSystem::onStart(TaskId Task, WorkId Work,
                                ConnectionId Connection, TimePoint Now) {
  StepOf_.erase(Work);
  Step *Target = findStep(Task);
  if (Target == nullptr || Target->State != StepState::Queued ||
      Target->Work != Work) {
    Parts_.Databases.finish(Work, Connection, Now);
    return;
  }
  if (Target->Request.Step == RequestStep::Begin) {
    const PrimaryAccess Access =
        Parts_.Access.primaryOf(Target->Request.Group, Now);
    if (Access.Answer != PrimaryAccess::Kind::Ready ||
        Access.Database != Target->Database) {
      Parts_.Databases.finish(Work, Connection, Now);
      Target->State = StepState::Waiting;
      return;
    }
    Target->Term = Access.Term;
    send(*Target, DatabaseOperation::Begin, Connection, Now);
    return;
  }
  const Transaction *Open = findTransaction(Target->Request.Transaction);
  if (Open == nullptr) {
    Parts_.Databases.finish(Work, 0, Now);
    return;
  }
  send(*Target, DatabaseOperation::TransactionStatement, Open->Connection, Now);
}

void TransactionSystem::send(Step &Target, DatabaseOperation Operation,
                             ConnectionId Connection, TimePoint Now) {
  DatabaseRequest Request;
  Request.Operation = Operation;
  Request.Term = Target.Term;
  Request.Kind = Target.Request.Kind;
  Request.Statement = Target.Request.Statement;
  Request.TraceParent = Target.Request.TraceParent;
  if (const Transaction *Open = findTransaction(Target.Request.Transaction))
    Request.Transaction = Open->Inner;
  if (Operation == DatabaseOperation::Commit) {
    Request.Key = Target.Request.Key;
    Request.Fingerprint = Target.Request.Fingerprint;
    Timers_.remove(Target.Timer, Target.Id);
    Target.Timer = settleTimeOf(Target.Request.Deadline, Now);
    Timers_.add(Target.Timer, Target.Id);
  }
  Dispatcher::SendOptions Options;
  Options.Work = Target.Work;
  Options.Keep = true;
  Options.StatementDigest = Target.Request.StatementDigest;
  Target.State = StepState::Sent;
  Target.Exchange = Parts_.Databases.send(
      Connection, std::move(Request), Options,
      [this, Task = Target.Id, Connection](const ExchangeResult &Result,
                                           TimePoint At) {
        onResult(Task, Connection, Result, At);
      },
      Now);
}

void TransactionSystem::onResult(TaskId Task, ConnectionId Connection,
                                 const ExchangeResult &Result, TimePoint Now) {
  Step *Target = findStep(Task);
  if (Target == nullptr || Target->State != StepState::Sent) {
    Parts_.Databases.drop(Connection, Now);
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

void TransactionSystem::onBegun(Step &Target, ConnectionId Connection,
                                const ExchangeResult &Result, TimePoint Now) {
  const auto *Answer = std::get_if<DatabaseAnswer>(&Result);
  if (Answer == nullptr) {
    // A begin without an answer has no effect: closing the connection ends it.
    Parts_.Databases.drop(Connection, Now);
    Target.State = StepState::Waiting;
    Target.NotBefore = Now + BeginPause;
    return;
  }
  const std::string Id = makeTransactionId(Parts_.Self, Target.Request.Group,
                                           Parts_.NewIdentifier());
  Transaction Open;
  Open.Group = Target.Request.Group;
  Open.Database = Target.Database;
  Open.Connection = Connection;
  Open.Term = Target.Term;
  Open.Inner = Answer->Transaction;
  Open.Deadline = Target.Request.Deadline;
  Expiries_.emplace(Open.Deadline, Id);
  TransactionOf_[Connection] = Id;
  Transactions_[Id] = std::move(Open);
  CallerAnswer Begun;
  Begun.Result = Outcome::Run;
  Begun.Transaction = Id;
  Begun.Database = Target.Database;
  finish(Target, Begun);
}

void TransactionSystem::onExecuted(Step &Target, const ExchangeResult &Result,
                                   TimePoint Now) {
  if (const auto *Failure = std::get_if<DatabaseFailure>(&Result)) {
    if (Failure->Kind != DatabaseFailureKind::StatementFailed) {
      lose(Target, Failure->Detail, Now);
      return;
    }
    finish(Target, makeError(Outcome::NotRun, ErrorCode::StatementFailed,
                             Failure->Detail));
    return;
  }
  const auto &Answer = std::get<DatabaseAnswer>(Result);
  CallerAnswer Draft;
  Draft.Result = Outcome::Run;
  Draft.Body = Answer.Result;
  Draft.Database = Target.Database;
  Draft.Transaction = Target.Request.Transaction;
  Target.State = StepState::Confirming;
  Parts_.Confirmations.add(
      Target.Id, Target.Request.Group, Target.Term, std::nullopt,
      [this, Task = Target.Id, Draft](bool Confirmed, TimePoint At) {
        Step *Checked = findStep(Task);
        if (Checked == nullptr)
          return;
        if (Confirmed)
          finish(*Checked, Draft);
        else
          lose(*Checked, "the primary was replaced", At);
      });
}

void TransactionSystem::onCommitted(Step &Target, const ExchangeResult &Result,
                                    TimePoint Now) {
  Timers_.remove(Target.Timer, Target.Id);
  Target.Timer = Target.Request.Deadline;
  Timers_.add(Target.Timer, Target.Id);
  if (const auto *Failure = std::get_if<DatabaseFailure>(&Result)) {
    endTransaction(Target.Request.Transaction, false, Now);
    switch (Failure->Kind) {
    case DatabaseFailureKind::Broken:
    case DatabaseFailureKind::Malformed:
    case DatabaseFailureKind::KeyClosed:
      settle(Target, ErrorCode::TransactionLost, Now);
      return;
    case DatabaseFailureKind::StatementFailed:
      finish(Target, makeError(Outcome::NotRun, ErrorCode::StatementFailed,
                               Failure->Detail));
      return;
    case DatabaseFailureKind::KeyReused:
      finish(Target, makeError(Outcome::NotRun, ErrorCode::KeyReused,
                               "the idempotency key belongs to other work"));
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
  Parts_.Confirmations.add(
      Target.Id, Target.Request.Group, Target.Term,
      Position{Answer.LogTerm, Answer.Index},
      [this, Task = Target.Id, Draft = makeWriteAnswer(Target.Request, Answer)](
          bool Confirmed, TimePoint At) {
        Step *Checked = findStep(Task);
        if (Checked == nullptr)
          return;
        if (!Confirmed) {
          settle(*Checked, ErrorCode::TransactionLost, At);
          return;
        }
        ++Parts_.Counters.Writes;
        finish(*Checked, Draft);
      });
}

void TransactionSystem::onRolledBack(Step &Target, const ExchangeResult &Result,
                                     TimePoint Now) {
  const bool Clean = std::holds_alternative<DatabaseAnswer>(Result);
  endTransaction(Target.Request.Transaction, Clean, Now);
  finish(Target, makeError(Outcome::NotRun, ErrorCode::None, std::string()));
}

void TransactionSystem::settle(Step &Target, ErrorCode Cause, TimePoint) {
  Target.Cause = Cause;
  Target.State = StepState::Settling;
  Timers_.remove(Target.Timer, Target.Id);
  Target.Timer = Target.Request.Deadline;
  Timers_.add(Target.Timer, Target.Id);
  ++Parts_.Counters.Settled;
  Parts_.Settlements.start(
      Target.Id, Target.Request,
      [this, Task = Target.Id](const SettleResult &Result, TimePoint) {
        if (Step *Settled = findStep(Task))
          finish(*Settled,
                 makeSettledAnswer(Settled->Request, Result, Settled->Cause));
      });
}

void TransactionSystem::lose(Step &Target, const std::string &Detail,
                             TimePoint Now) {
  Parts_.Databases.withdraw(Target.Work, Now);
  StepOf_.erase(Target.Work);
  Parts_.Confirmations.remove(Target.Id, Target.Request.Group);
  // Closing the connection rolls back, so the step had no effect.
  endTransaction(Target.Request.Transaction, false, Now);
  finish(Target,
         makeError(Outcome::NotRun, ErrorCode::TransactionLost, Detail));
}

void TransactionSystem::endTransaction(const std::string &Id, bool Clean,
                                       TimePoint Now) {
  const auto Found = Transactions_.find(Id);
  if (Found == Transactions_.end())
    return;
  const ConnectionId Connection = Found->second.Connection;
  const Step *Last = findStep(Found->second.Step);
  if (Last == nullptr || Last->Request.Step != RequestStep::Commit) {
    RolledBack_.push_back(Id);
    if (RolledBack_.size() > MaximumRolledBack)
      RolledBack_.pop_front();
  }
  Expiries_.erase({Found->second.Deadline, Id});
  TransactionOf_.erase(Connection);
  Transactions_.erase(Found);
  if (Clean)
    Parts_.Databases.release(Connection, Now);
  else
    Parts_.Databases.drop(Connection, Now);
}

void TransactionSystem::onConnectionClosed(ConnectionId Connection,
                                           TimePoint Now) {
  const auto Found = TransactionOf_.find(Connection);
  if (Found == TransactionOf_.end())
    return;
  const std::string Id = Found->second;
  if (Step *Running = findStep(Transactions_.at(Id).Step))
    lose(*Running, "the database closed the connection", Now);
  else
    endTransaction(Id, false, Now);
}

void TransactionSystem::onExpired(WorkId Work, TimePoint Now) {
  const auto Found = StepOf_.find(Work);
  if (Found == StepOf_.end())
    return;
  Step *Target = findStep(Found->second);
  StepOf_.erase(Found);
  if (Target != nullptr)
    onTimer(*Target, Now);
}

void TransactionSystem::onTimer(Step &Target, TimePoint Now) {
  const bool Commit = Target.Request.Step == RequestStep::Commit;
  if (Commit && Target.State == StepState::Sent &&
      Now < Target.Request.Deadline) {
    Parts_.Databases.abandon(Target.Exchange);
    endTransaction(Target.Request.Transaction, false, Now);
    settle(Target, ErrorCode::DeadlineExceeded, Now);
    return;
  }
  if (Commit) {
    Parts_.Databases.abandon(Target.Exchange);
    Parts_.Confirmations.remove(Target.Id, Target.Request.Group);
    Parts_.Settlements.cancel(Target.Id, Now);
    endTransaction(Target.Request.Transaction, false, Now);
    finish(Target,
           makeError(Outcome::Unknown, ErrorCode::OutcomeUnknown,
                     "the deadline passed before the outcome was known"));
    return;
  }
  if (Target.State == StepState::Waiting || Target.State == StepState::Queued) {
    Parts_.Databases.withdraw(Target.Work, Now);
    StepOf_.erase(Target.Work);
    const bool HasPrimary =
        Parts_.Access.primaryOf(Target.Request.Group, Now).Answer !=
        PrimaryAccess::Kind::Unavailable;
    finish(Target, makeError(Outcome::NotRun,
                             HasPrimary ? ErrorCode::DeadlineExceeded
                                        : ErrorCode::NoPrimary,
                             "the step did not start before its deadline",
                             NoPrimaryRetryAfter));
    return;
  }
  if (Target.Request.Step == RequestStep::Begin) {
    Parts_.Databases.abandon(Target.Exchange);
    finish(Target, makeError(Outcome::NotRun, ErrorCode::DeadlineExceeded,
                             "the transaction did not begin in time"));
    return;
  }
  if (Target.Request.Step == RequestStep::Rollback) {
    endTransaction(Target.Request.Transaction, false, Now);
    finish(Target, makeError(Outcome::NotRun, ErrorCode::None, std::string()));
    return;
  }
  lose(Target, "the deadline passed during a statement", Now);
}

void TransactionSystem::cancel(TaskId Task, TimePoint Now) {
  Step *Target = findStep(Task);
  if (Target == nullptr)
    return;
  Target->Silent = true;
  switch (Target->Request.Step) {
  case RequestStep::Begin:
    Parts_.Databases.withdraw(Target->Work, Now);
    StepOf_.erase(Target->Work);
    Parts_.Databases.abandon(Target->Exchange);
    finish(*Target, CallerAnswer());
    return;
  case RequestStep::TransactionStatement:
    lose(*Target, "the caller has gone", Now);
    return;
  default:
    return;
  }
}

void TransactionSystem::expireTransactions(TimePoint Now) {
  std::vector<std::string> Ended;
  for (const auto &[Deadline, Id] : Expiries_) {
    if (Deadline > Now)
      break;
    Ended.push_back(Id);
  }
  for (const auto &[Id, Open] : Transactions_) {
    const GroupEntity *Group = Parts_.Access.find(Open.Group);
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
      lose(*Running, "the transaction's deadline passed or its primary changed",
           Now);
  }
}

void TransactionSystem::tick(TimePoint Now) {
  while (const auto Due = Timers_.takeDue(Now))
    if (Step *Target = findStep(*Due))
      onTimer(*Target, Now);
  expireTransactions(Now);
  std::vector<TaskId> Waiting;
  for (const auto &[Task, Target] : Steps_)
    if (Target.State == StepState::Waiting &&
        (!Target.NotBefore || *Target.NotBefore <= Now))
      Waiting.push_back(Task);
  for (const TaskId Task : Waiting)
    if (Step *Target = findStep(Task))
      begin(*Target, Now);
}

void TransactionSystem::finish(Step &Target, const CallerAnswer &Answer) {
  const TaskId Task = Target.Id;
  const bool Silent = Target.Silent;
  if (Transaction *Open = findTransaction(Target.Request.Transaction))
    if (Open->Step == Task)
      Open->Step = 0;
  Timers_.remove(Target.Timer, Task);
  Steps_.erase(Task);
  if (!Silent)
    Parts_.Answer(Task, Answer);
}

} // namespace nutmegloom
