#ifndef NUTMEGLOOM_SESSIONS_STATEMENTWORK_H
#define NUTMEGLOOM_SESSIONS_STATEMENTWORK_H

#include "sessions/databasepool.h"

namespace nutmegloom {

/// One statement of a session on its way to a database and back.
struct StatementWork {
  CallerSessionId Session = 0;
  GroupId Group;
  /// The caller's statement, ready to be forwarded.
  DatabaseCommand Command;
  /// Variables that the connection must carry.
  SessionVariables Variables;
  /// Shape that the connection must know.
  std::optional<PreparedShape> Prepared;
  /// Only the leader may run it.
  bool NeedsLeader = false;
  /// It can change data: a write, or the commit of a transaction that wrote.
  bool Writes = false;
  /// It may run a second time after a lost answer.
  bool Repeatable = false;
  /// Oldest data that it accepts, when it doesn't need the leader.
  Milliseconds MaximumAge{0};
  /// Position of the session's own last write.
  std::optional<Position> LastWrite;
  /// Begins a transaction before the statement.
  std::optional<CommandVerb> Opens;
  /// Connection of the open transaction.
  std::optional<ConnectionId> Pinned;
  /// Ends the open transaction.
  bool EndsTransaction = false;
  std::uint32_t Priority = 0;
  TimePoint ReceivedAt;
  TimePoint Deadline;
};

/// How a statement ended.
struct StatementResult {
  StatementAnswer Answer;
  DatabaseId Database;
  /// Connection of the transaction that is open now.
  std::optional<ConnectionId> Pinned;
  /// The session's own last write is in no log any more.
  bool LastWriteLost = false;
  /// When a later try may succeed; zero: not known.
  Milliseconds RetryAfter{0};
  /// Position that the database's log had to hold.
  std::optional<Position> MinimumPosition;
  /// Age of the confirmation of the group's leader at the end.
  std::optional<Milliseconds> LeadershipAge;
  /// Statements sent for it, other than those that prepare the connection.
  std::uint32_t Attempts = 0;
  /// Other host that ran it or was asked to; empty: this host.
  HostName Via;
};

/// Ends an open transaction, or is one of its own, and changes data.
bool isCommit(const StatementWork &Work);
/// True for a statement of a transaction.
bool isInTransaction(const StatementWork &Work);
/// What a caller is told of a statement that was sent and has no answer.
StatementCode codeOfUnanswered(const StatementWork &Work);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTWORK_H
