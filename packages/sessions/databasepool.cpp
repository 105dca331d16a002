#include "sessions/databasepool.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// Connections of each database reserved for operators and for hosts that are
/// being replaced.
constexpr std::uint32_t ReservedConnections = 2;
constexpr std::size_t MinimumShare = 2;
constexpr std::size_t MaximumOpening = 2;
/// Used for connections of accounts, each of which serves one account only.
constexpr std::size_t MaximumOpeningForAccounts = 6;
/// A connection that takes longer to open is not counted on.
constexpr Milliseconds ExpectedOpenTime{60};
constexpr Milliseconds OverloadedPause{300};
/// Used while the host has no connection to the database at all.
constexpr Milliseconds OverloadedPauseWithoutConnection{100};
constexpr Milliseconds OpenTimeout{1500};
constexpr Milliseconds SurplusIdleTimeout{500};
/// How long databases go on counting the connections of a host that lost power.
constexpr Milliseconds LostConnectionLinger{3000};
constexpr Milliseconds DrainingIdleTimeout{0};

} // namespace

std::vector<DatabaseCommand> commandsToMatch(const ConnectionProfile &Profile,
                                             const SessionVariables &Variables,
                                             const PreparedShape *Prepared,
                                             const std::string &NewName) {
  std::vector<DatabaseCommand> Commands;
  bool HasOthers = std::any_of(
      Profile.Variables.begin(), Profile.Variables.end(),
      [&](const auto &Value) { return !Variables.contains(Value.first); });
  bool Resets = Profile.Uncertain || HasOthers;
  if (Resets) {
    DatabaseCommand Reset;
    Reset.Verb = CommandVerb::Reset;
    Commands.push_back(Reset);
  }
  for (const auto &[Name, Value] : Variables) {
    auto Known = Profile.Variables.find(Name);
    if (!Resets && Known != Profile.Variables.end() && Known->second == Value)
      continue;
    DatabaseCommand Set;
    Set.Verb = CommandVerb::SetVariable;
    Set.Name = Name;
    Set.Text = Value;
    Commands.push_back(Set);
  }
  if (Prepared && (Resets || !Profile.Prepared.contains(*Prepared))) {
    DatabaseCommand Prepare;
    Prepare.Verb = CommandVerb::Prepare;
    Prepare.Name = NewName;
    Prepare.Access = Prepared->Access;
    Prepare.Text = Prepared->Shape;
    Commands.push_back(Prepare);
  }
  return Commands;
}

void applyCommand(ConnectionProfile &Profile, const DatabaseCommand &Command) {
  if (Command.Verb == CommandVerb::Reset)
    Profile = ConnectionProfile{};
  if (Command.Verb == CommandVerb::SetVariable)
    Profile.Variables[Command.Name] = Command.Text;
  if (Command.Verb == CommandVerb::Prepare)
    Profile.Prepared[{Command.Access, Command.Text}] = Command.Name;
}

DatabasePool::DatabasePool(const DatabaseTable &Table, Hooks Callbacks)
    : Table_(Table), Hooks_(std::move(Callbacks)) {}

std::optional<ConnectionId>
DatabasePool::take(const DatabaseId &Database, const AccountName &Account,
                   const SessionVariables &Variables) {
  auto Found = ConnectionsByDatabase_.find(Database);
  if (Found == ConnectionsByDatabase_.end())
    return std::nullopt;
  std::vector<ConnectionId> &Idle = Found->second.Idle;
  auto Best = Idle.end();
  std::size_t BestCommands = 0;
  // The connection returned last is preferred, so that the others stay idle and
  // can be closed.
  for (auto At = Idle.end(); At != Idle.begin();) {
    --At;
    const Entry &Candidate = Connections_.at(*At);
    if (Candidate.Account != Account)
      continue;
    std::size_t Commands =
        commandsToMatch(Candidate.Profile, Variables, nullptr, {}).size();
    if (Best != Idle.end() && Commands >= BestCommands)
      continue;
    Best = At;
    BestCommands = Commands;
    if (Commands == 0)
      break;
  }
  if (Best == Idle.end())
    return std::nullopt;
  ConnectionId Taken = *Best;
  Idle.erase(Best);
  Connections_.at(Taken).State = UseState::Taken;
  return Taken;
}

bool DatabasePool::hasIdle(const DatabaseId &Database,
                           const AccountName &Account) const {
  auto Found = ConnectionsByDatabase_.find(Database);
  return Found != ConnectionsByDatabase_.end() &&
         std::any_of(Found->second.Idle.begin(), Found->second.Idle.end(),
                     [&](ConnectionId Id) {
                       return Connections_.at(Id).Account == Account;
                     });
}

std::optional<ConnectionId>
DatabasePool::replaceableFor(const DatabaseConnections &Target,
                             const AccountName &Account) const {
  for (ConnectionId Id : Target.Idle)
    if (Connections_.at(Id).Account != Account)
      return Id;
  return std::nullopt;
}

std::size_t DatabasePool::openingFor(const DatabaseId &Database,
                                     const AccountName &Account,
                                     TimePoint Now) const {
  if (openingOf(Database) == 0)
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Connections_.begin(), Connections_.end(), [&](const auto &Known) {
        const Entry &Opening = Known.second;
        return Opening.State == UseState::Opening &&
               Opening.Database == Database && Opening.Account == Account &&
               Now - Opening.Since < ExpectedOpenTime;
      }));
}

std::size_t DatabasePool::shareOf(const DatabaseId &Database) const {
  const DatabaseInfo *Info = Table_.find(Database);
  if (!Info)
    return 0;
  auto Cap = Caps_.find(Info->Listing.Group);
  if (Cap == Caps_.end() || Cap->second == 0)
    return MinimumShare;
  std::uint32_t Usable =
      Cap->second - std::min(Cap->second, ReservedConnections);
  return std::max<std::size_t>(MinimumShare,
                               Usable / std::max<std::size_t>(1, LiveHosts_));
}

bool DatabasePool::mayOpen(const DatabaseId &Database,
                           const AccountName &Account, bool Urgent,
                           TimePoint Now) const {
  const DatabaseInfo *Info = Table_.find(Database);
  if (!Info || Now < Info->AvoidUntil)
    return false;
  auto Found = ConnectionsByDatabase_.find(Database);
  if (Found == ConnectionsByDatabase_.end())
    return true;
  const DatabaseConnections &Target = Found->second;
  std::size_t MaximumAtOnce =
      Account.empty() ? MaximumOpening : MaximumOpeningForAccounts;
  if (Target.Opening >= MaximumAtOnce || Now < Target.OverloadedUntil)
    return false;
  bool IsRecovering = Now - StartedAt_ < LostConnectionLinger;
  std::size_t Limit = IsRecovering ? baseOf(Database) : shareOf(Database);
  if (Urgent)
    Limit += std::min(Target.Pinned, Limit);
  return Target.Total < Limit || replaceableFor(Target, Account);
}

std::size_t DatabasePool::baseOf(const DatabaseId &Database) const {
  return std::max<std::size_t>(1, shareOf(Database) / 2);
}

void DatabasePool::pin(ConnectionId Connection) {
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end() || Found->second.State != UseState::Taken)
    return;
  Found->second.State = UseState::Pinned;
  ++ConnectionsByDatabase_[Found->second.Database].Pinned;
}

void DatabasePool::open(const DatabaseId &Database, const AccountName &Account,
                        TimePoint Now) {
  const DatabaseInfo *Info = Table_.find(Database);
  if (!Info)
    return;
  const DatabaseConnections &Present = ConnectionsByDatabase_[Database];
  if (Present.Total >= shareOf(Database))
    if (std::optional<ConnectionId> Replaced = replaceableFor(Present, Account))
      drop(*Replaced);
  ConnectionId Id = ++LastConnection_;
  Entry &Opening = Connections_[Id];
  Opening.Database = Database;
  Opening.Account = Account;
  Opening.Since = Now;
  DatabaseConnections &Target = ConnectionsByDatabase_[Database];
  ++Target.Opening;
  ++Target.Total;
  Hooks_.Open(Id, Info->Listing, Account);
}

void DatabasePool::release(ConnectionId Connection, TimePoint Now) {
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return;
  Entry &Returned = Found->second;
  if (Returned.State == UseState::Pinned)
    --ConnectionsByDatabase_[Returned.Database].Pinned;
  Returned.State = UseState::Idle;
  Returned.Since = Now;
  if (!Table_.find(Returned.Database)) {
    drop(Connection);
    return;
  }
  ConnectionsByDatabase_[Returned.Database].Idle.push_back(Connection);
}

void DatabasePool::drop(ConnectionId Connection) {
  if (!Connections_.contains(Connection))
    return;
  onClosed(Connection);
  Hooks_.Close(Connection);
}

std::optional<DatabaseId> DatabasePool::onOpened(ConnectionId Connection,
                                                 TimePoint Now) {
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return std::nullopt;
  // release() closes a connection to a database that was removed meanwhile.
  DatabaseId Database = Found->second.Database;
  --ConnectionsByDatabase_[Database].Opening;
  release(Connection, Now);
  return Database;
}

std::optional<DatabaseId> DatabasePool::onClosed(ConnectionId Connection) {
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return std::nullopt;
  Entry Closed = std::move(Found->second);
  Connections_.erase(Found);
  DatabaseConnections &Target = ConnectionsByDatabase_[Closed.Database];
  --Target.Total;
  if (Closed.State == UseState::Opening)
    --Target.Opening;
  if (Closed.State == UseState::Pinned)
    --Target.Pinned;
  std::erase(Target.Idle, Connection);
  return Closed.Database;
}

void DatabasePool::onOverloaded(const DatabaseId &Database, TimePoint Now) {
  DatabaseConnections &Target = ConnectionsByDatabase_[Database];
  bool HasNone = Target.Total == Target.Opening;
  Target.OverloadedUntil =
      Now + (HasNone ? OverloadedPauseWithoutConnection : OverloadedPause);
}

void DatabasePool::closeIdleConnections(const DatabaseId &Database) {
  auto Found = ConnectionsByDatabase_.find(Database);
  if (Found == ConnectionsByDatabase_.end())
    return;
  std::vector<ConnectionId> Idle = Found->second.Idle;
  for (ConnectionId Connection : Idle)
    drop(Connection);
}

void DatabasePool::tick(TimePoint Now) {
  std::vector<ConnectionId> Surplus;
  std::map<DatabaseId, std::size_t> Remaining;
  for (const auto &[Id, Held] : Connections_) {
    bool Late =
        Held.State == UseState::Opening && Now - Held.Since > OpenTimeout;
    const DatabaseInfo *Info = Table_.find(Held.Database);
    bool Leaving = Held.State == UseState::Idle &&
                   (!Info || Info->Listing.Draining) &&
                   Now - Held.Since > DrainingIdleTimeout;
    auto [Count, Inserted] =
        Remaining.try_emplace(Held.Database, countOf(Held.Database));
    bool IsSurplus = Held.State == UseState::Idle &&
                     Count->second > baseOf(Held.Database) &&
                     Now - Held.Since > SurplusIdleTimeout;
    if (!Late && !Leaving && !IsSurplus)
      continue;
    Surplus.push_back(Id);
    --Count->second;
  }
  for (ConnectionId Id : Surplus)
    drop(Id);
}

ConnectionProfile &DatabasePool::profileOf(ConnectionId Connection) {
  return Connections_.at(Connection).Profile;
}

std::optional<DatabaseId>
DatabasePool::databaseOf(ConnectionId Connection) const {
  auto Found = Connections_.find(Connection);
  if (Found == Connections_.end())
    return std::nullopt;
  return Found->second.Database;
}

std::size_t DatabasePool::countOf(const DatabaseId &Database) const {
  auto Found = ConnectionsByDatabase_.find(Database);
  return Found == ConnectionsByDatabase_.end() ? 0 : Found->second.Total;
}

std::size_t DatabasePool::openingOf(const DatabaseId &Database) const {
  auto Found = ConnectionsByDatabase_.find(Database);
  return Found == ConnectionsByDatabase_.end() ? 0 : Found->second.Opening;
}

} // namespace nutmegloom
