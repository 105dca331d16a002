#include "core/outcomeresolver.h"

#include <algorithm>

namespace nutmegloom {

static constexpr Milliseconds InitialBackoff{20};
static constexpr Milliseconds MaximumBackoff{320};
/// If closing a key has no connection or no answer for this time, it is
/// repeated on another connection. Closing a key is idempotent.
static constexpr Milliseconds CloseTimeout{1000};

OutcomeResolver::OutcomeResolver(const GroupAccess &Access,
                                 Dispatcher &Databases,
                                 ConfirmationQueue &Confirmations)
    : Access_(Access), Databases_(Databases), Confirmations_(Confirmations) {}

void OutcomeResolver::start(TaskId Task, const CallerRequest &Request,
                            Handler Done) {
  Entry Target;
  Target.Group = Request.Group;
  Target.Key = Request.Key;
  Target.TraceParent = Request.TraceParent;
  Target.Done = std::move(Done);
  Entries_[Task] = std::move(Target);
}

void OutcomeResolver::cancel(TaskId Task, TimePoint Now) {
  const auto Found = Entries_.find(Task);
  if (Found == Entries_.end())
    return;
  Databases_.cancelWork(Found->second.Work, Now);
  Databases_.ignoreResult(Found->second.Exchange);
  Confirmations_.remove(Task, Found->second.Group);
  Entries_.erase(Found);
}

void OutcomeResolver::tick(TimePoint Now) {
  std::vector<TaskId> Due;
  for (auto &[Task, Target] : Entries_) {
    const bool InProgress =
        Target.State == Step::Connecting || Target.State == Step::Sent;
    const GroupEntity *Group = Access_.findGroup(Target.Group);
    const bool PrimaryChanged =
        Group == nullptr || Group->Primary != Target.Database;
    if (InProgress &&
        (PrimaryChanged || Now - Target.StateSince > CloseTimeout)) {
      Databases_.cancelWork(Target.Work, Now);
      Databases_.ignoreResult(Target.Exchange);
      Target.State = Step::Waiting;
    }
    if (Target.State == Step::Waiting &&
        (!Target.RetryAt || *Target.RetryAt <= Now))
      Due.push_back(Task);
  }
  for (const TaskId Task : Due) {
    const auto Found = Entries_.find(Task);
    if (Found != Entries_.end())
      connectToPrimary(Task, Found->second, Now);
  }
}

void OutcomeResolver::connectToPrimary(TaskId Task, Entry &Target,
                                       TimePoint Now) {
  const PrimaryAccess Access = Access_.primaryOf(Target.Group, Now);
  if (Access.State == PrimaryAccess::Kind::Redirect) {
    ResolvedOutcome Result;
    Result.Type = ResolvedOutcome::Kind::Redirect;
    Result.Region = Access.Region;
    end(Task, Result, Now);
    return;
  }
  if (Access.State == PrimaryAccess::Kind::Unavailable)
    return;
  Target.State = Step::Connecting;
  Target.Database = Access.Database;
  Target.StateSince = Now;
  Target.Work = Databases_.requestConnection(
      Access.Database,
      [this, Task](WorkId Work, ConnectionId Connection, TimePoint At) {
        send(Task, Work, Connection, At);
      },
      Now);
}

void OutcomeResolver::send(TaskId Task, WorkId Work, ConnectionId Connection,
                           TimePoint Now) {
  const auto Found = Entries_.find(Task);
  if (Found == Entries_.end() || Found->second.Work != Work ||
      Found->second.State != Step::Connecting) {
    Databases_.finishWork(Work, Connection, Now);
    return;
  }
  Entry &Target = Found->second;
  const PrimaryAccess Access = Access_.primaryOf(Target.Group, Now);
  if (Access.State != PrimaryAccess::Kind::Ready ||
      Access.Database != Target.Database) {
    Databases_.finishWork(Work, Connection, Now);
    scheduleRetry(Target, Now);
    return;
  }
  DatabaseRequest Request;
  Request.Operation = DatabaseOperation::CloseKey;
  Request.Kind = StatementKind::Write;
  Request.Term = Access.Term;
  Request.Key = Target.Key;
  Request.TraceParent = Target.TraceParent;
  Dispatcher::SendOptions Options;
  Options.Work = Work;
  Options.SafeToRetry = true;
  Target.State = Step::Sent;
  Target.StateSince = Now;
  Target.Exchange = Databases_.send(
      Connection, std::move(Request), Options,
      [this, Task, Term = Access.Term](const ExchangeResult &Result,
                                       TimePoint At) {
        onResult(Task, Term, Result, At);
      },
      Now);
}

void OutcomeResolver::onResult(TaskId Task, std::uint64_t Term,
                               const ExchangeResult &Result, TimePoint Now) {
  const auto Found = Entries_.find(Task);
  if (Found == Entries_.end())
    return;
  Entry &Target = Found->second;
  const auto *Answer = std::get_if<DatabaseAnswer>(&Result);
  if (Answer == nullptr || Answer->Key == KeyState::None) {
    scheduleRetry(Target, Now);
    return;
  }
  // A failover could lose the closed key, and a delayed copy of the write could
  // then be executed. The key therefore counts as closed only once a majority
  // holds the entry.
  Target.State = Step::Confirming;
  Confirmations_.add(
      Task, Target.Group, Term, Position{Answer->LogTerm, Answer->Index},
      [this, Task, Copy = *Answer](bool Confirmed, TimePoint At) {
        onConfirmed(Task, Copy, Confirmed, At);
      });
}

void OutcomeResolver::onConfirmed(TaskId Task, const DatabaseAnswer &Answer,
                                  bool Confirmed, TimePoint Now) {
  const auto Found = Entries_.find(Task);
  if (Found == Entries_.end())
    return;
  if (!Confirmed) {
    scheduleRetry(Found->second, Now);
    return;
  }
  ResolvedOutcome Result;
  Result.Type = Answer.Key == KeyState::Recorded
                    ? ResolvedOutcome::Kind::Recorded
                    : ResolvedOutcome::Kind::Closed;
  Result.Recorded = Answer;
  end(Task, Result, Now);
}

void OutcomeResolver::scheduleRetry(Entry &Target, TimePoint Now) {
  Target.State = Step::Waiting;
  Target.Backoff = std::clamp<Milliseconds>(2 * Target.Backoff, InitialBackoff,
                                            MaximumBackoff);
  Target.RetryAt = Now + Target.Backoff;
}

void OutcomeResolver::end(TaskId Task, const ResolvedOutcome &Result,
                          TimePoint Now) {
  const Handler Done = std::move(Entries_.at(Task).Done);
  Entries_.erase(Task);
  Done(Result, Now);
}

} // namespace nutmegloom
