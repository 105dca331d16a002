#include "core/requestrouter.h"

#include "core/executorcontext.h"
#include "core/replicaselector.h"
#include "core/transactionid.h"

#include <algorithm>

namespace nutmegloom {

/// Marks the identifiers of attempts, since the identifiers of tasks are
/// assigned outside this library. Each attempt has its own identifier, so that
/// a late answer to one is not taken for the answer to the next.
static constexpr TaskId AttemptBit = TaskId(1) << 63;
/// Time that the answer of an owner may take to arrive after the deadline.
static constexpr Milliseconds AnswerGrace{100};
/// Interval at which owners are ranked and checked. If an owner fails between
/// two checks, each request to which it gives no answer excludes it separately.
static constexpr Milliseconds OwnerCheckInterval{20};
static constexpr std::uint32_t MaximumRedirects = 4;
static constexpr Milliseconds RetryPause{10};
/// Upper bound of the random time added to RetryPause, so that retries of many
/// callers do not arrive together.
static constexpr std::uint64_t JitterMilliseconds = 20;
static constexpr Milliseconds OwnerUnavailableRetryAfter{1000};

RequestRouter::RequestRouter(const Tables &Data, const Policy &Limits,
                             const OwnershipSystem &Owners,
                             const PeerHeartbeat &Self,
                             EngineCounters &Counters, Hooks Callbacks)
    : Data_(Data), Limits_(Limits), Owners_(Owners), Self_(Self.Host),
      Region_(Self.Region), Counters_(Counters), Hooks_(std::move(Callbacks)),
      LastAttempt_(AttemptBit) {}

bool RequestRouter::isAttempt(TaskId Id) { return (Id & AttemptBit) != 0; }

RequestRouter::Task *RequestRouter::find(TaskId Id) {
  const auto Found = Tasks_.find(Id);
  return Found == Tasks_.end() ? nullptr : &Found->second;
}

RequestRouter::Task *RequestRouter::findByAttempt(TaskId Attempt) {
  const auto Found = TaskOf_.find(Attempt);
  return Found == TaskOf_.end() ? nullptr : find(Found->second);
}

static bool isTransactionStep(RequestStep Step) {
  return Step == RequestStep::TransactionStatement ||
         Step == RequestStep::Commit || Step == RequestStep::Rollback;
}

bool RequestRouter::isInTransaction(const Task &Target) const {
  return isTransactionStep(Target.Request.Step);
}

bool RequestRouter::requiresKey(const Task &Target) const {
  return Target.Request.Step == RequestStep::Commit ||
         (Target.Request.Step == RequestStep::Statement &&
          Target.Request.Kind == StatementKind::Write);
}

void RequestRouter::submit(TaskId Id, const CallerRequest &Request,
                           TimePoint Now) {
  ++Counters_.Requests;
  Task &Target = Tasks_[Id];
  Target.Id = Id;
  Target.Request = Request;
  Target.CurrentStep = Request.Step;
  Target.TimerDue = Request.Deadline;
  Timers_.add(Target.TimerDue, Id);
  if (isInTransaction(Target)) {
    const auto Parts = parseTransactionId(Request.Transaction);
    if (!Parts) {
      finish(Target, makeError(Outcome::NotRun, ErrorCode::NotFound,
                               "the transaction id is not valid"));
      return;
    }
    Target.Request.Group = Parts->Group;
    Target.Owner = Parts->Owner;
  } else if (Draining_) {
    // Steps of open transactions are served until the host stops.
    finish(Target,
           makeError(Outcome::NotRun, ErrorCode::NotReady,
                     "the host is stopping", OwnerUnavailableRetryAfter));
    return;
  }
  if (!Data_.Groups.contains(Target.Request.Group)) {
    finish(Target, makeError(Outcome::NotRun, ErrorCode::NotFound,
                             "group \"" + Target.Request.Group +
                                 "\" is not in the configuration"));
    return;
  }
  if (requiresKey(Target) && Target.Request.Key.empty())
    Target.Request.Key = Hooks_.NewIdentifier();
  Budget_.onRequest(Request.Caller);
  if (!isInTransaction(Target))
    Target.Region = regionFor(Target.Request);
  sendAttempt(Target, Now);
}

RegionName RequestRouter::regionFor(const CallerRequest &Request) const {
  const bool AtPrimary = Request.Kind == StatementKind::Write ||
                         Request.Step == RequestStep::Begin ||
                         needsPrimary(Request);
  if (AtPrimary) {
    const auto Group = Data_.Groups.find(Request.Group);
    if (Group != Data_.Groups.end() && Group->second.Active &&
        Group->second.Primary) {
      const auto Primary = Data_.Databases.find(*Group->second.Primary);
      if (Primary != Data_.Databases.end())
        return Primary->second.Region;
    }
    const auto KnownRegion = PrimaryRegion_.find(Request.Group);
    if (KnownRegion != PrimaryRegion_.end())
      return KnownRegion->second;
  }
  return Owners_.preferredRegionOf(Request.Group, Region_);
}

HostName RequestRouter::ownerFor(const Task &Target) const {
  const auto [Owners, Inserted] =
      RankedOwners_.try_emplace({Target.Request.Group, Target.Region});
  if (Inserted)
    Owners->second = Owners_.rankedHosts(Target.Request.Group, Target.Region);
  for (const HostName &Host : Owners->second)
    if (!Target.FailedOwners.contains(Host))
      return Host;
  // All owners have failed for this request, or no host is known to be live.
  // Any host can serve any request, so this one does.
  return Self_;
}

bool RequestRouter::isUnreachable(const HostName &Host, TimePoint Now) const {
  if (Host == Self_)
    return false;
  const auto Found = Data_.Hosts.find(Host);
  return Found == Data_.Hosts.end() || Found->second.Suspected ||
         (Found->second.LastHeard &&
          Now - *Found->second.LastHeard > Limits_.Suspect);
}

void RequestRouter::sendAttempt(Task &Target, TimePoint Now) {
  Target.RetryAt.reset();
  const bool AtTransactionOwner =
      isInTransaction(Target) &&
      Target.CurrentStep != RequestStep::ResolveOutcome;
  if (!AtTransactionOwner)
    Target.Owner = ownerFor(Target);
  CallerRequest Request = Target.Request;
  Request.Step = Target.CurrentStep;
  const TaskId Attempt = ++LastAttempt_;
  Target.Attempt = Attempt;
  Target.Local = Target.Owner == Self_;
  TaskOf_[Attempt] = Target.Id;
  if (Target.Local) {
    Hooks_.Submit(Attempt, Request, Now);
    return;
  }
  ++Counters_.Forwarded;
  Hooks_.Forward(Target.Owner, Attempt, Request);
}

void RequestRouter::onAnswer(TaskId Attempt, const CallerAnswer &Answer,
                             TimePoint Now) {
  Task *Target = findByAttempt(Attempt);
  TaskOf_.erase(Attempt);
  if (Target == nullptr || Target->Attempt != Attempt)
    return;
  Target->Attempt = 0;
  if (!Answer.RedirectRegion.empty()) {
    followRedirect(*Target, Answer, Now);
    return;
  }
  if (Answer.Error == ErrorCode::NotReady && Answer.Result == Outcome::NotRun &&
      !Target->MayHaveRun) {
    onOwnerFailed(*Target, false, Now);
    return;
  }
  CallerAnswer Final = Answer;
  if (Target->CurrentStep == RequestStep::Rollback &&
      Target->Request.Step == RequestStep::TransactionStatement) {
    // This is the answer to the rollback after a statement whose owner failed.
    // It shows whether the statement can still have an effect.
    Final = makeError(Answer.Result, ErrorCode::TransactionLost,
                      "the owner of the transaction could not be reached");
  } else if (Target->CurrentStep == Target->Request.Step &&
             Target->MayHaveRun && Answer.Result == Outcome::NotRun) {
    // This attempt was not executed, but an earlier one may have been.
    Final.Result = Outcome::Unknown;
  }
  finish(*Target, Final);
}

void RequestRouter::followRedirect(Task &Target, const CallerAnswer &Answer,
                                   TimePoint Now) {
  Target.MayHaveRun |= Answer.Result != Outcome::NotRun;
  PrimaryRegion_[Target.Request.Group] = Answer.RedirectRegion;
  // A write that may have been executed is never sent again; only its outcome
  // is resolved.
  if (Answer.Result != Outcome::NotRun && requiresKey(Target))
    Target.CurrentStep = RequestStep::ResolveOutcome;
  Target.Region = Answer.RedirectRegion;
  Target.FailedOwners.clear();
  if (++Target.Redirects > MaximumRedirects) {
    // The hosts disagree for a moment about which of them owns the group in the
    // region.
    Target.Redirects = 0;
    scheduleRetry(Target, Now);
    return;
  }
  sendAttempt(Target, Now);
}

void RequestRouter::scheduleRetry(Task &Target, TimePoint Now) {
  const Milliseconds Jitter(
      static_cast<std::int64_t>(Hooks_.Random() % JitterMilliseconds));
  Target.RetryAt = Now + RetryPause + Jitter;
  Retries_.add(*Target.RetryAt, Target.Id);
}

void RequestRouter::onForwardFailed(TaskId Attempt, bool Sent, TimePoint Now) {
  Task *Target = findByAttempt(Attempt);
  TaskOf_.erase(Attempt);
  if (Target == nullptr || Target->Attempt != Attempt)
    return;
  Target->Attempt = 0;
  if (isInTransaction(*Target) &&
      Target->CurrentStep != RequestStep::ResolveOutcome)
    onTransactionOwnerFailed(*Target, Sent, Now);
  else
    onOwnerFailed(*Target, Sent, Now);
}

void RequestRouter::onOwnerFailed(Task &Target, bool Sent, TimePoint Now) {
  Target.FailedOwners.insert(Target.Owner);
  if (Sent && Target.CurrentStep != RequestStep::ResolveOutcome &&
      requiresKey(Target)) {
    // Resolving the outcome is not a retry and does not use the retry budget.
    Target.MayHaveRun = true;
    Target.CurrentStep = RequestStep::ResolveOutcome;
    scheduleRetry(Target, Now);
    return;
  }
  if (Sent && Target.Request.Step != RequestStep::Begin)
    Target.MayHaveRun = true;
  retryOrFail(Target, Now);
}

void RequestRouter::retryOrFail(Task &Target, TimePoint Now) {
  if (Target.CurrentStep == RequestStep::ResolveOutcome) {
    scheduleRetry(Target, Now);
    return;
  }
  if (!Budget_.tryConsume(Target.Request.Caller)) {
    finish(
        Target,
        makeError(
            Target.MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
            ErrorCode::Overloaded,
            "the owner could not be reached and the caller has no retries left",
            OwnerUnavailableRetryAfter));
    return;
  }
  ++Counters_.Retries;
  scheduleRetry(Target, Now);
}

void RequestRouter::onTransactionOwnerFailed(Task &Target, bool Sent,
                                             TimePoint Now) {
  if (Target.Request.Step == RequestStep::Commit) {
    Target.MayHaveRun |= Sent;
    Target.CurrentStep = RequestStep::ResolveOutcome;
    Target.Region = regionFor(Target.Request);
    Target.FailedOwners.insert(Target.Owner);
    scheduleRetry(Target, Now);
    return;
  }
  if (Target.Request.Step == RequestStep::TransactionStatement && Sent &&
      Target.CurrentStep != RequestStep::Rollback) {
    // The statement may have been executed in the transaction. In case its
    // owner is still running, the transaction is rolled back so that it cannot
    // be committed.
    Target.MayHaveRun = true;
    Target.CurrentStep = RequestStep::Rollback;
    scheduleRetry(Target, Now);
    return;
  }
  // Without its owner the transaction cannot be committed, and the database
  // rolls it back when the owner's connection closes.
  finish(Target,
         makeError(Outcome::NotRun, ErrorCode::TransactionLost,
                   "the owner of the transaction could not be reached"));
}

void RequestRouter::failUnreachableAttempts(TimePoint Now) {
  std::vector<TaskId> Attempts;
  for (const auto &[Id, Target] : Tasks_)
    if (Target.Attempt != 0 && !Target.Local &&
        isUnreachable(Target.Owner, Now))
      Attempts.push_back(Target.Attempt);
  for (const TaskId Attempt : Attempts)
    onForwardFailed(Attempt, true, Now);
}

void RequestRouter::expire(Task &Target) {
  if (isInTransaction(Target) && !requiresKey(Target)) {
    finish(Target, makeError(Outcome::Unknown, ErrorCode::TransactionLost,
                             "the owner of the transaction did not answer"));
    return;
  }
  const bool MayHaveRun = Target.MayHaveRun || Target.Attempt != 0;
  finish(Target, makeError(MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                           MayHaveRun && requiresKey(Target)
                               ? ErrorCode::OutcomeUnknown
                               : ErrorCode::DeadlineExceeded,
                           "no owner answered before the deadline"));
}

bool RequestRouter::cancel(TaskId Id, TimePoint Now) {
  Task *Target = find(Id);
  if (Target == nullptr)
    return false;
  const TaskId Attempt = Target->Attempt;
  const bool Local = Target->Local;
  const CallerRequest Request = Target->Request;
  const HostName Owner = Target->Owner;
  Timers_.remove(Target->TimerDue, Id);
  Tasks_.erase(Id);
  if (Attempt == 0)
    return true;
  if (Local) {
    TaskOf_.erase(Attempt);
    Hooks_.Cancel(Attempt, Now);
  } else if (Request.Step == RequestStep::TransactionStatement) {
    sendRollback(Owner, Request.Transaction, Request.Group, Now);
  }
  return true;
}

void RequestRouter::sendRollback(const HostName &Owner,
                                 const std::string &Transaction,
                                 const GroupId &Group, TimePoint Now) {
  CallerRequest Request;
  Request.Step = RequestStep::Rollback;
  Request.Group = Group;
  Request.Transaction = Transaction;
  Request.Deadline = Now + Limits_.StatementTimeout;
  Hooks_.Forward(Owner, ++LastAttempt_, Request);
}

void RequestRouter::tick(TimePoint Now) {
  if (!NextCheckAt_ || Now >= *NextCheckAt_) {
    NextCheckAt_ = Now + OwnerCheckInterval;
    RankedOwners_.clear();
    failUnreachableAttempts(Now);
  }
  while (const auto Due = Retries_.takeDue(Now)) {
    Task *Target = find(*Due);
    if (Target != nullptr && Target->Attempt == 0 && Target->RetryAt &&
        *Target->RetryAt <= Now)
      sendAttempt(*Target, Now);
  }
  while (const auto Due = Timers_.takeDue(Now - AnswerGrace))
    if (Task *Target = find(*Due))
      expire(*Target);
}

void RequestRouter::finish(Task &Target, const CallerAnswer &Answer) {
  const TaskId Id = Target.Id;
  Timers_.remove(Target.TimerDue, Id);
  if (Target.Attempt != 0)
    TaskOf_.erase(Target.Attempt);
  Tasks_.erase(Id);
  Hooks_.Answer(Id, Answer);
}

} // namespace nutmegloom
