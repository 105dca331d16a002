#ifndef NUTMEGLOOM_SESSIONS_DATABASEPOOL_H
#define NUTMEGLOOM_SESSIONS_DATABASEPOOL_H

#include "sessions/databasetable.h"

#include <set>
#include <tuple>

namespace nutmegloom {

/// Session variables, by name.
using SessionVariables = std::map<std::string, std::string>;

/// A statement that a caller prepared.
struct PreparedShape {
  StatementKind Access = StatementKind::Read;
  std::string Shape;
  bool operator==(const PreparedShape &) const = default;
  bool operator<(const PreparedShape &Other) const {
    return std::tie(Access, Shape) < std::tie(Other.Access, Other.Shape);
  }
};

/// Session variables and prepared statements that are set on a database
/// connection.
struct ConnectionProfile {
  SessionVariables Variables;
  /// The prepared statements and their names on the connection. Sessions that
  /// prepared the same statement share it.
  std::map<PreparedShape, std::string> Prepared;
  /// The variables on the connection may differ from Variables.
  bool Uncertain = false;
};

/// Commands that set exactly these session variables on a connection and
/// prepare the statement, if one is given (not null) and isn't prepared yet.
/// NewName: its name then, which must not have been used on the connection.
std::vector<DatabaseCommand> commandsToMatch(const ConnectionProfile &Profile,
                                             const SessionVariables &Variables,
                                             const PreparedShape *Prepared,
                                             const std::string &NewName);
/// Updates the profile of a connection to which the command is sent.
void applyCommand(ConnectionProfile &Profile, const DatabaseCommand &Command);

/// The connections of this host to the databases.
///
/// The host's share of a database's connection cap limits their number; while
/// open transactions occupy connections, others may be opened in their place.
/// Idle connections beyond half of the share are closed after a while: a
/// database goes on counting the connections of hosts that lost power, and must
/// have room for those that the hosts open when they are back. Until then,
/// a host that was started opens no more than half of its share.
///
/// A database is told the client account when a connection is opened, so a
/// connection serves one account. Once the share is used up, the idle
/// connection of another account that was used longest ago makes room for a new
/// one.
class DatabasePool {
public:
  struct Hooks {
    std::function<void(ConnectionId, const DatabaseListing &,
                       const AccountName &)>
        Open;
    std::function<void(ConnectionId)> Close;
  };

  DatabasePool(const DatabaseTable &Table, Hooks Callbacks);

  /// Sets when this host began to open connections.
  void setStartedAt(TimePoint Started) { StartedAt_ = Started; }

  /// The host's share of a database's connections is computed from the number
  /// of hosts and the connection cap of the database's group.
  void setHosts(std::size_t LiveHosts) { LiveHosts_ = LiveHosts; }
  void setCap(const GroupId &Group, std::uint32_t Cap) { Caps_[Group] = Cap; }

  /// Takes the account's idle connection that needs the fewest commands to set
  /// Variables. Returns nothing if none is idle.
  std::optional<ConnectionId> take(const DatabaseId &Database,
                                   const AccountName &Account,
                                   const SessionVariables &Variables);
  bool hasIdle(const DatabaseId &Database, const AccountName &Account) const;
  /// True when another connection may be opened for the account. Urgent: a
  /// statement waits, so the share may be exceeded in place of connections with
  /// transactions.
  bool mayOpen(const DatabaseId &Database, const AccountName &Account,
               bool Urgent, TimePoint Now) const;
  /// Opens a connection, and closes an idle one of another account if there is
  /// no room for both.
  void open(const DatabaseId &Database, const AccountName &Account,
            TimePoint Now);
  /// Number of connections for the account that are expected to be open soon.
  std::size_t openingFor(const DatabaseId &Database, const AccountName &Account,
                         TimePoint Now) const;
  /// Puts a connection back into the pool. It must have no pending answer and
  /// no open transaction.
  void release(ConnectionId Connection, TimePoint Now);
  /// A transaction is open on a connection that was taken.
  void pin(ConnectionId Connection);
  /// Closes a connection, for example one with a pending answer.
  void drop(ConnectionId Connection);

  /// Returns the connection's database, or nothing if it is unknown.
  std::optional<DatabaseId> onOpened(ConnectionId Connection, TimePoint Now);
  /// Removes a connection that was closed or could not be opened. Returns its
  /// database, or nothing if the connection is unknown.
  std::optional<DatabaseId> onClosed(ConnectionId Connection);
  /// Handles a connection that the database refused because of its cap: no
  /// further one is opened for a short time.
  void onOverloaded(const DatabaseId &Database, TimePoint Now);
  /// Closes idle connections to a database that was removed or restarted.
  void closeIdleConnections(const DatabaseId &Database);

  /// Closes connections that were not opened in time, idle connections above
  /// half of the host's share, and idle connections to a draining or removed
  /// database.
  void tick(TimePoint Now);

  ConnectionProfile &profileOf(ConnectionId Connection);
  std::optional<DatabaseId> databaseOf(ConnectionId Connection) const;
  std::size_t countOf(const DatabaseId &Database) const;
  std::size_t openingOf(const DatabaseId &Database) const;
  std::size_t total() const { return Connections_.size(); }
  std::size_t shareOf(const DatabaseId &Database) const;

private:
  enum class UseState { Opening, Idle, Taken, Pinned };
  struct Entry {
    DatabaseId Database;
    AccountName Account;
    UseState State = UseState::Opening;
    TimePoint Since;
    ConnectionProfile Profile;
  };
  struct DatabaseConnections {
    std::vector<ConnectionId> Idle;
    std::size_t Opening = 0;
    std::size_t Pinned = 0;
    std::size_t Total = 0;
    TimePoint OverloadedUntil;
  };

  /// Idle connection of another account that was used longest ago.
  std::optional<ConnectionId> replaceableFor(const DatabaseConnections &Target,
                                             const AccountName &Account) const;
  /// Number of connections that this host keeps open without need.
  std::size_t baseOf(const DatabaseId &Database) const;

  const DatabaseTable &Table_;
  Hooks Hooks_;
  TimePoint StartedAt_;
  std::size_t LiveHosts_ = 1;
  std::map<GroupId, std::uint32_t> Caps_;
  std::map<ConnectionId, Entry> Connections_;
  std::map<DatabaseId, DatabaseConnections> ConnectionsByDatabase_;
  ConnectionId LastConnection_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_DATABASEPOOL_H
