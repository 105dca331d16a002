#ifndef NUTMEGLOOM_CORE_CONNECTIONPOOL_H
#define NUTMEGLOOM_CORE_CONNECTIONPOOL_H

#include "core/tables.h"

#include <functional>
#include <map>

namespace nutmegloom {

/// The connections of this host to the databases' service ports. It stays
/// within the host's share of each database's connection cap.
class ConnectionPool {
public:
  struct Hooks {
    std::function<void(ConnectionId, const DatabaseId &)> Open;
    std::function<void(ConnectionId)> Close;
  };

  ConnectionPool(const Tables &Data, Hooks Callbacks);

  /// Takes an idle connection for exclusive use.
  std::optional<ConnectionId> takeIdle(const DatabaseId &Database);
  /// Opens connections until Wanted are idle or being opened, as far as the
  /// share and the pause after a failure allow.
  void ensureAvailable(const DatabaseId &Database, std::size_t Wanted,
                       TimePoint Now);
  /// Gives back a connection that owes no answer and has nothing open.
  void release(ConnectionId Connection, TimePoint Now);
  /// Closes a connection.
  void close(ConnectionId Connection);
  /// Closes the idle connections of a database, and those of the others that
  /// were last known to work before Since.
  void closeIdle(const DatabaseId &Database, TimePoint Since);

  /// Returns the database of the connection; nothing for an unknown one.
  std::optional<DatabaseId> onOpened(ConnectionId Connection, TimePoint Now);
  /// Forgets a connection that is already closed.
  std::optional<DatabaseId> onClosed(ConnectionId Connection, TimePoint Now);
  /// The database refused a connection because of its cap.
  void onRefused(const DatabaseId &Database, TimePoint Now);

  /// Closes idle connections that are unused or belong to a leaving database,
  /// and connections that can't be opened in time.
  void tick(TimePoint Now);

  /// Connections that this host may have to the database.
  std::size_t connectionLimitOf(const DatabaseId &Database) const;
  std::size_t countOf(const DatabaseId &Database) const;
  std::size_t idleOf(const DatabaseId &Database) const;
  /// True when the last attempt to open a connection failed.
  bool lastConnectFailed(const DatabaseId &Database) const;
  std::optional<DatabaseId> databaseOf(ConnectionId Connection) const;

private:
  enum class State { Opening, Idle, InUse };
  struct Connection {
    DatabaseId Database;
    State Use = State::Opening;
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
  std::map<DatabaseId, DatabaseConnections> Members_;
  ConnectionId LastConnection_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_CONNECTIONPOOL_H
