#ifndef NUTMEGLOOM_SESSIONS_STATEMENTWORK_H
#define NUTMEGLOOM_SESSIONS_STATEMENTWORK_H

#include "sessions/databasepool.h"

namespace nutmegloom {

/// A statement of a session, with what is needed to run it at a database.
struct StatementWork {
  CallerSessionId Session = 0;
  GroupId Group;
  /// Client account of the session, whose connections the statement uses.
  AccountName Account;
  /// Version of the configuration by which the session's key was checked; zero:
  /// it needs none.
  std::uint64_t ConfigurationVersion = 0;
  /// The operation that the statement belongs to was counted against the
  /// account's limit.
  bool Admitted = false;
  /// The caller's statement as it is sent to the database. The name of a
  /// prepared statement depends on the connection and is not set here.
  DatabaseCommand Command;
  /// Session variables that must be set on the connection.
  SessionVariables Variables;
  /// Statement that must be prepared on the connection.
  std::optional<PreparedShape> Prepared;
  /// Only the leader may run the statement.
  bool NeedsLeader = false;
  /// The statement can change data: it is a write, or commits a transaction
  /// that wrote.
  bool Writes = false;
  /// The statement may run again if its answer is lost.
  bool Repeatable = false;
  /// Maximum age of the data that a read accepts, if it doesn't need the
  /// leader.
  Milliseconds MaximumAge{0};
  /// Log position of the session's last write, if the statement must see it.
  std::optional<Position> LastWrite;
  /// Command that begins a transaction before the statement, if any.
  std::optional<CommandVerb> Opens;
  /// Connection of the session's open transaction.
  std::optional<ConnectionId> Pinned;
  /// The statement ends the open transaction.
  bool EndsTransaction = false;
  std::uint32_t Priority = 0;
  TimePoint ReceivedAt;
  TimePoint Deadline;
};

/// Outcome of a statement.
struct StatementResult {
  StatementAnswer Answer;
  DatabaseId Database;
  /// Connection of the transaction that is open after the statement.
  std::optional<ConnectionId> Pinned;
  /// The session's last write was rolled back by a promotion.
  bool LastWriteLost = false;
  /// Time after which a retry may succeed; zero: unknown.
  Milliseconds RetryAfter{0};
  /// Position that the database's log had to have reached.
  std::optional<Position> MinimumPosition;
  /// Time since the group's leader was last confirmed, at the end.
  std::optional<Milliseconds> LeadershipAge;
  /// How often the statement was sent to a database.
  std::uint32_t Attempts = 0;
  /// Other host to which the statement was relayed; empty: none.
  HostName Via;
};

/// A statement that was prepared on a connection, for logs and metrics.
struct StatementPreparation {
  /// Id of the statement that needed it first.
  std::string_view StatementId;
  DatabaseId Database;
  ConnectionId Connection = 0;
  /// Name and text as they were sent to the database.
  std::string_view Name;
  StatementKind Access = StatementKind::Read;
  std::string_view Shape;
};

/// True for a statement that commits changed data: the commit of a transaction
/// that wrote, or a write outside a transaction.
bool isCommit(const StatementWork &Work);
/// True for a statement inside a transaction, including the first one.
bool isInTransaction(const StatementWork &Work);
/// Code for a statement that was sent and not answered.
StatementCode codeOfUnanswered(const StatementWork &Work);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTWORK_H
