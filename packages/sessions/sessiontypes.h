#ifndef NUTMEGLOOM_SESSIONS_SESSIONTYPES_H
#define NUTMEGLOOM_SESSIONS_SESSIONTYPES_H

#include "core/types.h"
#include "sessions/storerevision.h"

#include <array>
#include <map>
#include <set>

namespace nutmegloom {

/// Identifies a caller's connection inside one process. Never reused.
using CallerSessionId = std::uint64_t;

/// Name of a client account, which databases are told. Empty: a session without
/// an account.
using AccountName = std::string;
/// SHA-256 digest of an API key.
using KeyDigest = std::array<std::uint8_t, 32>;

/// Kind of a caller's statement.
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

/// A caller's statement, parsed by the codec of its protocol.
struct CallerStatement {
  /// Chosen by the caller and forwarded to the database unchanged.
  std::string Id;
  StatementVerb Verb = StatementVerb::Unreadable;
  /// Original text of the statement. Read, Write, Commit: forwarded as is.
  std::string Text;
  /// SetVariable: the variable's name. Prepare, Execute, Deallocate: the
  /// prepared statement's name.
  std::string Name;
  /// SetVariable: the value. Prepare: the statement text. Execute: the
  /// arguments.
  std::string Argument;
  /// Prepare: whether the prepared statement reads or writes.
  StatementKind Access = StatementKind::Read;
};

/// Result of a statement. With the codes from Busy to Overloaded the statement
/// has no effect. Where a code says that nothing is kept, this includes the
/// effects of the whole transaction.
enum class StatementCode {
  Done,
  /// Nothing is kept; a retry may succeed.
  Busy,
  /// The transaction was rolled back; nothing is kept.
  Aborted,
  /// The database's log has not reached the required position.
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
  /// No result before the deadline; the statement may have run.
  TimedOut,
  /// Whether the statement took effect is unknown.
  InDoubt,
  /// No account holds the caller's API key, or not any more; not run.
  Denied,
};
std::string_view nameOf(StatementCode Code);

/// Why a connection to a database could not be opened.
enum class OpenFailure {
  NoAnswer,
  /// No process listens at the address.
  Refused,
  /// The database closed the connection without a readable answer.
  Reset,
  /// The database answered with an error code.
  Answered,
};
std::string_view nameOf(OpenFailure Failure);

/// Transaction status of a session between two statements, as the protocol
/// reports it.
enum class TransactionStatus { Idle, InTransaction, Failed };

/// The complete answer to a statement.
struct StatementAnswer {
  StatementCode Code = StatementCode::Done;
  /// Result rows, encoded as the database sent them.
  std::vector<std::string> Rows;
  /// Done: signature sent by the database; empty if the proxy answered without
  /// a database.
  std::string Signature;
  /// Error message.
  std::string Detail;
  TransactionStatus State = TransactionStatus::Idle;
  /// Position of the database's log; not set if the proxy answered without a
  /// database.
  std::optional<Position> Log;
};

/// Kind of a command on a database connection.
enum class CommandVerb {
  /// Runs a caller's statement.
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

/// A command on a database connection. Commands are answered one by one, in the
/// order in which they were sent.
struct DatabaseCommand {
  CommandVerb Verb = CommandVerb::Forward;
  /// Forward: the statement id chosen by the caller. Empty for commands of the
  /// proxy itself.
  std::string Id;
  /// Forward: the statement, or the arguments of a prepared statement. Prepare:
  /// the statement text. SetVariable: the value.
  std::string Text;
  /// SetVariable, Prepare: the name. Forward: name of the prepared statement on
  /// this connection; empty for a statement that isn't prepared.
  std::string Name;
  StatementKind Access = StatementKind::Read;
  /// A database whose log has not reached this position answers Behind.
  std::optional<Position> MinimumPosition;
  /// StepDown, Pause: the term.
  std::uint64_t Term = 0;
};

/// Status reported by a database.
struct DatabaseReport {
  DatabaseRole Role = DatabaseRole::Unknown;
  std::uint64_t Term = 0;
  Position Received;
  /// Term of the pause in force; zero: none. A paused replica accepts no log
  /// entries.
  std::uint64_t PausedTerm = 0;
  Milliseconds Lag{0};
  std::uint32_t BusySlots = 0;
  std::uint32_t Connections = 0;
};

/// Consistency guarantee of a route.
enum class ConsistencyMode { Primary, BoundedStaleness, ReadYourWrites };
std::string_view nameOf(ConsistencyMode Mode);

/// A database name for which callers may open sessions, and how their
/// statements are routed.
struct SessionRoute {
  std::string Database;
  GroupId Group;
  ConsistencyMode Mode = ConsistencyMode::Primary;
  Milliseconds StatementTimeout{1000};
  Milliseconds TargetLatency{500};
  /// 0 is the highest.
  std::uint32_t Priority = 0;
  Milliseconds MaximumAge{0};
  /// Sessions need no API key.
  bool Public = false;
  bool operator==(const SessionRoute &) const = default;
};

/// Rate limit of a client account over all hosts. An operation is a statement
/// or a transaction.
struct AccountQuota {
  double OperationsPerSecond = 0;
  double Burst = 0;
  bool operator==(const AccountQuota &) const = default;
};

/// How far an account's limit may be exceeded within any window of time: by a
/// fraction of what the limit allows, and by a number of operations.
struct QuotaTolerance {
  Milliseconds Window{0};
  double Fraction = 0;
  double Operations = 0;
};

/// A client account and the API keys that it holds.
struct AccountSettings {
  AccountName Account;
  std::set<KeyDigest> Keys;
  /// Nothing: not limited.
  std::optional<AccountQuota> Quota;
  bool operator==(const AccountSettings &) const = default;
};

struct GroupSettings {
  GroupId Group;
  std::uint32_t ConnectionCap = 0;
  /// Number of replicas that must hold a commit before it is acknowledged.
  std::uint32_t SynchronousReplicas = 0;
};

/// The part of the operator's configuration that sessions use.
struct SessionConfiguration {
  std::uint64_t Version = 0;
  std::map<std::string, SessionRoute> Routes;
  std::map<GroupId, GroupSettings> Groups;
  /// Sessions need an API key, unless their route is public.
  bool RequiresKeys = false;
  std::map<AccountName, AccountSettings> Accounts;
  Milliseconds TransactionIdleTimeout{3000};
};

/// Entry of a database in the platform's list.
struct DatabaseListing {
  DatabaseId Id;
  GroupId Group;
  std::string Address;
  ZoneName Zone;
  std::uint32_t Slots = 1;
  DatabaseRole Role = DatabaseRole::Unknown;
  bool Draining = false;
  /// Start of the database process in Unix milliseconds. A different value
  /// under the same id means that the process was restarted.
  std::int64_t StartedAtMs = 0;
  bool operator==(const DatabaseListing &) const = default;
};

/// Progress of a change of a group's primary.
enum class LeadershipPhase {
  /// The leader may be used.
  Settled,
  /// The leader is being promoted; no database may be used as primary.
  Promoting,
};
std::string_view nameOf(LeadershipPhase Phase);

/// Authoritative record of which database leads a group. It is kept in the
/// platform's store and replaced by conditional writes only.
struct LeadershipRecord {
  GroupId Group;
  DatabaseId Leader;
  std::uint64_t Term = 0;
  LeadershipPhase Phase = LeadershipPhase::Settled;
  /// Host that wrote the record.
  HostName Holder;
  /// Version of the record in the store; not set: there is none.
  StoreRevision Revision;
  /// Era of the store in which the record was written, by the knowledge of the
  /// host that wrote it.
  std::uint64_t WrittenInEra = 0;

  /// True for a record of an earlier era than the one in which it was read: a
  /// later record of that era may be lost.
  bool isRestored() const { return WrittenInEra < Revision.Era; }
};

/// Lease of the host that may request promotions. It is kept in the platform's
/// store and replaced by conditional writes only.
struct PromotionLease {
  HostName Holder;
  /// Identifies the holder's process: a restarted host must acquire the lease
  /// again.
  std::uint64_t Incarnation = 0;
  /// Fencing token, increased whenever the holder changes.
  std::uint64_t Token = 0;
  /// Version of the object in the store; not set: there is none.
  StoreRevision Revision;
  /// As for LeadershipRecord.
  std::uint64_t WrittenInEra = 0;
  bool isRestored() const { return WrittenInEra < Revision.Era; }
};

/// Distance class of a database or host, nearest first.
enum class Distance { SameZone, SameRegion, OtherRegion };

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_SESSIONTYPES_H
