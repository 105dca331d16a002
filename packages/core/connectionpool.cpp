#include "core/connectionpool.h"

#include <algorithm>

namespace nutmegloom {

/// Idle connections are closed after this time, so that a host that no longer
/// owns the group leaves its share of the connection cap to the next owner.
static constexpr Milliseconds IdleTimeout{30000};
static constexpr Milliseconds OpenTimeout{2000};
static constexpr Milliseconds InitialBackoff{50};
static constexpr Milliseconds MaximumBackoff{1000};

ConnectionPool::ConnectionPool(const Tables &Data, Hooks Callbacks)
    : Data_(Data), Hooks_(std::move(Callbacks)) {}

std::optional<ConnectionId>
ConnectionPool::takeIdle(const DatabaseId &Database) {
  const auto Found = ByDatabase_.find(Database);
  if (Found == ByDatabase_.end() || Found->second.Idle.empty())
    return std::nullopt;
  const ConnectionId Id = Found->second.Idle.back();
  Found->second.Idle.pop_back();
  Connections_.at(Id).Status = State::InUse;
  return Id;
}

void ConnectionPool::ensureAvailable(const DatabaseId &Database,
                                     std::size_t Wanted, TimePoint Now) {
  DatabaseConnections &Target = ByDatabase_[Database];
  const std::size_t Share = connectionLimitOf(Database);
  while (Target.Idle.size() + Target.Opening < Wanted && Target.Total < Share &&
         Now >= Target.RetryAt) {
    const ConnectionId Id = ++LastConnection_;
    Connections_[Id] = Connection{Database, State::Opening, Now};
    ++Target.Opening;
    ++Target.Total;
    Hooks_.Open(Id, Database);
  }
}

void ConnectionPool::release(ConnectionId Id, TimePoint Now) {
  const auto Found = Connections_.find(Id);
  if (Found == Connections_.end() || Found->second.Status != State::InUse)
    return;
  const auto Database = Data_.Databases.find(Found->second.Database);
  if (Database == Data_.Databases.end() || Database->second.Leaving) {
    close(Id);
    return;
  }
  Found->second.Status = State::Idle;
  Found->second.Since = Now;
  ByDatabase_[Found->second.Database].Idle.push_back(Id);
}

void ConnectionPool::forget(ConnectionId Id) {
  const auto Found = Connections_.find(Id);
  DatabaseConnections &Target = ByDatabase_[Found->second.Database];
  if (Found->second.Status == State::Opening)
    --Target.Opening;
  std::erase(Target.Idle, Id);
  --Target.Total;
  Connections_.erase(Found);
}

void ConnectionPool::close(ConnectionId Id) {
  if (!Connections_.contains(Id))
    return;
  forget(Id);
  Hooks_.Close(Id);
}

void ConnectionPool::closeIdle(const DatabaseId &Database, TimePoint Since) {
  std::vector<ConnectionId> Idle;
  for (const auto &[Id, Entry] : Connections_)
    if (Entry.Status == State::Idle &&
        (Entry.Database == Database || Entry.Since < Since))
      Idle.push_back(Id);
  for (const ConnectionId Id : Idle)
    close(Id);
}

std::optional<DatabaseId> ConnectionPool::onOpened(ConnectionId Id,
                                                   TimePoint Now) {
  const auto Found = Connections_.find(Id);
  if (Found == Connections_.end() || Found->second.Status != State::Opening)
    return std::nullopt;
  Found->second.Status = State::Idle;
  Found->second.Since = Now;
  DatabaseConnections &Target = ByDatabase_[Found->second.Database];
  --Target.Opening;
  Target.Failures = 0;
  Target.Idle.push_back(Id);
  return Found->second.Database;
}

std::optional<DatabaseId> ConnectionPool::onClosed(ConnectionId Id,
                                                   TimePoint Now) {
  const auto Found = Connections_.find(Id);
  if (Found == Connections_.end())
    return std::nullopt;
  DatabaseId Database = Found->second.Database;
  if (Found->second.Status == State::Opening)
    backOff(ByDatabase_[Database], Now);
  forget(Id);
  return Database;
}

void ConnectionPool::backOff(DatabaseConnections &Target, TimePoint Now) {
  const auto Doublings = std::min<std::uint32_t>(Target.Failures, 5);
  Target.RetryAt =
      Now + std::min(InitialBackoff * (1 << Doublings), MaximumBackoff);
  ++Target.Failures;
}

void ConnectionPool::onRefused(const DatabaseId &Database, TimePoint Now) {
  backOff(ByDatabase_[Database], Now);
}

void ConnectionPool::tick(TimePoint Now) {
  std::vector<ConnectionId> Ended;
  for (const auto &[Id, Entry] : Connections_) {
    const auto Database = Data_.Databases.find(Entry.Database);
    const bool Unwanted =
        Database == Data_.Databases.end() || Database->second.Leaving;
    if (Entry.Status == State::Idle &&
        (Unwanted || Now - Entry.Since > IdleTimeout))
      Ended.push_back(Id);
    if (Entry.Status == State::Opening && Now - Entry.Since > OpenTimeout) {
      backOff(ByDatabase_[Entry.Database], Now);
      Ended.push_back(Id);
    }
  }
  for (const ConnectionId Id : Ended)
    close(Id);
}

std::size_t
ConnectionPool::connectionLimitOf(const DatabaseId &Database) const {
  const auto Found = Data_.Databases.find(Database);
  if (Found == Data_.Databases.end())
    return 0;
  // Two hosts that both consider themselves the owner must stay below the cap
  // together.
  const std::size_t Half = Found->second.ConnectionCap / 2;
  return Half > 1 ? Half - 1 : 1;
}

std::size_t ConnectionPool::countOf(const DatabaseId &Database) const {
  const auto Found = ByDatabase_.find(Database);
  return Found == ByDatabase_.end() ? 0 : Found->second.Total;
}

std::size_t ConnectionPool::idleOf(const DatabaseId &Database) const {
  const auto Found = ByDatabase_.find(Database);
  return Found == ByDatabase_.end() ? 0 : Found->second.Idle.size();
}

bool ConnectionPool::lastConnectFailed(const DatabaseId &Database) const {
  const auto Found = ByDatabase_.find(Database);
  return Found != ByDatabase_.end() && Found->second.Failures > 0 &&
         Found->second.Idle.empty();
}

std::optional<DatabaseId> ConnectionPool::databaseOf(ConnectionId Id) const {
  const auto Found = Connections_.find(Id);
  if (Found == Connections_.end())
    return std::nullopt;
  return Found->second.Database;
}

} // namespace nutmegloom
