#include "core/ownersystem.h"

#include "core/termcheck.h"

#include <algorithm>

namespace nutmegloom {

/// How often tasks that wait for a database are tried again.
static constexpr Milliseconds PlacingInterval{10};
/// How often queued tasks are checked for a database that is no longer good.
static constexpr Milliseconds ReviewInterval{100};
/// Pause of a task after a database refused it or was too old.
static constexpr Milliseconds RefusalPause{20};
static constexpr Milliseconds FullDatabasePause{50};
/// Time after which a caller whose retries are used up may try again.
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
  case TaskState::Settling:
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

OwnerSystem::OwnerSystem(Tables &Data, const Policy &Limits,
                         const OwnershipSystem &Owners, const TermCheck &Terms,
                         const PeerHeartbeat &Self, ExchangeId FirstExchange,
                         EngineCounters &Counters, Hooks Functions)
    : Data_(Data), Limits_(Limits), Terms_(Terms), Counters_(Counters),
      Functions_(std::move(Functions)),
      Access_(Data, Owners, Terms, Self.Host, Self.Region),
      Databases_(Data, Limits, Functions_.Databases, FirstExchange),
      Confirmations_(Data, Terms),
      Settlements_(Access_, Databases_, Confirmations_),
      Parts_{Data,
             Limits,
             Access_,
             Terms,
             Databases_,
             Confirmations_,
             Settlements_,
             Counters,
             Self.Host,
             Functions_.Answer,
             Functions_.NewIdentifier},
      Transactions_(Parts_), Judge_(Terms),
      Choice_(
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
                    Databases_.pool().cannotConnect(Database);
           }}) {}

OwnerSystem::~OwnerSystem() = default;

OwnerSystem::Task *OwnerSystem::find(TaskId Id) {
  const auto Found = Tasks_.find(Id);
  return Found == Tasks_.end() ? nullptr : &Found->second;
}

bool OwnerSystem::isWrite(const Task &Target) const {
  return Target.Request.Step == RequestStep::ResolveOutcome ||
         Target.Request.Kind == StatementKind::Write;
}

void OwnerSystem::setState(Task &Target, TaskState State) {
  auto &Waiting = Waiting_[Target.Request.Group];
  if (State == TaskState::Waiting)
    Waiting[Target.Sequence] = Target.Id;
  else
    Waiting.erase(Target.Sequence);
  Target.State = State;
}

void OwnerSystem::setTimer(Task &Target, TimePoint At) {
  Timers_.remove(Target.Timer, Target.Id);
  Target.Timer = At;
  Timers_.add(At, Target.Id);
}

void OwnerSystem::submit(TaskId Id, const CallerRequest &Request,
                         TimePoint Now) {
  const auto Group = Data_.Groups.find(Request.Group);
  if (Group == Data_.Groups.end()) {
    Functions_.Answer(Id, makeError(Outcome::NotRun, ErrorCode::NotFound,
                                    "group \"" + Request.Group +
                                        "\" is not in the configuration"));
    return;
  }
  const bool NeedsKey = Request.Step == RequestStep::Commit ||
                        Request.Step == RequestStep::ResolveOutcome ||
                        (Request.Step == RequestStep::Statement &&
                         Request.Kind == StatementKind::Write);
  if (NeedsKey && Request.Key.empty()) {
    // The entry makes a key. Without one an outcome could never be found.
    const bool Settle = Request.Step == RequestStep::ResolveOutcome;
    Functions_.Answer(Id, makeError(Settle ? Outcome::Unknown : Outcome::NotRun,
                                    ErrorCode::BadRequest,
                                    "a write needs an idempotency key"));
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
    settle(Target, ErrorCode::ConnectionLost);
  else
    place(Target, Now);
}

void OwnerSystem::place(Task &Target, TimePoint Now) {
  if (isWrite(Target)) {
    const PrimaryAccess Access = Access_.primaryOf(Target.Request.Group, Now);
    if (Access.Answer == PrimaryAccess::Kind::Redirect)
      redirect(Target, Access.Region);
    else if (Access.Answer == PrimaryAccess::Kind::Ready &&
             Access.Term >= Target.LeastTerm)
      enqueue(Target, Access.Database, true, Now);
    else
      wait(Target, Milliseconds(0), Now);
    return;
  }
  const GroupEntity *Group = Access_.find(Target.Request.Group);
  if (Group != nullptr && Target.Request.Required &&
      Judge_.isLost(*Target.Request.Required, *Group, Now)) {
    finish(Target,
           makeError(Outcome::NotRun, ErrorCode::WriteLost,
                     "the write that the session token names was lost in a "
                     "failover"));
    return;
  }
  const ReadPlace Place = Choice_.choose(Target.Request, Target.Avoided, Now);
  switch (Place.Answer) {
  case ReadPlace::Kind::Database:
    enqueue(Target, Place.Database, Place.AtPrimary, Now);
    return;
  case ReadPlace::Kind::Redirect:
    redirect(Target, Place.Region);
    return;
  case ReadPlace::Kind::Wait:
    // Databases that failed once may be the only ones left.
    if (!Target.Avoided.empty()) {
      Target.Avoided.clear();
      wait(Target, FullDatabasePause, Now);
      return;
    }
    wait(Target, Milliseconds(0), Now);
    return;
  }
}

void OwnerSystem::redirect(Task &Target, const RegionName &Region) {
  ++Counters_.Redirected;
  CallerAnswer Answer =
      makeError(Target.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                ErrorCode::NoPrimary, "served in region \"" + Region + "\"");
  Answer.RedirectRegion = Region;
  finish(Target, Answer);
}

void OwnerSystem::wait(Task &Target, Milliseconds Pause, TimePoint Now) {
  const auto &Waiting = Waiting_[Target.Request.Group];
  // Tasks that were queued before were admitted already.
  if (Target.State == TaskState::Waiting && !Target.MayHaveRun &&
      !Waiting.contains(Target.Sequence) &&
      Waiting.size() >= Limits_.WaitingRequests) {
    finish(Target, makeError(Outcome::NotRun, ErrorCode::NoPrimary,
                             "too many requests wait for the group",
                             NoPrimaryRetryAfter));
    return;
  }
  if (Pause > Milliseconds(0))
    Target.NotBefore = Now + Pause;
  setState(Target, TaskState::Waiting);
}

void OwnerSystem::enqueue(Task &Target, const DatabaseId &Database,
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
                     "database \"" + Database + "\" is at its limit",
                     Refusal->RetryAfter));
    return;
  }
  Target.Work = std::get<WorkId>(Admitted);
  Target.Database = Database;
  Target.AtPrimary = AtPrimary;
  TaskOf_[Target.Work] = Target.Id;
  setState(Target, TaskState::Queued);
}

void OwnerSystem::placeWaiting(TimePoint Now) {
  if (NextPlacing_ && Now < *NextPlacing_)
    return;
  NextPlacing_ = Now + PlacingInterval;
  std::vector<TaskId> Due;
  for (auto Group = Waiting_.begin(); Group != Waiting_.end();) {
    for (const auto &[Sequence, Id] : Group->second)
      Due.push_back(Id);
    Group = Group->second.empty() ? Waiting_.erase(Group) : std::next(Group);
  }
  for (const TaskId Id : Due) {
    Task *Target = find(Id);
    if (Target != nullptr && Target->State == TaskState::Waiting &&
        (!Target->NotBefore || *Target->NotBefore <= Now))
      place(*Target, Now);
  }
}

void OwnerSystem::reviewQueued(TimePoint Now) {
  if (NextReview_ && Now < *NextReview_)
    return;
  NextReview_ = Now + ReviewInterval;
  Access_.refresh();
  for (auto &[Id, Target] : Tasks_) {
    if (Target.State != TaskState::Queued)
      continue;
    if (Target.AtPrimary) {
      // A term check that fails for a moment keeps its queue.
      const PrimaryAccess Access = Access_.primaryOf(Target.Request.Group, Now);
      if (Access.Database == Target.Database)
        continue;
    } else if (Choice_.isStillGood(Target.Request, Target.Database, Now)) {
      continue;
    }
    withdraw(Target, Now);
    setState(Target, TaskState::Waiting);
  }
}

void OwnerSystem::withdraw(Task &Target, TimePoint Now) {
  TaskOf_.erase(Target.Work);
  Databases_.withdraw(Target.Work, Now);
  Target.Work = 0;
}

void OwnerSystem::onStart(TaskId Id, WorkId Work, ConnectionId Connection,
                          TimePoint Now) {
  TaskOf_.erase(Work);
  Task *Target = find(Id);
  if (Target == nullptr || Target->State != TaskState::Queued ||
      Target->Work != Work) {
    Databases_.finish(Work, Connection, Now);
    return;
  }
  if (Now >= Target->Request.Deadline) {
    Databases_.finish(Work, Connection, Now);
    expire(*Target, Now);
    return;
  }
  std::uint64_t Term = 0;
  bool MaySend = false;
  if (Target->AtPrimary) {
    const PrimaryAccess Access = Access_.primaryOf(Target->Request.Group, Now);
    MaySend = Access.Answer == PrimaryAccess::Kind::Ready &&
              Access.Database == Target->Database &&
              Access.Term >= Target->LeastTerm;
    Term = Access.Term;
  } else {
    MaySend = Choice_.isStillGood(Target->Request, Target->Database, Now);
    Term = Choice_.termOf(Target->Database);
  }
  if (!MaySend) {
    Databases_.finish(Work, Connection, Now);
    setState(*Target, TaskState::Waiting);
    return;
  }
  send(*Target, Connection, Term, Now);
}

void OwnerSystem::send(Task &Target, ConnectionId Connection,
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
  Options.Harmless = !isWrite(Target);
  if (isWrite(Target)) {
    Request.Key = Target.Request.Key;
    Request.Fingerprint = Target.Request.Fingerprint;
    setTimer(Target, settleTimeOf(Target.Request.Deadline, Now));
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

void OwnerSystem::onResult(TaskId Id, const ExchangeResult &Result,
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

bool OwnerSystem::onRefusal(Task &Target, const DatabaseFailure &Failure,
                            TimePoint Now) {
  switch (Failure.Kind) {
  case DatabaseFailureKind::NotConnected:
  case DatabaseFailureKind::TooManyConnections:
    if (!Target.AtPrimary)
      Target.Avoided.insert(Target.Database);
    wait(Target, FullDatabasePause, Now);
    return true;
  case DatabaseFailureKind::TermMismatch:
    Choice_.observeTerm(Target.Database, Failure.Term);
    if (Target.AtPrimary)
      Target.LeastTerm = std::max(Target.LeastTerm, Failure.Term);
    wait(Target, RefusalPause, Now);
    return true;
  case DatabaseFailureKind::StatementFailed:
    finish(Target,
           makeError(Target.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                     ErrorCode::StatementFailed, Failure.Detail));
    return true;
  case DatabaseFailureKind::KeyReused:
    finish(Target, makeError(Outcome::NotRun, ErrorCode::KeyReused,
                             "the idempotency key belongs to other work"));
    return true;
  case DatabaseFailureKind::NoTransaction:
    finish(Target, makeError(Outcome::NotRun, ErrorCode::Internal,
                             "the database refused a single statement for "
                             "lack of a transaction"));
    return true;
  case DatabaseFailureKind::Broken:
  case DatabaseFailureKind::Malformed:
  case DatabaseFailureKind::KeyClosed:
    return false;
  }
  return false;
}

void OwnerSystem::onReadAnswer(Task &Target, const DatabaseAnswer &Answer,
                               TimePoint Now) {
  Target.MayHaveRun = true;
  Choice_.observe(Target.Database, Answer.LogTerm, Answer.Index, Now);
  const GroupEntity *Group = Access_.find(Target.Request.Group);
  if (Group == nullptr) {
    finish(Target, makeError(Outcome::Unknown, ErrorCode::NotFound,
                             "the group was removed from the configuration"));
    return;
  }
  const Freshness Verdict = Judge_.judge(Target.Request, Answer, *Group, Now);
  if (Verdict == Freshness::Lost) {
    finish(Target,
           makeError(Outcome::Run, ErrorCode::WriteLost,
                     "the write that the session token names was lost in a "
                     "failover"));
    return;
  }
  if (Verdict == Freshness::Stale) {
    ++Counters_.StaleAnswersDropped;
    Choice_.onStaleRead(Target.Database, Now);
    if (!Target.AtPrimary)
      Target.Avoided.insert(Target.Database);
    // A primary that is behind the session belongs to an old view of the group.
    wait(Target, Target.AtPrimary ? RefusalPause : Milliseconds(0), Now);
    if (!Target.AtPrimary)
      place(Target, Now);
    return;
  }
  CallerAnswer Draft;
  Draft.Result = Outcome::Run;
  Draft.Body = Answer.Result;
  Draft.Database = Target.Database;
  Draft.Age = Answer.Age;
  Draft.Seen = Judge_.seen(Target.Request, Answer, *Group);
  Draft.FromReplica = !Target.AtPrimary;
  if (!Target.AtPrimary) {
    ++Counters_.ReadsFromReplica;
    finish(Target, Draft);
    return;
  }
  if (!Terms_.hasRecentMajority(Target.Request.Group, Target.Term, Now))
    ++Counters_.TermChecksFailed;
  setState(Target, TaskState::Checking);
  confirm(Target, std::nullopt, std::move(Draft));
}

void OwnerSystem::onReadFailure(Task &Target, const DatabaseFailure &Failure,
                                TimePoint Now) {
  Target.MayHaveRun = true;
  Target.Avoided.insert(Target.Database);
  if (!Budget_.take(Target.Request.Caller)) {
    finish(Target,
           makeError(Outcome::Unknown, ErrorCode::Overloaded,
                     "database \"" + Target.Database + "\": " + Failure.Detail +
                         "; the caller's retries are used up",
                     BudgetRetryAfter));
    return;
  }
  ++Counters_.Retries;
  wait(Target, Milliseconds(0), Now);
  place(Target, Now);
}

void OwnerSystem::onWriteAnswer(Task &Target, const DatabaseAnswer &Answer,
                                TimePoint Now) {
  Target.MayHaveRun = true;
  if (!Terms_.hasRecentMajority(Target.Request.Group, Target.Term, Now))
    ++Counters_.TermChecksFailed;
  setState(Target, TaskState::Confirming);
  confirm(Target, Position{Answer.LogTerm, Answer.Index},
          makeWriteAnswer(Target.Request, Answer));
}

void OwnerSystem::onWriteFailure(Task &Target, const DatabaseFailure &Failure,
                                 TimePoint) {
  // A closed key means that another host has settled this write. Its close
  // has to be confirmed here as well before it is reported.
  const bool Refused = Failure.Kind == DatabaseFailureKind::KeyClosed;
  Target.MayHaveRun |= !Refused;
  settle(Target, Refused ? ErrorCode::KeyClosed : ErrorCode::ConnectionLost);
}

void OwnerSystem::confirm(Task &Target, std::optional<Position> Wanted,
                          CallerAnswer Draft) {
  Confirmations_.add(Target.Id, Target.Request.Group, Target.Term, Wanted,
                     [this, Id = Target.Id,
                      Draft = std::move(Draft)](bool Confirmed, TimePoint Now) {
                       Task *Checked = find(Id);
                       if (Checked == nullptr)
                         return;
                       if (!Confirmed && isWrite(*Checked)) {
                         settle(*Checked, ErrorCode::NoPrimary);
                         return;
                       }
                       if (!Confirmed) {
                         wait(*Checked, Milliseconds(0), Now);
                         return;
                       }
                       if (isWrite(*Checked))
                         ++Counters_.Writes;
                       else
                         ++Counters_.ReadsFromPrimary;
                       finish(*Checked, Draft);
                     });
}

void OwnerSystem::settle(Task &Target, ErrorCode Cause) {
  Target.Cause = Cause;
  setTimer(Target, Target.Request.Deadline);
  setState(Target, TaskState::Settling);
  ++Counters_.Settled;
  Settlements_.start(
      Target.Id, Target.Request,
      [this, Id = Target.Id](const SettleResult &Result, TimePoint) {
        if (Task *Settled = find(Id))
          finish(*Settled,
                 makeSettledAnswer(Settled->Request, Result, Settled->Cause));
      });
}

void OwnerSystem::onTimer(Task &Target, TimePoint Now) {
  if (Now >= Target.Request.Deadline || Target.State != TaskState::Sent) {
    expire(Target, Now);
    return;
  }
  // The rest of the time is for finding out what became of the write.
  Databases_.abandon(Target.Exchange);
  Target.MayHaveRun = true;
  settle(Target, ErrorCode::DeadlineExceeded);
}

void OwnerSystem::expire(Task &Target, TimePoint Now) {
  const bool HasPrimary = Access_.primaryOf(Target.Request.Group, Now).Answer !=
                          PrimaryAccess::Kind::Unavailable;
  switch (Target.State) {
  case TaskState::Queued:
    withdraw(Target, Now);
    if (Now < Target.Request.Deadline) {
      // The scheduler found that the work would end too late.
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
    Databases_.abandon(Target.Exchange);
    break;
  case TaskState::Confirming:
  case TaskState::Checking:
    Confirmations_.remove(Target.Id, Target.Request.Group);
    break;
  case TaskState::Settling:
    Settlements_.cancel(Target.Id, Now);
    break;
  }
  finish(Target, makeError(Outcome::Unknown,
                           isWrite(Target) ? ErrorCode::OutcomeUnknown
                                           : ErrorCode::DeadlineExceeded,
                           "the deadline passed before the outcome was known"));
}

void OwnerSystem::finish(Task &Target, const CallerAnswer &Answer) {
  const TaskId Id = Target.Id;
  const auto Waiting = Waiting_.find(Target.Request.Group);
  if (Waiting != Waiting_.end())
    Waiting->second.erase(Target.Sequence);
  Timers_.remove(Target.Timer, Id);
  Tasks_.erase(Id);
  Functions_.Answer(Id, Answer);
}

void OwnerSystem::cancel(TaskId Id, TimePoint Now) {
  Task *Target = find(Id);
  if (Target == nullptr) {
    Transactions_.cancel(Id, Now);
    return;
  }
  withdraw(*Target, Now);
  // A write that was sent is left to run: its key tells the outcome to
  // whoever asks again.
  Databases_.abandon(Target->Exchange);
  Confirmations_.remove(Id, Target->Request.Group);
  Settlements_.cancel(Id, Now);
  Waiting_[Target->Request.Group].erase(Target->Sequence);
  Timers_.remove(Target->Timer, Id);
  Tasks_.erase(Id);
}

void OwnerSystem::onConnectionOpened(ConnectionId Connection, TimePoint Now) {
  Databases_.onConnectionOpened(Connection, Now);
}

void OwnerSystem::onConnectionClosed(ConnectionId Connection, TimePoint Now) {
  Databases_.onConnectionClosed(Connection, Now);
  Transactions_.onConnectionClosed(Connection, Now);
}

void OwnerSystem::onDatabaseAnswer(ConnectionId Connection,
                                   const DatabaseAnswer &Answer,
                                   TimePoint Now) {
  Databases_.onAnswer(Connection, Answer, Now);
}

void OwnerSystem::onDatabaseFailure(ConnectionId Connection,
                                    const DatabaseFailure &Failure,
                                    TimePoint Now) {
  Databases_.onFailure(Connection, Failure, Now);
}

void OwnerSystem::onStatus(const DatabaseStatus &Status, TimePoint Now) {
  Choice_.observe(Status.Database, Status.LogTerm, Status.Applied, Now);
  if (const DatabaseEntity *Database = Access_.findDatabase(Status.Database))
    onGroupChanged(Database->Group);
}

void OwnerSystem::onGroupChanged(const GroupId &Group) {
  Confirmations_.onStatus(Group);
}

void OwnerSystem::tick(TimePoint Now) {
  Confirmations_.check(Now);
  for (const WorkId Work : Databases_.takeExpired(Now)) {
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
  Settlements_.tick(Now);
  reviewQueued(Now);
  placeWaiting(Now);
  Databases_.tick(Now);
}

void OwnerSystem::beginDrain() { Transactions_.beginDrain(); }

bool OwnerSystem::isIdle() const {
  return Tasks_.empty() && Transactions_.isIdle();
}

std::size_t OwnerSystem::waitingIn(const GroupEntity &Group) const {
  const auto Found = Waiting_.find(Group.Id);
  std::size_t Count = Found == Waiting_.end() ? 0 : Found->second.size();
  for (const DatabaseId &Member : Group.Members)
    Count += Databases_.waitingAt(Member);
  return Count;
}

bool OwnerSystem::isInUse(const GroupId &Group) const {
  return Transactions_.isInUse(Group) ||
         std::any_of(Tasks_.begin(), Tasks_.end(), [&](const auto &Entry) {
           return Entry.second.Request.Group == Group;
         });
}

} // namespace nutmegloom
