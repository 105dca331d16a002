#ifndef NUTMEGLOOM_SESSIONS_DATABASEPOOL_H
#define NUTMEGLOOM_SESSIONS_DATABASEPOOL_H

#include "sessions/databasetable.h"

#include <set>

namespace nutmegloom {

/// Session values by name.
using SessionVariables = std::map<std::string, std::string>;

/// A statement shape that a caller prepared.
struct PreparedShape {
  StatementKind Access = StatementKind::Read;
  std::string Shape;
};

/// Name under which a shape is prepared on database connections. It depends on
/// the shape alone, so callers whose names collide share a connection safely.
std::string sharedNameOf(const PreparedShape &Prepared);

/// What a database connection has been told of sessions.
struct ConnectionProfile {
  SessionVariables Variables;
  std::set<std::string> Prepared;
  /// The values may differ from what is written here.
  bool Uncertain = false;
};

/// Commands that make a connection carry exactly the values of a session and
/// the prepared shape, if one is given.
std::vector<DatabaseCommand> commandsToMatch(const ConnectionProfile &Profile,
                                             const SessionVariables &Variables,
                                             const PreparedShape *Prepared);

/// The connections of this host to the databases. It keeps within the host's
/// share of each database's cap, and borrows a few more for a short time when
/// statements wait.
class DatabasePool {
public:
  struct Hooks {
    std::function<void(ConnectionId, const DatabaseListing &)> Open;
    std::function<void(ConnectionId)> Close;
  };

  DatabasePool(const DatabaseTable &Table, Hooks Callbacks);

  /// Share of a database's connections, from its cap and the live hosts.
  void setHosts(std::size_t LiveHosts) { LiveHosts_ = LiveHosts; }
  void setCap(const GroupId &Group, std::uint32_t Cap) { Caps_[Group] = Cap; }

  /// Takes the idle connection that needs the fewest commands to match
  /// Variables.
  std::optional<ConnectionId> take(const DatabaseId &Database,
                                   const SessionVariables &Variables);
  bool hasIdle(const DatabaseId &Database) const;
  /// True when another connection may be opened. Urgent: beyond the share.
  bool mayOpen(const DatabaseId &Database, bool Urgent, TimePoint Now) const;
  void open(const DatabaseId &Database, TimePoint Now);
  /// Gives back a connection that owes no answer and has nothing open.
  void release(ConnectionId Connection, TimePoint Now);
  /// Closes a connection, for example one whose answer is in doubt.
  void drop(ConnectionId Connection);

  std::optional<DatabaseId> onOpened(ConnectionId Connection, TimePoint Now);
  /// Forgets a connection that is closed or was never opened.
  std::optional<DatabaseId> onClosed(ConnectionId Connection);
  /// The database refused a connection because of its cap.
  void onOverloaded(const DatabaseId &Database, TimePoint Now);
  /// Closes idle connections to the database and forgets it.
  void forgetDatabase(const DatabaseId &Database);

  /// Closes connections that can't be opened in time and idle ones that are
  /// borrowed or belong to a draining database.
  void tick(TimePoint Now);

  ConnectionProfile &profileOf(ConnectionId Connection);
  std::optional<DatabaseId> databaseOf(ConnectionId Connection) const;
  std::size_t countOf(const DatabaseId &Database) const;
  std::size_t openingOf(const DatabaseId &Database) const;
  std::size_t total() const { return Connections_.size(); }
  std::size_t shareOf(const DatabaseId &Database) const;

private:
  enum class UseState { Opening, Idle, Taken };
  struct Entry {
    DatabaseId Database;
    UseState State = UseState::Opening;
    TimePoint Since;
    ConnectionProfile Profile;
  };
  struct DatabaseConnections {
    std::vector<ConnectionId> Idle;
    std::size_t Opening = 0;
    std::size_t Total = 0;
    TimePoint OverloadedUntil;
  };

  const DatabaseTable &Table_;
  Hooks Hooks_;
  std::size_t LiveHosts_ = 1;
  std::map<GroupId, std::uint32_t> Caps_;
  std::map<ConnectionId, Entry> Connections_;
  std::map<DatabaseId, DatabaseConnections> ConnectionsByDatabase_;
  ConnectionId LastConnection_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_DATABASEPOOL_H
