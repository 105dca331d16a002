#ifndef NUTMEGLOOM_CORE_MESSAGES_H
#define NUTMEGLOOM_CORE_MESSAGES_H

#include "core/types.h"

#include <map>

namespace nutmegloom {

/// What a session has seen of each group: the position of its last write or
/// read. The token codec turns it into a signed string and back.
struct SessionTokenState {
  /// Random identifier of the session, made by the first host that serves it.
  std::string SessionId;
  std::map<GroupId, Position> Positions;
  /// Positions of other groups were left out for their size: a group that isn't
  /// listed must be read at the primary.
  bool Partial = false;
};

/// Step of a request: a single statement or a step of a transaction.
enum class RequestStep {
  Statement,
  Begin,
  TransactionStatement,
  Commit,
  Rollback,
  /// Finds or closes the outcome of a write whose owner went away.
  ResolveOutcome,
};
std::string_view nameOf(RequestStep Step);

/// A request as it arrives at an entry host and as it is forwarded to an owner.
struct CallerRequest {
  RequestStep Step = RequestStep::Statement;
  GroupId Group;
  StatementKind Kind = StatementKind::Read;
  /// The statement as JSON text. It is passed to the database unread.
  std::string Statement;
  /// Hash of the statement's shape: its text without literal values.
  std::uint64_t StatementDigest = 0;
  /// Greatest accepted age of the data of a read. Absent: any age is accepted
  /// that Required allows.
  std::optional<Milliseconds> MaximumAge;
  /// Position of the session in this group; zero for a session that has not
  /// written to it. Absent: the token is missing or unreadable, so a read goes
  /// to the primary unless it states a maximum age.
  std::optional<Position> Required;
  /// Idempotency key of a write or a commit. Never empty for those.
  std::string Key;
  /// Hash of kind and statement, to detect reuse of a key for other work.
  std::uint64_t Fingerprint = 0;
  /// Transaction that the step belongs to.
  std::string Transaction;
  /// Class of the work, from the settings. Empty: the default class.
  std::string WorkClass;
  /// Identifies the caller for fair shares: session id or address.
  std::string Caller;
  TimePoint Deadline;
  /// W3C trace context of the hop that sends this request.
  std::string TraceParent;
};

/// The answer to a request.
struct CallerAnswer {
  Outcome Result = Outcome::Unknown;
  ErrorCode Error = ErrorCode::None;
  /// Human-readable detail of an error.
  std::string Detail;
  /// The database's result as JSON text.
  std::string Body;
  /// Position that the session has seen once it has this answer.
  std::optional<Position> Seen;
  DatabaseId Database;
  /// Age of the data that was read.
  Milliseconds Age{0};
  /// The outcome was recorded by an earlier request with the same key.
  bool Replayed = false;
  std::string Transaction;
  /// When a later try may succeed. Zero: not given.
  Milliseconds RetryAfter{0};
  /// The owner can't serve this here; the entry forwards to this region.
  RegionName RedirectRegion;
  /// A read was served by a replica.
  bool FromReplica = false;
};

/// Operations on the service port of a database.
enum class DatabaseOperation {
  Execute,
  Begin,
  TransactionStatement,
  Commit,
  Rollback,
  CloseKey,
};
std::string_view nameOf(DatabaseOperation Operation);

/// A request to a database, sent on one connection.
struct DatabaseRequest {
  DatabaseOperation Operation = DatabaseOperation::Execute;
  ExchangeId Exchange = 0;
  /// Term under which the request may be executed. A database that has
  /// promised a higher term refuses it.
  std::uint64_t Term = 0;
  StatementKind Kind = StatementKind::Read;
  std::string Statement;
  std::string Key;
  std::uint64_t Fingerprint = 0;
  /// The database's own transaction id.
  std::string Transaction;
  std::string TraceParent;
};

/// Whether a key had an outcome when it was closed.
enum class KeyState { None, Recorded, Closed };

/// An answer of a database to an executed request.
struct DatabaseAnswer {
  ExchangeId Exchange = 0;
  DatabaseId Database;
  /// Term that the database has promised.
  std::uint64_t Term = 0;
  /// Term of the log entry at Index.
  std::uint64_t LogTerm = 0;
  /// Write: index of its log entry. Read: applied index.
  std::uint64_t Index = 0;
  std::string Result;
  bool Replayed = false;
  Milliseconds Age{0};
  TermHistory Terms;
  std::string Transaction;
  KeyState Key = KeyState::None;
};

/// Why an exchange with a database has no answer.
enum class DatabaseFailureKind {
  /// Nothing was sent: no connection could be made.
  NotConnected,
  /// The connection broke or was given up after bytes may have been sent.
  Broken,
  /// The answer was cut short or couldn't be read.
  Malformed,
  /// Refused and not executed: the term isn't the database's.
  TermMismatch,
  /// Refused and not executed: the key was closed.
  KeyClosed,
  /// Refused and not executed: the key belongs to other work.
  KeyReused,
  /// Refused and not executed: the statement is invalid.
  StatementFailed,
  /// Refused and not executed: the connection cap is reached.
  TooManyConnections,
  /// Refused and not executed: the transaction isn't open on the connection.
  NoTransaction,
};
std::string_view nameOf(DatabaseFailureKind Kind);

/// True when the failure says that the request was not executed.
bool provesNotExecuted(DatabaseFailureKind Kind);

struct DatabaseFailure {
  ExchangeId Exchange = 0;
  DatabaseFailureKind Kind = DatabaseFailureKind::Broken;
  std::string Detail;
  /// Term that the database has promised, if it said so.
  std::uint64_t Term = 0;
};

/// Status of a database, from its control port.
struct DatabaseStatus {
  DatabaseId Database;
  /// Changes whenever the database process is restarted.
  std::string Boot;
  std::uint64_t Term = 0;
  DatabaseRole Role = DatabaseRole::Unknown;
  std::uint64_t LogTerm = 0;
  /// Index of the last log entry that the database holds.
  std::uint64_t Received = 0;
  /// Index of the last log entry that reads can see.
  std::uint64_t Applied = 0;
  Milliseconds Age{0};
  /// Time since this replica last heard from its primary.
  Milliseconds PrimaryContact{0};
  std::uint32_t Connections = 0;
  bool Leaving = false;
  /// Exchanges being executed on the service port.
  std::vector<std::string> Executing;
  TermHistory Terms;
};

/// Commands on the control port.
enum class ControlCommand { Fence, Promote, Follow };
std::string_view nameOf(ControlCommand Command);

struct ControlRequest {
  ControlCommand Command = ControlCommand::Fence;
  DatabaseId Database;
  std::uint64_t Term = 0;
  /// Identifies the promoter: a database grants a term to one promoter only.
  std::string Promoter;
  /// Follow: control address of the primary.
  std::string PrimaryControl;
};

/// What a heartbeat tells about another host than its sender.
struct PeerSummary {
  HostName Host;
  std::string Incarnation;
  RegionName Region;
  ZoneName Zone;
  std::string PeerAddress;
  HostState State = HostState::Unknown;
  std::uint64_t ConfigurationVersion = 0;
  /// Time since a heartbeat of the host was last heard by anyone.
  Milliseconds Age{0};
  bool Suspected = false;
};

/// Heartbeat between hosts.
struct PeerHeartbeat {
  HostName Host;
  /// Changes whenever the host process is restarted.
  std::string Incarnation;
  RegionName Region;
  ZoneName Zone;
  std::string PeerAddress;
  HostState State = HostState::Unknown;
  std::uint64_t ConfigurationVersion = 0;
  /// A bounded part of what the sender knows of other hosts.
  std::vector<PeerSummary> Known;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_MESSAGES_H
