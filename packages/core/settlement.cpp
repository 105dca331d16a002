#include "core/settlement.h"

#include <algorithm>

namespace nutmegloom {

static constexpr Milliseconds FirstPause{20};
static constexpr Milliseconds LongestPause{320};
/// A close that has no answer or no connection for this long is tried again on
/// another connection. Closing a key twice has the effect of closing it once.
static constexpr Milliseconds CloseTimeout{1000};

Settlement::Settlement(const GroupAccess &Access, Dispatcher &Databases,
                       ConfirmationQueue &Confirmations)
    : Access_(Access), Databases_(Databases), Confirmations_(Confirmations) {}

void Settlement::start(TaskId Task, const CallerRequest &Request,
                       Handler Done) {
  Entry Target;
  Target.Group = Request.Group;
  Target.Key = Request.Key;
  Target.TraceParent = Request.TraceParent;
  Target.Done = std::move(Done);
  Entries_[Task] = std::move(Target);
}

void Settlement::cancel(TaskId Task, TimePoint Now) {
  const auto Found = Entries_.find(Task);
  if (Found == Entries_.end())
    return;
  Databases_.withdraw(Found->second.Work, Now);
  Databases_.abandon(Found->second.Exchange);
  Confirmations_.remove(Task, Found->second.Group);
  Entries_.erase(Found);
}

void Settlement::tick(TimePoint Now) {
  std::vector<TaskId> Due;
  for (auto &[Task, Target] : Entries_) {
    const bool Open =
        Target.State == Step::Acquiring || Target.State == Step::Sent;
    const GroupEntity *Group = Access_.find(Target.Group);
    const bool Moved = Group == nullptr || Group->Primary != Target.Database;
    if (Open && (Moved || Now - Target.Since > CloseTimeout)) {
      Databases_.withdraw(Target.Work, Now);
      Databases_.abandon(Target.Exchange);
      Target.State = Step::Waiting;
    }
    if (Target.State == Step::Waiting &&
        (!Target.NotBefore || *Target.NotBefore <= Now))
      Due.push_back(Task);
  }
  for (const TaskId Task : Due) {
    const auto Found = Entries_.find(Task);
    if (Found != Entries_.end())
      tryNow(Task, Found->second, Now);
  }
}

void Settlement::tryNow(TaskId Task, Entry &Target, TimePoint Now) {
  const PrimaryAccess Access = Access_.primaryOf(Target.Group, Now);
  if (Access.Answer == PrimaryAccess::Kind::Redirect) {
    SettleResult Result;
    Result.Answer = SettleResult::Kind::Redirect;
    Result.Region = Access.Region;
    end(Task, Result, Now);
    return;
  }
  if (Access.Answer == PrimaryAccess::Kind::Unavailable)
    return;
  Target.State = Step::Acquiring;
  Target.Database = Access.Database;
  Target.Since = Now;
  Target.Work = Databases_.acquire(
      Access.Database,
      [this, Task](WorkId Work, ConnectionId Connection, TimePoint At) {
        send(Task, Work, Connection, At);
      },
      Now);
}

void Settlement::send(TaskId Task, WorkId Work, ConnectionId Connection,
                      TimePoint Now) {
  const auto Found = Entries_.find(Task);
  if (Found == Entries_.end() || Found->second.Work != Work ||
      Found->second.State != Step::Acquiring) {
    Databases_.finish(Work, Connection, Now);
    return;
  }
  Entry &Target = Found->second;
  const PrimaryAccess Access = Access_.primaryOf(Target.Group, Now);
  if (Access.Answer != PrimaryAccess::Kind::Ready ||
      Access.Database != Target.Database) {
    Databases_.finish(Work, Connection, Now);
    tryAgain(Target, Now);
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
  Options.Harmless = true;
  Target.State = Step::Sent;
  Target.Since = Now;
  Target.Exchange = Databases_.send(
      Connection, std::move(Request), Options,
      [this, Task, Term = Access.Term](const ExchangeResult &Result,
                                       TimePoint At) {
        onResult(Task, Term, Result, At);
      },
      Now);
}

void Settlement::onResult(TaskId Task, std::uint64_t Term,
                          const ExchangeResult &Result, TimePoint Now) {
  const auto Found = Entries_.find(Task);
  if (Found == Entries_.end())
    return;
  Entry &Target = Found->second;
  const auto *Answer = std::get_if<DatabaseAnswer>(&Result);
  if (Answer == nullptr || Answer->Key == KeyState::None) {
    tryAgain(Target, Now);
    return;
  }
  // A failover could lose the closed key, and a copy of the write that is
  // still under way could then be executed. So the close counts only once a
  // majority holds it.
  Target.State = Step::Confirming;
  Confirmations_.add(
      Task, Target.Group, Term, Position{Answer->LogTerm, Answer->Index},
      [this, Task, Copy = *Answer](bool Confirmed, TimePoint At) {
        onConfirmed(Task, Copy, Confirmed, At);
      });
}

void Settlement::onConfirmed(TaskId Task, const DatabaseAnswer &Answer,
                             bool Confirmed, TimePoint Now) {
  const auto Found = Entries_.find(Task);
  if (Found == Entries_.end())
    return;
  if (!Confirmed) {
    tryAgain(Found->second, Now);
    return;
  }
  SettleResult Result;
  Result.Answer = Answer.Key == KeyState::Recorded
                      ? SettleResult::Kind::Recorded
                      : SettleResult::Kind::Closed;
  Result.Recorded = Answer;
  end(Task, Result, Now);
}

void Settlement::tryAgain(Entry &Target, TimePoint Now) {
  Target.State = Step::Waiting;
  Target.Pause =
      std::clamp<Milliseconds>(2 * Target.Pause, FirstPause, LongestPause);
  Target.NotBefore = Now + Target.Pause;
}

void Settlement::end(TaskId Task, const SettleResult &Result, TimePoint Now) {
  const Handler Done = std::move(Entries_.at(Task).Done);
  Entries_.erase(Task);
  Done(Result, Now);
}

} // namespace nutmegloom
