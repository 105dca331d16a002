#include "core/requestexecutor.h"

#include "core/termcheck.h"

#include <algorithm>

namespace nutmegloom {

/// Interval at which waiting requests are dispatched again.
static constexpr Milliseconds DispatchInterval{10};
/// Interval at which queued requests are checked for a database that can no
/// longer serve them.
static constexpr Milliseconds RecheckInterval{100};
/// Delay before a retry after a database refused the request or its answer was
/// stale.
static constexpr Milliseconds RefusalRetryPause{20};
/// Delay before a retry if a database cannot be connected to or all replicas
/// are excluded.
static constexpr Milliseconds NoConnectionRetryPause{50};
/// Suggested delay before a retry of a caller that has no retries left.
static constexpr Milliseconds BudgetRetryAfter{1000};
static constexpr Milliseconds OverloadRetryAfter{200};

std::string_view nameOf(TaskState State) {
  switch (State) {
  case TaskState::Waiting:
    return "waiting";
  case TaskState::Queued:
    return "queued";
  case TaskState::Sent:
    return "sent";
  case TaskState::Confirming:
    return "confirming";
  case TaskState::Checking:
    return "checking";
  case TaskState::Resolving:
    return "settling";
  }
  return "invalid";
}

static ScheduledWork makeWork(const CallerRequest &Request) {
  ScheduledWork Work;
  Work.WorkClass = Request.WorkClass;
  Work.Caller = Request.Caller;
  Work.StatementDigest = Request.StatementDigest;
  Work.Deadline = Request.Deadline;
  return Work;
}

RequestExecutor::RequestExecutor(Tables &Data, const Policy &Limits,
                                 const OwnershipSystem &Owners,
                                 const TermCheck &Terms,
                                 const PeerHeartbeat &Self,
                                 ExchangeId FirstExchange,
                                 EngineCounters &Counters, Hooks Callbacks)
    : Data_(Data), Limits_(Limits), Terms_(Terms), Counters_(Counters),
      Hooks_(std::move(Callbacks)),
      Access_(Data, Owners, Terms, Self.Host, Self.Region),
      Databases_(Data, Limits, Hooks_.Databases, FirstExchange),
      Confirmations_(Data, Terms),
      Resolver_(Access_, Databases_, Confirmations_),
      Context_{Data,
               Limits,
               Access_,
               Terms,
               Databases_,
               Confirmations_,
               Resolver_,
               Counters,
               Self.Host,
               Hooks_.Answer,
               Hooks_.NewIdentifier},
      Transactions_(Context_), Validator_(Terms),
      Selector_(
          Data, Limits, Access_,
          {[this](const DatabaseId &Database, const CallerRequest &Request) {
             return Databases_.expectedWait(Database, makeWork(Request));
           },
           [this](const DatabaseId &Database, std::uint64_t StatementDigest) {
             return Databases_.serviceTimeOf(Database, StatementDigest);
           },
           [this](const DatabaseId &Database) {
             return Databases_.loadOf(Database);
           },
           [this](const DatabaseId &Database) {
             return Databases_.isUnresponsive(Database) ||
                    Databases_.pool().lastConnectFailed(Database);
           }}) {}

RequestExecutor::~RequestExecutor() = default;

RequestExecutor::Task *RequestExecutor::find(TaskId Id) {
  const auto Found = Tasks_.find(Id);
  return Found == Tasks_.end() ? nullptr : &Found->second;
}

bool RequestExecutor::isWrite(const Task &Target) const {
  return Target.Request.Step == RequestStep::ResolveOutcome ||
         Target.Request.Kind == StatementKind::Write;
}

void RequestExecutor::setState(Task &Target, TaskState State) {
  auto &Waiting = Waiting_[Target.Request.Group];
  if (State == TaskState::Waiting)
    Waiting[Target.Sequence] = Target.Id;
  else
    Waiting.erase(Target.Sequence);
  Target.State = State;
}

void RequestExecutor::setTimer(Task &Target, TimePoint At) {
  Timers_.remove(Target.TimerDue, Target.Id);
  Target.TimerDue = At;
  Timers_.add(At, Target.Id);
}

void RequestExecutor::submit(TaskId Id, const CallerRequest &Request,
                             TimePoint Now) {
  const auto Group = Data_.Groups.find(Request.Group);
  if (Group == Data_.Groups.end()) {
    Hooks_.Answer(Id, makeError(Outcome::NotRun, ErrorCode::NotFound,
                                "group \"" + Request.Group +
                                    "\" is not in the configuration"));
    return;
  }
  const bool NeedsKey = Request.Step == RequestStep::Commit ||
                        Request.Step == RequestStep::ResolveOutcome ||
                        (Request.Step == RequestStep::Statement &&
                         Request.Kind == StatementKind::Write);
  if (NeedsKey && Request.Key.empty()) {
    // RequestRouter creates missing keys. Without a key the outcome of the
    // write could not be resolved.
    const bool ResolvesOutcome = Request.Step == RequestStep::ResolveOutcome;
    Hooks_.Answer(
        Id,
        makeError(ResolvesOutcome ? Outcome::Unknown : Outcome::NotRun,
                  ErrorCode::BadRequest, "a write needs an idempotency key"));
    return;
  }
  Group->second.Active = true;
  Group->second.LastUsed = Now;
  if (Request.Step != RequestStep::Statement &&
      Request.Step != RequestStep::ResolveOutcome) {
    Transactions_.submit(Id, Request, Now);
    return;
  }
  Budget_.onRequest(Request.Caller);
  Task &Target = Tasks_[Id];
  Target.Id = Id;
  Target.Request = Request;
  Target.Sequence = ++LastSequence_;
  setTimer(Target, Request.Deadline);
  if (Request.Step == RequestStep::ResolveOutcome)
    resolveOutcome(Target, ErrorCode::ConnectionLost);
  else
    dispatch(Target, Now);
}

void RequestExecutor::dispatch(Task &Target, TimePoint Now) {
  if (isWrite(Target)) {
    const PrimaryAccess Access = Access_.primaryOf(Target.Request.Group, Now);
    if (Access.State == PrimaryAccess::Kind::Redirect)
      redirect(Target, Access.Region);
    else if (Access.State == PrimaryAccess::Kind::Ready &&
             Access.Term >= Target.MinimumTerm)
      enqueue(Target, Access.Database, true, Now);
    else
      moveToWaiting(Target, Milliseconds(0), Now);
    return;
  }
  const GroupEntity *Group = Access_.findGroup(Target.Request.Group);
  if (Group != nullptr && Target.Request.Required &&
      Validator_.isPositionLost(*Target.Request.Required, *Group, Now)) {
    finish(Target,
           makeError(Outcome::NotRun, ErrorCode::WriteLost,
                     "the write that the session token names was lost in a "
                     "failover"));
    return;
  }
  const ReadRoute Route =
      Selector_.choose(Target.Request, Target.ExcludedDatabases, Now);
  switch (Route.Action) {
  case ReadRoute::Kind::Database:
    enqueue(Target, Route.Database, Route.AtPrimary, Now);
    return;
  case ReadRoute::Kind::Redirect:
    redirect(Target, Route.Region);
    return;
  case ReadRoute::Kind::Wait:
    // The excluded databases may be the only ones left, so allow them again.
    if (!Target.ExcludedDatabases.empty()) {
      Target.ExcludedDatabases.clear();
      moveToWaiting(Target, NoConnectionRetryPause, Now);
      return;
    }
    moveToWaiting(Target, Milliseconds(0), Now);
    return;
  }
}

void RequestExecutor::redirect(Task &Target, const RegionName &Region) {
  ++Counters_.Redirected;
  CallerAnswer Answer = makeError(
      Target.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
      ErrorCode::NoPrimary, "the group is served in region \"" + Region + "\"");
  Answer.RedirectRegion = Region;
  finish(Target, Answer);
}

void RequestExecutor::moveToWaiting(Task &Target, Milliseconds Pause,
                                    TimePoint Now) {
  const auto &Waiting = Waiting_[Target.Request.Group];
  // The limit does not apply to requests that have already been admitted to a
  // queue.
  if (Target.State == TaskState::Waiting && !Target.MayHaveRun &&
      !Waiting.contains(Target.Sequence) &&
      Waiting.size() >= Limits_.WaitingRequests) {
    finish(Target, makeError(Outcome::NotRun, ErrorCode::NoPrimary,
                             "too many requests wait for the group",
                             NoPrimaryRetryAfter));
    return;
  }
  if (Pause > Milliseconds(0))
    Target.RetryAt = Now + Pause;
  setState(Target, TaskState::Waiting);
}

void RequestExecutor::enqueue(Task &Target, const DatabaseId &Database,
                              bool AtPrimary, TimePoint Now) {
  const auto Admitted = Databases_.enqueue(
      Database, makeWork(Target.Request), true,
      [this, Id = Target.Id](WorkId Started, ConnectionId Connection,
                             TimePoint At) {
        onStart(Id, Started, Connection, At);
      },
      Now);
  if (const auto *Refusal = std::get_if<AdmissionRefusal>(&Admitted)) {
    ++Counters_.Refused;
    finish(Target,
           makeError(Target.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                     ErrorCode::Overloaded,
                     "the queue for database \"" + Database +
                         "\" is full, or the expected wait is too long",
                     Refusal->RetryAfter));
    return;
  }
  Target.Work = std::get<WorkId>(Admitted);
  Target.Database = Database;
  Target.AtPrimary = AtPrimary;
  TaskOf_[Target.Work] = Target.Id;
  setState(Target, TaskState::Queued);
}

void RequestExecutor::dispatchWaiting(TimePoint Now) {
  if (NextDispatchAt_ && Now < *NextDispatchAt_)
    return;
  NextDispatchAt_ = Now + DispatchInterval;
  std::vector<TaskId> Due;
  for (auto Group = Waiting_.begin(); Group != Waiting_.end();) {
    for (const auto &[Sequence, Id] : Group->second)
      Due.push_back(Id);
    Group = Group->second.empty() ? Waiting_.erase(Group) : std::next(Group);
  }
  for (const TaskId Id : Due) {
    Task *Target = find(Id);
    if (Target != nullptr && Target->State == TaskState::Waiting &&
        (!Target->RetryAt || *Target->RetryAt <= Now))
      dispatch(*Target, Now);
  }
}

void RequestExecutor::recheckQueued(TimePoint Now) {
  if (NextRecheckAt_ && Now < *NextRecheckAt_)
    return;
  NextRecheckAt_ = Now + RecheckInterval;
  Access_.clearCache();
  for (auto &[Id, Target] : Tasks_) {
    if (Target.State != TaskState::Queued)
      continue;
    if (Target.AtPrimary) {
      // The request stays queued if the term of the primary is not confirmed
      // for a moment.
      const PrimaryAccess Access = Access_.primaryOf(Target.Request.Group, Now);
      if (Access.Database == Target.Database)
        continue;
    } else if (Selector_.mayStillServe(Target.Request, Target.Database, Now)) {
      continue;
    }
    dequeue(Target, Now);
    setState(Target, TaskState::Waiting);
  }
}

void RequestExecutor::dequeue(Task &Target, TimePoint Now) {
  TaskOf_.erase(Target.Work);
  Databases_.cancelWork(Target.Work, Now);
  Target.Work = 0;
}

void RequestExecutor::onStart(TaskId Id, WorkId Work, ConnectionId Connection,
                              TimePoint Now) {
  TaskOf_.erase(Work);
  Task *Target = find(Id);
  if (Target == nullptr || Target->State != TaskState::Queued ||
      Target->Work != Work) {
    Databases_.finishWork(Work, Connection, Now);
    return;
  }
  if (Now >= Target->Request.Deadline) {
    Databases_.finishWork(Work, Connection, Now);
    expire(*Target, Now);
    return;
  }
  std::uint64_t Term = 0;
  bool MaySend = false;
  if (Target->AtPrimary) {
    const PrimaryAccess Access = Access_.primaryOf(Target->Request.Group, Now);
    MaySend = Access.State == PrimaryAccess::Kind::Ready &&
              Access.Database == Target->Database &&
              Access.Term >= Target->MinimumTerm;
    Term = Access.Term;
  } else {
    MaySend = Selector_.mayStillServe(Target->Request, Target->Database, Now);
    Term = Selector_.termOf(Target->Database);
  }
  if (!MaySend) {
    Databases_.finishWork(Work, Connection, Now);
    setState(*Target, TaskState::Waiting);
    return;
  }
  send(*Target, Connection, Term, Now);
}

void RequestExecutor::send(Task &Target, ConnectionId Connection,
                           std::uint64_t Term, TimePoint Now) {
  DatabaseRequest Request;
  Request.Operation = DatabaseOperation::Execute;
  Request.Term = Term;
  Request.Kind = Target.Request.Kind;
  Request.Statement = Target.Request.Statement;
  Request.TraceParent = Target.Request.TraceParent;
  Dispatcher::SendOptions Options;
  Options.Work = Target.Work;
  Options.StatementDigest = Target.Request.StatementDigest;
  Options.SafeToRetry = !isWrite(Target);
  if (isWrite(Target)) {
    Request.Key = Target.Request.Key;
    Request.Fingerprint = Target.Request.Fingerprint;
    setTimer(Target, resolutionStartOf(Target.Request.Deadline, Now));
  }
  Target.Term = Term;
  setState(Target, TaskState::Sent);
  Target.Exchange = Databases_.send(
      Connection, std::move(Request), Options,
      [this, Id = Target.Id](const ExchangeResult &Result, TimePoint At) {
        onResult(Id, Result, At);
      },
      Now);
}

void RequestExecutor::onResult(TaskId Id, const ExchangeResult &Result,
                               TimePoint Now) {
  Task *Target = find(Id);
  if (Target == nullptr || Target->State != TaskState::Sent)
    return;
  Target->Exchange = 0;
  if (isWrite(*Target))
    setTimer(*Target, Target->Request.Deadline);
  const auto *Answer = std::get_if<DatabaseAnswer>(&Result);
  const auto *Failure = std::get_if<DatabaseFailure>(&Result);
  if (Failure != nullptr && onRefusal(*Target, *Failure, Now))
    return;
  if (Answer != nullptr && isWrite(*Target))
    onWriteAnswer(*Target, *Answer, Now);
  else if (Answer != nullptr)
    onReadAnswer(*Target, *Answer, Now);
  else if (isWrite(*Target))
    onWriteFailure(*Target, *Failure, Now);
  else
    onReadFailure(*Target, *Failure, Now);
}

bool RequestExecutor::onRefusal(Task &Target, const DatabaseFailure &Failure,
                                TimePoint Now) {
  switch (Failure.Kind) {
  case DatabaseFailureKind::NotConnected:
  case DatabaseFailureKind::TooManyConnections:
    if (!Target.AtPrimary)
      Target.ExcludedDatabases.insert(Target.Database);
    moveToWaiting(Target, NoConnectionRetryPause, Now);
    return true;
  case DatabaseFailureKind::TermMismatch:
    Selector_.observeTerm(Target.Database, Failure.Term);
    if (Target.AtPrimary)
      Target.MinimumTerm = std::max(Target.MinimumTerm, Failure.Term);
    moveToWaiting(Target, RefusalRetryPause, Now);
    return true;
  case DatabaseFailureKind::StatementFailed:
    finish(Target,
           makeError(Target.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                     ErrorCode::StatementFailed, Failure.Detail));
    return true;
  case DatabaseFailureKind::KeyReused:
    finish(Target,
           makeError(Outcome::NotRun, ErrorCode::KeyReused,
                     "the idempotency key was used for another request"));
    return true;
  case DatabaseFailureKind::NoTransaction:
    finish(Target,
           makeError(Outcome::NotRun, ErrorCode::Internal,
                     "the database reported that no transaction is open, for a "
                     "statement outside a transaction"));
    return true;
  case DatabaseFailureKind::Broken:
  case DatabaseFailureKind::Malformed:
  case DatabaseFailureKind::KeyClosed:
    return false;
  }
  return false;
}

void RequestExecutor::onReadAnswer(Task &Target, const DatabaseAnswer &Answer,
                                   TimePoint Now) {
  Target.MayHaveRun = true;
  Selector_.observe(Target.Database, Answer.LogTerm, Answer.Index, Now);
  const GroupEntity *Group = Access_.findGroup(Target.Request.Group);
  if (Group == nullptr) {
    finish(Target, makeError(Outcome::Unknown, ErrorCode::NotFound,
                             "the group was removed from the configuration"));
    return;
  }
  const Freshness Verdict =
      Validator_.validate(Target.Request, Answer, *Group, Now);
  if (Verdict == Freshness::Lost) {
    finish(Target,
           makeError(Outcome::Run, ErrorCode::WriteLost,
                     "the write that the session token names was lost in a "
                     "failover"));
    return;
  }
  if (Verdict == Freshness::Stale) {
    ++Counters_.StaleAnswersDropped;
    Selector_.onStaleRead(Target.Database, Now);
    if (!Target.AtPrimary)
      Target.ExcludedDatabases.insert(Target.Database);
    // A primary whose log is behind the session's position has been replaced,
    // which this host does not know yet.
    moveToWaiting(Target,
                  Target.AtPrimary ? RefusalRetryPause : Milliseconds(0), Now);
    if (!Target.AtPrimary)
      dispatch(Target, Now);
    return;
  }
  CallerAnswer PendingAnswer;
  PendingAnswer.Result = Outcome::Run;
  PendingAnswer.Body = Answer.Result;
  PendingAnswer.Database = Target.Database;
  PendingAnswer.Age = Answer.Age;
  PendingAnswer.Seen = Validator_.seen(Target.Request, Answer, *Group);
  PendingAnswer.FromReplica = !Target.AtPrimary;
  if (!Target.AtPrimary) {
    ++Counters_.ReadsFromReplica;
    finish(Target, PendingAnswer);
    return;
  }
  if (!Terms_.hasRecentMajority(Target.Request.Group, Target.Term, Now))
    ++Counters_.TermChecksFailed;
  setState(Target, TaskState::Checking);
  confirm(Target, std::nullopt, std::move(PendingAnswer));
}

void RequestExecutor::onReadFailure(Task &Target,
                                    const DatabaseFailure &Failure,
                                    TimePoint Now) {
  Target.MayHaveRun = true;
  Target.ExcludedDatabases.insert(Target.Database);
  if (!Budget_.tryConsume(Target.Request.Caller)) {
    finish(Target,
           makeError(Outcome::Unknown, ErrorCode::Overloaded,
                     "database \"" + Target.Database + "\": " + Failure.Detail +
                         "; the caller has no retries left",
                     BudgetRetryAfter));
    return;
  }
  ++Counters_.Retries;
  moveToWaiting(Target, Milliseconds(0), Now);
  dispatch(Target, Now);
}

void RequestExecutor::onWriteAnswer(Task &Target, const DatabaseAnswer &Answer,
                                    TimePoint Now) {
  Target.MayHaveRun = true;
  if (!Terms_.hasRecentMajority(Target.Request.Group, Target.Term, Now))
    ++Counters_.TermChecksFailed;
  setState(Target, TaskState::Confirming);
  confirm(Target, Position{Answer.LogTerm, Answer.Index},
          makeWriteAnswer(Target.Request, Answer));
}

void RequestExecutor::onWriteFailure(Task &Target,
                                     const DatabaseFailure &Failure,
                                     TimePoint) {
  // A closed key means that another host has resolved the outcome of this
  // write. The close must be confirmed here, too, before it is reported.
  const bool Refused = Failure.Kind == DatabaseFailureKind::KeyClosed;
  Target.MayHaveRun |= !Refused;
  resolveOutcome(Target,
                 Refused ? ErrorCode::KeyClosed : ErrorCode::ConnectionLost);
}

void RequestExecutor::confirm(Task &Target, std::optional<Position> Wanted,
                              CallerAnswer PendingAnswer) {
  Confirmations_.add(Target.Id, Target.Request.Group, Target.Term, Wanted,
                     [this, Id = Target.Id,
                      PendingAnswer = std::move(PendingAnswer)](bool Confirmed,
                                                                TimePoint Now) {
                       Task *Checked = find(Id);
                       if (Checked == nullptr)
                         return;
                       if (!Confirmed && isWrite(*Checked)) {
                         resolveOutcome(*Checked, ErrorCode::NoPrimary);
                         return;
                       }
                       if (!Confirmed) {
                         moveToWaiting(*Checked, Milliseconds(0), Now);
                         return;
                       }
                       if (isWrite(*Checked))
                         ++Counters_.Writes;
                       else
                         ++Counters_.ReadsFromPrimary;
                       finish(*Checked, PendingAnswer);
                     });
}

void RequestExecutor::resolveOutcome(Task &Target, ErrorCode Cause) {
  Target.Cause = Cause;
  setTimer(Target, Target.Request.Deadline);
  setState(Target, TaskState::Resolving);
  ++Counters_.Resolved;
  Resolver_.start(
      Target.Id, Target.Request,
      [this, Id = Target.Id](const ResolvedOutcome &Result, TimePoint) {
        if (Task *Resolved = find(Id))
          finish(*Resolved, makeResolvedAnswer(Resolved->Request, Result,
                                               Resolved->Cause));
      });
}

void RequestExecutor::onTimer(Task &Target, TimePoint Now) {
  if (Now >= Target.Request.Deadline || Target.State != TaskState::Sent) {
    expire(Target, Now);
    return;
  }
  // The remaining time is used to resolve the outcome of the write.
  Databases_.ignoreResult(Target.Exchange);
  Target.MayHaveRun = true;
  resolveOutcome(Target, ErrorCode::DeadlineExceeded);
}

void RequestExecutor::expire(Task &Target, TimePoint Now) {
  const bool HasPrimary = Access_.primaryOf(Target.Request.Group, Now).State !=
                          PrimaryAccess::Kind::Unavailable;
  switch (Target.State) {
  case TaskState::Queued:
    dequeue(Target, Now);
    if (Now < Target.Request.Deadline) {
      // The scheduler removed the request because it would finish too late.
      ++Counters_.Refused;
      finish(Target,
             makeError(Target.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                       ErrorCode::Overloaded,
                       "database \"" + Target.Database +
                           "\" can't serve the request in time",
                       OverloadRetryAfter));
      return;
    }
    [[fallthrough]];
  case TaskState::Waiting:
    finish(Target,
           makeError(Target.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                     HasPrimary ? ErrorCode::DeadlineExceeded
                                : ErrorCode::NoPrimary,
                     HasPrimary ? "no database could serve the request "
                                  "before its deadline"
                                : "the group has no primary",
                     NoPrimaryRetryAfter));
    return;
  case TaskState::Sent:
    Databases_.ignoreResult(Target.Exchange);
    break;
  case TaskState::Confirming:
  case TaskState::Checking:
    Confirmations_.remove(Target.Id, Target.Request.Group);
    break;
  case TaskState::Resolving:
    Resolver_.cancel(Target.Id, Now);
    break;
  }
  finish(Target, makeError(Outcome::Unknown,
                           isWrite(Target) ? ErrorCode::OutcomeUnknown
                                           : ErrorCode::DeadlineExceeded,
                           "the deadline passed before the outcome was known"));
}

void RequestExecutor::finish(Task &Target, const CallerAnswer &Answer) {
  const TaskId Id = Target.Id;
  const auto Waiting = Waiting_.find(Target.Request.Group);
  if (Waiting != Waiting_.end())
    Waiting->second.erase(Target.Sequence);
  Timers_.remove(Target.TimerDue, Id);
  Tasks_.erase(Id);
  Hooks_.Answer(Id, Answer);
}

void RequestExecutor::cancel(TaskId Id, TimePoint Now) {
  Task *Target = find(Id);
  if (Target == nullptr) {
    Transactions_.cancel(Id, Now);
    return;
  }
  dequeue(*Target, Now);
  // A write that was sent is not stopped. A retry with the same idempotency key
  // returns its outcome.
  Databases_.ignoreResult(Target->Exchange);
  Confirmations_.remove(Id, Target->Request.Group);
  Resolver_.cancel(Id, Now);
  Waiting_[Target->Request.Group].erase(Target->Sequence);
  Timers_.remove(Target->TimerDue, Id);
  Tasks_.erase(Id);
}

void RequestExecutor::onConnectionOpened(ConnectionId Connection,
                                         TimePoint Now) {
  Databases_.onConnectionOpened(Connection, Now);
}

void RequestExecutor::onConnectionClosed(ConnectionId Connection,
                                         TimePoint Now) {
  Databases_.onConnectionClosed(Connection, Now);
  Transactions_.onConnectionClosed(Connection, Now);
}

void RequestExecutor::onDatabaseAnswer(ConnectionId Connection,
                                       const DatabaseAnswer &Answer,
                                       TimePoint Now) {
  Databases_.onAnswer(Connection, Answer, Now);
}

void RequestExecutor::onDatabaseFailure(ConnectionId Connection,
                                        const DatabaseFailure &Failure,
                                        TimePoint Now) {
  Databases_.onFailure(Connection, Failure, Now);
}

void RequestExecutor::onStatus(const DatabaseStatus &Status, TimePoint Now) {
  Selector_.observe(Status.Database, Status.LogTerm, Status.Applied, Now);
  if (const DatabaseEntity *Database = Access_.findDatabase(Status.Database))
    onGroupChanged(Database->Group);
}

void RequestExecutor::onGroupChanged(const GroupId &Group) {
  Confirmations_.onStatus(Group);
}

void RequestExecutor::tick(TimePoint Now) {
  Confirmations_.processDecided(Now);
  for (const WorkId Work : Databases_.takeTooLate(Now)) {
    const auto Found = TaskOf_.find(Work);
    if (Found == TaskOf_.end()) {
      Transactions_.onExpired(Work, Now);
      continue;
    }
    Task *Target = find(Found->second);
    TaskOf_.erase(Found);
    if (Target != nullptr)
      expire(*Target, Now);
  }
  while (const auto Due = Timers_.takeDue(Now))
    if (Task *Target = find(*Due))
      onTimer(*Target, Now);
  Transactions_.tick(Now);
  Resolver_.tick(Now);
  recheckQueued(Now);
  dispatchWaiting(Now);
  Databases_.tick(Now);
}

void RequestExecutor::beginDrain() { Transactions_.beginDrain(); }

bool RequestExecutor::isIdle() const {
  return Tasks_.empty() && Transactions_.isIdle();
}

std::size_t RequestExecutor::waitingIn(const GroupEntity &Group) const {
  const auto Found = Waiting_.find(Group.Id);
  std::size_t Count = Found == Waiting_.end() ? 0 : Found->second.size();
  for (const DatabaseId &Member : Group.Members)
    Count += Databases_.waitingAt(Member);
  return Count;
}

bool RequestExecutor::isInUse(const GroupId &Group) const {
  return Transactions_.isInUse(Group) ||
         std::any_of(Tasks_.begin(), Tasks_.end(), [&](const auto &Entry) {
           return Entry.second.Request.Group == Group;
         });
}

} // namespace nutmegloom
