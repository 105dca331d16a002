#include "sessions/sessionproxy.h"

#include <algorithm>
#include <array>

namespace nutmegloom {

namespace {

constexpr std::array<std::string_view, 4> KeyCheckNames{
    "valid", "unknown_key", "withdrawn_key", "unconfirmed_configuration"};
/// Time in which a host that is cut off from the store is usually back.
constexpr Milliseconds UnconfirmedRetry{1000};

/// Time for a statement to arrive that its caller sent when the session was
/// opened or answered. A write on a connection that is closed meanwhile could
/// not be repeated by its caller.
constexpr Milliseconds IdleCloseDelay{200};

/// True for a verb that runs at a database, now or with a later statement.
bool mayNeedDatabase(StatementVerb Verb) {
  switch (Verb) {
  case StatementVerb::Begin:
  case StatementVerb::BeginRead:
  case StatementVerb::Commit:
  case StatementVerb::Read:
  case StatementVerb::Write:
  case StatementVerb::Execute:
    return true;
  default:
    return false;
  }
}

} // namespace

std::string_view nameOf(KeyCheck Check) {
  return KeyCheckNames[static_cast<std::size_t>(Check)];
}

SessionProxy::SessionProxy(StatementRouter &Router,
                           const ConfigurationFreshness &Freshness,
                           Hooks Callbacks)
    : Router_(Router), Freshness_(Freshness), Hooks_(std::move(Callbacks)) {}

void SessionProxy::applyConfiguration(SessionConfiguration Configuration,
                                      TimePoint Now) {
  if (Configuration.Version <= Configuration_.Version)
    return;
  Configuration_ = std::move(Configuration);
  Accounts_ = AccountDirectory(Configuration_.Accounts);
  for (auto &[Id, Held] : Sessions_) {
    if (Held.Current || !Held.Pinned ||
        checkKey(Held, Now) != KeyCheck::WithdrawnKey)
      continue;
    Router_.rollBack(*Held.Pinned, Now);
    Held.Pinned.reset();
    Held.Lost = true;
  }
}

bool SessionProxy::needsKey(const SessionRoute *Route) const {
  return Configuration_.RequiresKeys && !(Route && Route->Public);
}

AccountName SessionProxy::accountOf(const KeyDigest &Key) const {
  const AccountName *Account =
      Configuration_.RequiresKeys ? Accounts_.accountOf(Key) : nullptr;
  return Account ? *Account : AccountName();
}

SessionProxy::OpenResult SessionProxy::open(CallerSessionId Id,
                                            const std::string &Database,
                                            const KeyDigest &Key,
                                            TimePoint Now) {
  if (Configuration_.Version == 0)
    return OpenResult::NotConfigured;
  auto Route = Configuration_.Routes.find(Database);
  bool IsKnown = Route != Configuration_.Routes.end();
  AccountName Account = accountOf(Key);
  if (needsKey(IsKnown ? &Route->second : nullptr)) {
    std::uint64_t Version = Configuration_.Version;
    if (!Freshness_.mayAcceptKeys(Version, Now)) {
      if (!Freshness_.ageOf(Version, Now))
        return OpenResult::NotConfigured;
      reportKeyRefusal(KeyCheck::UnconfirmedConfiguration, Key, Account,
                       Database, Now);
      return OpenResult::UnconfirmedConfiguration;
    }
    if (Account.empty()) {
      reportKeyRefusal(KeyCheck::UnknownKey, Key, Account, Database, Now);
      return OpenResult::UnknownKey;
    }
  }
  if (!IsKnown)
    return OpenResult::UnknownDatabase;
  Session &Opened = Sessions_[Id];
  Opened.Database = Database;
  Opened.Key = Key;
  Opened.Account = std::move(Account);
  Opened.IdleSince = Now;
  return OpenResult::Accepted;
}

void SessionProxy::close(CallerSessionId Id, TimePoint Now) {
  auto Found = Sessions_.find(Id);
  if (Found == Sessions_.end())
    return;
  std::optional<ConnectionId> Pinned = Found->second.Pinned;
  Sessions_.erase(Found);
  Router_.cancel(Id, Pinned, Now);
}

const SessionRoute *SessionProxy::routeOf(const Session &Held) const {
  auto Found = Configuration_.Routes.find(Held.Database);
  return Found == Configuration_.Routes.end() ? nullptr : &Found->second;
}

KeyCheck SessionProxy::checkKey(Session &Held, TimePoint Now) const {
  AccountName Account = accountOf(Held.Key);
  if (needsKey(routeOf(Held))) {
    if (!Freshness_.mayAcceptKeys(Configuration_.Version, Now))
      return KeyCheck::UnconfirmedConfiguration;
    if (Account.empty())
      return KeyCheck::WithdrawnKey;
  }
  // The connection of an open transaction belongs to the former account.
  if (Account != Held.Account && Held.State != TransactionStatus::Idle)
    return KeyCheck::WithdrawnKey;
  Held.Account = std::move(Account);
  return KeyCheck::Valid;
}

/// Nothing of the statement has run, and its transaction is rolled back.
void SessionProxy::refuseForKey(CallerSessionId Id, Session &Held,
                                KeyCheck Reason, TimePoint Now) {
  reportKeyRefusal(Reason, Held.Key, Held.Account, Held.Database, Now);
  bool WasIdle = Held.State == TransactionStatus::Idle;
  bool Commits = Held.Current->Verb == StatementVerb::Commit;
  if (Held.Pinned)
    Router_.rollBack(*Held.Pinned, Now);
  endTransaction(Held);
  if (Reason == KeyCheck::WithdrawnKey) {
    answerLocally(Id, Held, StatementCode::Denied,
                  "the API key was withdrawn, not run", Now);
    Hooks_.CloseSession(Id);
    return;
  }
  if (!WasIdle && !Commits)
    Held.State = TransactionStatus::Failed;
  answerLocally(
      Id, Held, WasIdle ? StatementCode::Busy : StatementCode::Aborted,
      "this host can't confirm API keys now, not run", Now, UnconfirmedRetry);
}

void SessionProxy::reportKeyRefusal(KeyCheck Reason, const KeyDigest &Key,
                                    const AccountName &Account,
                                    const std::string &Route,
                                    TimePoint Now) const {
  if (!Hooks_.KeyRefused)
    return;
  KeyRefusal Report;
  Report.Reason = Reason;
  Report.Key = shortNameOf(Key);
  Report.Account = Account;
  Report.Route = Route;
  Report.ConfigurationVersion = Configuration_.Version;
  Report.ConfigurationAge = Freshness_.ageOf(Configuration_.Version, Now);
  Hooks_.KeyRefused(Report);
}

void SessionProxy::onStatement(CallerSessionId Id, CallerStatement Statement,
                               TimePoint Now) {
  auto Found = Sessions_.find(Id);
  if (Found == Sessions_.end())
    return;
  Session &Held = Found->second;
  Held.Current = std::move(Statement);
  Held.ReceivedAt = Now;
  StatementVerb Verb = Held.Current->Verb;
  KeyCheck Key = checkKey(Held, Now);
  if (Key == KeyCheck::WithdrawnKey ||
      (Key == KeyCheck::UnconfirmedConfiguration && mayNeedDatabase(Verb))) {
    refuseForKey(Id, Held, Key, Now);
    return;
  }
  if (Held.State == TransactionStatus::Failed &&
      Verb != StatementVerb::Rollback && Verb != StatementVerb::Commit) {
    answerLocally(Id, Held, StatementCode::Malformed,
                  "the transaction has failed; end it first", Now);
    return;
  }
  if (Held.Lost && Verb != StatementVerb::Rollback) {
    Held.Lost = false;
    Held.State = Verb == StatementVerb::Commit ? TransactionStatus::Idle
                                               : TransactionStatus::Failed;
    answerLocally(Id, Held, StatementCode::Aborted,
                  "the transaction was rolled back", Now);
    return;
  }
  switch (Verb) {
  case StatementVerb::Begin:
  case StatementVerb::BeginRead:
    begin(Id, Held, Now);
    return;
  case StatementVerb::Rollback:
    rollBack(Id, Held, Now);
    return;
  case StatementVerb::SetVariable:
    setVariable(Id, Held, Now);
    return;
  case StatementVerb::Prepare:
    prepare(Id, Held, Now);
    return;
  case StatementVerb::Deallocate:
    deallocate(Id, Held, Now);
    return;
  case StatementVerb::Commit:
  case StatementVerb::Read:
  case StatementVerb::Write:
  case StatementVerb::Execute:
    forward(Id, Held, Now);
    return;
  case StatementVerb::Unreadable:
    break;
  }
  answerLocally(Id, Held, StatementCode::Malformed, "unknown statement", Now);
}

void SessionProxy::begin(CallerSessionId Id, Session &Held, TimePoint Now) {
  if (Held.State != TransactionStatus::Idle) {
    answerLocally(Id, Held, StatementCode::Malformed,
                  "a transaction is already open", Now);
    return;
  }
  const SessionRoute *Route = routeOf(Held);
  if (!Route) {
    answerLocally(Id, Held, StatementCode::NoDatabase, Held.Database, Now);
    return;
  }
  Held.Route = *Route;
  Held.State = TransactionStatus::InTransaction;
  Held.ReadOnly = Held.Current->Verb == StatementVerb::BeginRead;
  Held.Wrote = false;
  Held.Lost = false;
  // The transaction is begun at the database with its first statement, so that
  // it holds no connection before it needs one.
  answerLocally(Id, Held, StatementCode::Done, "", Now);
}

void SessionProxy::endTransaction(Session &Held) {
  Held.State = TransactionStatus::Idle;
  Held.Pinned.reset();
  Held.Lost = false;
  Held.Wrote = false;
  Held.ReadOnly = false;
}

void SessionProxy::rollBack(CallerSessionId Id, Session &Held, TimePoint Now) {
  if (Held.Pinned)
    Router_.rollBack(*Held.Pinned, Now);
  endTransaction(Held);
  answerLocally(Id, Held, StatementCode::Done, "", Now);
}

void SessionProxy::setVariable(CallerSessionId Id, Session &Held,
                               TimePoint Now) {
  Held.Variables[Held.Current->Name] = Held.Current->Argument;
  answerLocally(Id, Held, StatementCode::Done, "", Now);
}

void SessionProxy::prepare(CallerSessionId Id, Session &Held, TimePoint Now) {
  Held.Prepared[Held.Current->Name] = {Held.Current->Access,
                                       Held.Current->Argument};
  answerLocally(Id, Held, StatementCode::Done, "", Now);
}

void SessionProxy::deallocate(CallerSessionId Id, Session &Held,
                              TimePoint Now) {
  bool Known = Held.Prepared.erase(Held.Current->Name) > 0;
  if (!Known && Held.State == TransactionStatus::InTransaction)
    Held.State = TransactionStatus::Failed;
  answerLocally(Id, Held,
                Known ? StatementCode::Done : StatementCode::UnknownName,
                Known ? "" : Held.Current->Name, Now);
}

bool SessionProxy::writesData(const Session &Held,
                              const PreparedShape *Shape) const {
  switch (Held.Current->Verb) {
  case StatementVerb::Write:
    return true;
  case StatementVerb::Execute:
    return Shape && Shape->Access == StatementKind::Write;
  case StatementVerb::Commit:
    return Held.Wrote;
  default:
    return false;
  }
}

void SessionProxy::forward(CallerSessionId Id, Session &Held, TimePoint Now) {
  const CallerStatement &Statement = *Held.Current;
  bool IsCommit = Statement.Verb == StatementVerb::Commit;
  if (IsCommit && Held.State != TransactionStatus::InTransaction) {
    bool Failed = Held.State == TransactionStatus::Failed;
    endTransaction(Held);
    answerLocally(
        Id, Held, Failed ? StatementCode::Aborted : StatementCode::Malformed,
        Failed ? "the transaction was rolled back" : "no transaction is open",
        Now);
    return;
  }
  if (Held.State == TransactionStatus::Idle) {
    const SessionRoute *Route = routeOf(Held);
    if (!Route) {
      answerLocally(Id, Held, StatementCode::NoDatabase, Held.Database, Now);
      return;
    }
    Held.Route = *Route;
  }
  const PreparedShape *Shape = nullptr;
  if (Statement.Verb == StatementVerb::Execute) {
    auto Found = Held.Prepared.find(Statement.Name);
    if (Found == Held.Prepared.end()) {
      if (Held.State == TransactionStatus::InTransaction) {
        if (Held.Pinned)
          Router_.rollBack(*Held.Pinned, Now);
        Held.Pinned.reset();
        Held.State = TransactionStatus::Failed;
      }
      answerLocally(Id, Held, StatementCode::UnknownName, Statement.Name, Now);
      return;
    }
    Shape = &Found->second;
  }
  bool InTransaction = Held.State == TransactionStatus::InTransaction;
  StatementWork Work;
  Work.Session = Id;
  Work.Group = Held.Route.Group;
  Work.Account = Held.Account;
  if (Configuration_.RequiresKeys)
    Work.ConfigurationVersion = Configuration_.Version;
  Work.Command.Id = Statement.Id;
  Work.Command.Text = Statement.Text;
  if (Shape) {
    Work.Command.Text = Statement.Argument;
    Work.Prepared = *Shape;
  }
  Work.Variables = Held.Variables;
  Work.Writes = writesData(Held, Shape);
  Work.NeedsLeader = Held.Route.Mode == ConsistencyMode::Primary ||
                     (InTransaction ? !Held.ReadOnly : Work.Writes);
  Work.Repeatable = !InTransaction && !Work.Writes;
  Work.MaximumAge = Held.Route.MaximumAge;
  if (Held.Route.Mode == ConsistencyMode::ReadYourWrites) {
    auto Own = Held.LastWrites.find(Held.Route.Group);
    if (Own != Held.LastWrites.end())
      Work.LastWrite = Own->second;
  }
  Work.Pinned = Held.Pinned;
  if (InTransaction && !Held.Pinned)
    Work.Opens = Held.ReadOnly ? CommandVerb::BeginRead : CommandVerb::Begin;
  Work.EndsTransaction = IsCommit;
  Work.Priority = Held.Route.Priority;
  Work.ReceivedAt = Now;
  Work.Deadline = Now + Held.Route.StatementTimeout;
  Router_.submit(std::move(Work), Now);
}

void SessionProxy::onFinished(CallerSessionId Id, StatementResult Result,
                              TimePoint Now) {
  auto Found = Sessions_.find(Id);
  if (Found == Sessions_.end() || !Found->second.Current)
    return;
  Session &Held = Found->second;
  bool InTransaction = Held.State == TransactionStatus::InTransaction;
  bool Done = Result.Answer.Code == StatementCode::Done;
  auto Prepared = Held.Prepared.find(Held.Current->Name);
  const PreparedShape *Shape = Held.Current->Verb == StatementVerb::Execute &&
                                       Prepared != Held.Prepared.end()
                                   ? &Prepared->second
                                   : nullptr;
  bool Wrote = writesData(Held, Shape);
  bool IsCommit = Held.Current->Verb == StatementVerb::Commit;
  if (Result.LastWriteLost)
    Held.LastWrites.erase(Held.Route.Group);
  if (Done && Wrote && (!InTransaction || IsCommit) && Result.Answer.Log)
    Held.LastWrites[Held.Route.Group] = *Result.Answer.Log;
  if (IsCommit) {
    endTransaction(Held);
  } else if (InTransaction) {
    Held.Pinned = Result.Pinned;
    Held.Wrote |= Wrote && Done;
    if (!Held.Pinned)
      Held.State = TransactionStatus::Failed;
  }
  complete(Id, Held, Result.Answer, Result, Now);
}

void SessionProxy::onTransactionLost(CallerSessionId Id) {
  auto Found = Sessions_.find(Id);
  if (Found == Sessions_.end() || !Found->second.Pinned)
    return;
  Found->second.Pinned.reset();
  Found->second.Lost = true;
}

void SessionProxy::answerLocally(CallerSessionId Id, Session &Held,
                                 StatementCode Code, std::string Detail,
                                 TimePoint Now, Milliseconds RetryAfter) {
  StatementAnswer Answer;
  Answer.Code = Code;
  Answer.Detail = std::move(Detail);
  StatementResult Result;
  Result.RetryAfter = RetryAfter;
  complete(Id, Held, std::move(Answer), Result, Now);
}

void SessionProxy::complete(CallerSessionId Id, Session &Held,
                            StatementAnswer Answer,
                            const StatementResult &Result, TimePoint Now) {
  Answer.State = Held.State;
  if (Result.RetryAfter.count() > 0)
    Answer.Detail +=
        ", retry after " + std::to_string(Result.RetryAfter.count()) + " ms";
  StatementReport Report;
  Report.StatementId = Held.Current->Id;
  Report.Verb = Held.Current->Verb;
  Report.Route = Held.Database;
  Report.Account = Held.Account;
  Report.Group = Held.Route.Group;
  Report.Mode = Held.Route.Mode;
  Report.MinimumPosition = Result.MinimumPosition;
  Report.LeadershipAge = Result.LeadershipAge;
  Report.Code = Answer.Code;
  Report.Detail = Answer.Detail;
  Report.Database = Result.Database;
  Report.Attempts = Result.Attempts;
  Report.Via = Result.Via;
  Report.ConfigurationVersion = Configuration_.Version;
  Report.Time = Now - Held.ReceivedAt;
  Hooks_.Report(Report);
  Held.Current.reset();
  Held.IdleSince = Now;
  bool Closes = Draining_ && Held.State == TransactionStatus::Idle;
  Hooks_.Answer(Id, Answer);
  if (Closes)
    Hooks_.CloseSession(Id);
}

void SessionProxy::closeIdleSessions(TimePoint Now) {
  Draining_ = true;
  std::vector<CallerSessionId> Idle;
  for (const auto &[Id, Held] : Sessions_)
    if (Held.State == TransactionStatus::Idle && !Held.Current &&
        Now - Held.IdleSince >= IdleCloseDelay)
      Idle.push_back(Id);
  for (CallerSessionId Id : Idle)
    Hooks_.CloseSession(Id);
}

void SessionProxy::endTransactions(TimePoint Now) {
  for (auto &[Id, Held] : Sessions_) {
    if (Held.Current || Held.State != TransactionStatus::InTransaction)
      continue;
    if (Held.Pinned)
      Router_.rollBack(*Held.Pinned, Now);
    Held.Pinned.reset();
    Held.Lost = true;
  }
}

void SessionProxy::tick(TimePoint Now) {
  for (auto &[Id, Held] : Sessions_) {
    bool IdleInTransaction = Held.Pinned && !Held.Current;
    if (!IdleInTransaction ||
        Now - Held.IdleSince < Configuration_.TransactionIdleTimeout)
      continue;
    Router_.rollBack(*Held.Pinned, Now);
    Held.Pinned.reset();
    Held.Lost = true;
  }
}

std::size_t SessionProxy::openTransactions() const {
  return static_cast<std::size_t>(
      std::count_if(Sessions_.begin(), Sessions_.end(), [](const auto &Entry) {
        return Entry.second.State == TransactionStatus::InTransaction;
      }));
}

} // namespace nutmegloom
