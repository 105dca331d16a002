#ifndef NUTMEGLOOM_SESSIONS_SESSIONTYPES_H
#define NUTMEGLOOM_SESSIONS_SESSIONTYPES_H

#include "core/types.h"

#include <map>

namespace nutmegloom {

/// Identifies a caller's connection inside one process. Never reused.
using CallerSessionId = std::uint64_t;

/// What a caller's statement asks for.
enum class StatementVerb {
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  SetVariable,
  Prepare,
  Execute,
  Deallocate,
  Unreadable,
};
std::string_view nameOf(StatementVerb Verb);

/// A statement of a caller, as the codec of its protocol understood it.
struct CallerStatement {
  /// Chosen by the caller; it goes to the database unchanged.
  std::string Id;
  StatementVerb Verb = StatementVerb::Unreadable;
  /// The statement as the caller wrote it. Read, Write, Commit: sent unchanged.
  std::string Text;
  /// SetVariable: the value's name. Prepare, Execute, Deallocate: the prepared
  /// statement's name.
  std::string Name;
  /// SetVariable: the value. Prepare: the shape. Execute: the arguments.
  std::string Argument;
  /// Prepare: whether the shape writes.
  StatementKind Access = StatementKind::Read;
};

/// Result of a statement. None of the codes up to Overloaded has run; for those
/// marked so, nothing of the whole attempt is kept.
enum class StatementCode {
  Done,
  /// Nothing is kept; another try may succeed.
  Busy,
  /// The transaction was rolled back; nothing is kept.
  Aborted,
  /// The database's log lacks a required position.
  Behind,
  /// The database is not the primary.
  ReadOnly,
  /// Another database listens at the address.
  WrongDatabase,
  /// Too many connections.
  Overloaded,
  UnknownName,
  NoDatabase,
  Malformed,
  /// The statement ran and failed.
  Failed,
  /// No result in time; it may have run.
  TimedOut,
  /// It is not known whether the work was done.
  InDoubt,
};
std::string_view nameOf(StatementCode Code);

/// Why a connection to a database could not be opened.
enum class OpenFailure {
  NoAnswer,
  /// No process listens at the address.
  Refused,
  /// The database closed the connection without a readable answer.
  Reset,
  /// The database answered with a code.
  Answered,
};
std::string_view nameOf(OpenFailure Failure);

/// State of a session between statements, as its protocol reports it.
enum class TransactionStatus { Idle, InTransaction, Failed };

/// The complete answer to a statement.
struct StatementAnswer {
  StatementCode Code = StatementCode::Done;
  /// Result rows, in the form in which the database sent them.
  std::vector<std::string> Rows;
  /// Done: the database's signature; empty for what the proxy did itself.
  std::string Signature;
  /// Detail of an error.
  std::string Detail;
  TransactionStatus State = TransactionStatus::Idle;
  /// Position of the database's log, unless the proxy answered itself.
  std::optional<Position> Log;
};

/// What a database is asked to do on a connection.
enum class CommandVerb {
  /// The text of a caller's statement.
  Forward,
  Begin,
  BeginRead,
  Rollback,
  SetVariable,
  Prepare,
  Reset,
  Status,
  StepDown,
  Pause,
  Resume,
};
std::string_view nameOf(CommandVerb Verb);

/// One command on a database connection. Each gets one answer, in order.
struct DatabaseCommand {
  CommandVerb Verb = CommandVerb::Forward;
  /// Forward: the caller's id. Empty for the proxy's own commands.
  std::string Id;
  /// Forward: the statement, or the arguments of a prepared one. Prepare: the
  /// shape. SetVariable: the value.
  std::string Text;
  /// SetVariable, Prepare: the name. Forward: the prepared statement's name on
  /// this connection; empty for a statement that is sent as its text.
  std::string Name;
  StatementKind Access = StatementKind::Read;
  /// Refused as Behind by a log that lacks this position.
  std::optional<Position> MinimumPosition;
  /// StepDown, Pause: the term.
  std::uint64_t Term = 0;
};

/// Status row of a database.
struct DatabaseReport {
  DatabaseRole Role = DatabaseRole::Unknown;
  std::uint64_t Term = 0;
  Position Received;
  /// Term of a pause that is in force; zero: none.
  std::uint64_t PausedTerm = 0;
  Milliseconds Lag{0};
  std::uint32_t BusySlots = 0;
  std::uint32_t Connections = 0;
};

/// What freshness a route promises.
enum class ConsistencyMode { Primary, BoundedStaleness, ReadYourWrites };
std::string_view nameOf(ConsistencyMode Mode);

/// A database name that callers may open sessions for.
struct SessionRoute {
  std::string Database;
  GroupId Group;
  ConsistencyMode Mode = ConsistencyMode::Primary;
  Milliseconds StatementTimeout{1000};
  Milliseconds TargetLatency{500};
  /// 0 is the highest.
  std::uint32_t Priority = 0;
  Milliseconds MaximumAge{0};
  bool operator==(const SessionRoute &) const = default;
};

struct GroupSettings {
  GroupId Group;
  std::uint32_t ConnectionCap = 0;
  /// Replicas that hold a commit before it is acknowledged.
  std::uint32_t SynchronousReplicas = 0;
};

/// The operator's configuration, as far as sessions need it.
struct SessionConfiguration {
  std::uint64_t Version = 0;
  std::map<std::string, SessionRoute> Routes;
  std::map<GroupId, GroupSettings> Groups;
  Milliseconds TransactionIdleTimeout{3000};
};

/// A database as the platform lists it.
struct DatabaseListing {
  DatabaseId Id;
  GroupId Group;
  std::string Address;
  ZoneName Zone;
  std::uint32_t Slots = 1;
  DatabaseRole Role = DatabaseRole::Unknown;
  bool Draining = false;
  /// Start of the database process, Unix milliseconds; tells a restart under
  /// the same id.
  std::int64_t StartedAtMs = 0;
  bool operator==(const DatabaseListing &) const = default;
};

/// How far a change of a group's primary has come.
enum class LeadershipPhase {
  /// The leader may be used.
  Settled,
  /// The leader is being promoted; nobody may be used as primary.
  Promoting,
};
std::string_view nameOf(LeadershipPhase Phase);

/// The one agreed statement of which database leads a group. It is kept in the
/// platform's store and replaced on condition only.
struct LeadershipRecord {
  GroupId Group;
  DatabaseId Leader;
  std::uint64_t Term = 0;
  LeadershipPhase Phase = LeadershipPhase::Settled;
  /// Host that wrote the record.
  HostName Holder;
  /// Version of the record in the store; zero: there is none.
  std::uint64_t Revision = 0;
};

/// Which host may have databases promoted. It is kept in the platform's store
/// and replaced on condition only.
struct PromotionLease {
  HostName Holder;
  /// Start of the holder's process, so that a restarted host takes it anew.
  std::uint64_t Incarnation = 0;
  /// Fencing token; it grows whenever the holder changes.
  std::uint64_t Token = 0;
  /// Version of the object in the store; zero: there is none.
  std::uint64_t Revision = 0;
};

/// Distance class of a database, nearest first.
enum class Distance { SameZone, SameRegion, OtherRegion };

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_SESSIONTYPES_H
