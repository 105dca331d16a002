#ifndef NUTMEGLOOM_CORE_CONNECTIONPOOL_H
#define NUTMEGLOOM_CORE_CONNECTIONPOOL_H

#include "core/tables.h"

#include <functional>
#include <map>

namespace nutmegloom {

/// Connections of this host to the service ports of the databases, limited to
/// the host's share of each database's connection cap.
class ConnectionPool {
public:
  struct Hooks {
    std::function<void(ConnectionId, const DatabaseId &)> Open;
    std::function<void(ConnectionId)> Close;
  };

  ConnectionPool(const Tables &Data, Hooks Callbacks);

  /// Takes an idle connection for exclusive use; std::nullopt if there is none.
  std::optional<ConnectionId> takeIdle(const DatabaseId &Database);
  /// Opens connections until Wanted are idle or being opened, unless the host's
  /// share is reached or a recent failure delays new connections.
  void ensureAvailable(const DatabaseId &Database, std::size_t Wanted,
                       TimePoint Now);
  /// Returns a connection to the pool. No answer may be pending and no
  /// transaction may be open on it.
  void release(ConnectionId Connection, TimePoint Now);
  void close(ConnectionId Connection);
  /// Closes the idle connections of a database, and those of other databases
  /// that became idle before Since.
  void closeIdle(const DatabaseId &Database, TimePoint Since);

  /// Marks a connection as idle and returns its database; std::nullopt if the
  /// connection was not being opened.
  std::optional<DatabaseId> onOpened(ConnectionId Connection, TimePoint Now);
  /// Removes a connection that is already closed and returns its database;
  /// std::nullopt if the connection is unknown.
  std::optional<DatabaseId> onClosed(ConnectionId Connection, TimePoint Now);
  /// The database refused a connection because of its connection cap. Delays
  /// new connections.
  void onRefused(const DatabaseId &Database, TimePoint Now);

  /// Closes idle connections that have been unused for too long or belong to a
  /// leaving or removed database, and connections that did not open in time.
  void tick(TimePoint Now);

  /// Maximum number of connections of this host to the database.
  std::size_t connectionLimitOf(const DatabaseId &Database) const;
  std::size_t countOf(const DatabaseId &Database) const;
  std::size_t idleOf(const DatabaseId &Database) const;
  /// True if the last attempt to open a connection failed and none is idle.
  bool lastConnectFailed(const DatabaseId &Database) const;
  std::optional<DatabaseId> databaseOf(ConnectionId Connection) const;

private:
  enum class State { Opening, Idle, InUse };
  struct Connection {
    DatabaseId Database;
    State Status = State::Opening;
    TimePoint Since;
  };
  struct DatabaseConnections {
    std::vector<ConnectionId> Idle;
    std::size_t Opening = 0;
    std::size_t Total = 0;
    std::uint32_t Failures = 0;
    TimePoint RetryAt;
  };

  void forget(ConnectionId Connection);
  void backOff(DatabaseConnections &Target, TimePoint Now);

  const Tables &Data_;
  Hooks Hooks_;
  std::map<ConnectionId, Connection> Connections_;
  std::map<DatabaseId, DatabaseConnections> ByDatabase_;
  ConnectionId LastConnection_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_CONNECTIONPOOL_H
