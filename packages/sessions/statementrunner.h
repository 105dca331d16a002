#ifndef NUTMEGLOOM_SESSIONS_STATEMENTRUNNER_H
#define NUTMEGLOOM_SESSIONS_STATEMENTRUNNER_H

#include "sessions/databasepool.h"
#include "sessions/leaderauthority.h"
#include "sessions/statementplacement.h"
#include "sessions/statementqueue.h"
#include "sessions/statementwork.h"

#include <deque>

namespace nutmegloom {

/// Runs statements at databases: chooses a database for each statement, queues
/// it until a connection is free, sets session variables and prepared
/// statements on the connection, and retries statements that a database has not
/// run. Apart from the statement in progress it keeps no state of sessions.
class StatementRunner {
public:
  struct Hooks {
    std::function<void(ConnectionId, const DatabaseCommand &)> Send;
    std::function<void(CallerSessionId, StatementResult, TimePoint)> Finished;
    /// The connection of a session's open transaction was lost.
    std::function<void(CallerSessionId)> TransactionLost;
    /// Expected time until the group has a usable leader. Returns nullopt if
    /// the group has a usable leader or the time is unknown.
    std::function<std::optional<Milliseconds>(const GroupId &, TimePoint)>
        LeaderExpectedIn;
    /// The reachability of a database changed. A database is unreachable if no
    /// connection to it can be opened; Reason tells why.
    std::function<void(const DatabaseId &, bool Reachable,
                       std::string_view Reason)>
        ReachabilityChanged;
    /// A statement was prepared on a connection; optional.
    std::function<void(const StatementPreparation &, TimePoint)>
        StatementPrepared = nullptr;
  };

  StatementRunner(DatabaseTable &Table, LeaderAuthority &Authority,
                  DatabasePool::Hooks PoolHooks, Hooks Callbacks);

  /// Starts a statement. The session must have no other statement in progress.
  void submit(StatementWork Work, TimePoint Now);
  /// True when at least one database may run the statement now.
  bool hasCandidateFor(const StatementWork &Work, TimePoint Now) const;
  /// Groups that have queued statements.
  std::vector<GroupId> waitingGroups() const { return Queue_.groups(); }
  /// Removes and returns the queued statements of the group for which
  /// hasCandidateFor() is false, so that they can be relayed to another host.
  /// Only sessions for which IsChosen returns true are considered.
  std::vector<StatementWork> takeStatementsWithoutCandidate(
      const GroupId &Group,
      const std::function<bool(CallerSessionId)> &IsChosen, TimePoint Now);
  /// Cancels the session's statement and rolls back its open transaction, after
  /// the session was closed. Pinned: connection of the open transaction.
  void cancel(CallerSessionId Session, std::optional<ConnectionId> Pinned,
              TimePoint Now);
  /// Answers all statements in progress, because the host stops.
  void endStatements(TimePoint Now);
  /// Rolls back the transaction on a connection, which is released when the
  /// database has answered.
  void rollBack(ConnectionId Connection, TimePoint Now);

  void onOpened(ConnectionId Connection, std::optional<Position> Log,
                TimePoint BegunAt, TimePoint Now);
  /// Handles a connection that could not be opened. Code: error code from the
  /// database, if it answered.
  void onOpenFailed(ConnectionId Connection, OpenFailure Failure,
                    std::optional<StatementCode> Code, TimePoint Now);
  void onClosed(ConnectionId Connection, TimePoint Now);
  void onAnswer(ConnectionId Connection, StatementAnswer Answer, TimePoint Now);

  /// Starts queued statements of the group, after a leader, a database or a
  /// connection may have become available.
  void startWaiting(const GroupId &Group, TimePoint Now);
  /// Discards the known log positions of the group's former leader, and starts
  /// queued statements.
  void onLeaderChanged(const GroupId &Group, TimePoint Now);
  void tick(TimePoint Now);

  /// Start time of the oldest unanswered exchange for each database, which
  /// shows since when the database has not answered. Exchanges that started
  /// before the latest answered one, and databases without any others, are left
  /// out.
  std::map<DatabaseId, TimePoint> unansweredSince() const;

  DatabasePool &pool() { return Pool_; }
  const StatementPlacement &placement() const { return Placement_; }
  StatementPlacement &placement() { return Placement_; }
  std::size_t connections() const { return Pool_.total(); }
  std::size_t waiting() const { return Queue_.size(); }
  std::size_t inProgress() const { return Statements_.size(); }

private:
  /// Repeating: a busy database has not run the statement, which belongs to an
  /// open transaction and is sent again at the next tick. Confirming: the
  /// database has answered a commit, and the answer is held back until the
  /// leadership of the database is confirmed.
  enum class Stage { Waiting, Beginning, Running, Repeating, Confirming };
  /// A statement in progress.
  struct Progress {
    StatementWork Work;
    Stage CurrentStage = Stage::Waiting;
    ConnectionId Connection = 0;
    DatabaseId Database;
    /// Databases that refused the statement or lost its connection.
    std::set<DatabaseId> Avoided;
    std::optional<Position> MinimumPosition;
    std::uint32_t Attempts = 0;
    TimePoint SentAt;
    /// Revision of the leadership record when the statement was sent.
    StoreRevision LeadershipRevision;
    /// The session's last write was rolled back by a promotion.
    bool LastWriteLost = false;
    /// Confirming: the answer to the commit.
    StatementAnswer HeldAnswer;
  };
  /// A command that was sent and is not answered.
  struct PendingAnswer {
    CommandVerb Verb = CommandVerb::Forward;
    TimePoint SentAt;
  };
  struct ConnectionState {
    std::deque<PendingAnswer> PendingAnswers;
    /// Session that uses the connection; zero: none.
    CallerSessionId Session = 0;
    /// A transaction is open on the connection.
    bool InTransaction = false;
    /// Session variables were set inside the open transaction.
    bool VariableSetInTransaction = false;
  };
  void send(ConnectionId Connection, const DatabaseCommand &Command,
            TimePoint Now);
  void prepareConnection(ConnectionId Connection, const StatementWork &Work,
                         TimePoint Now);
  void reportPreparation(ConnectionId Connection,
                         const std::string &StatementId,
                         const DatabaseCommand &Prepare, TimePoint Now) const;
  /// Sends a statement if a connection to a suitable database is idle, and
  /// opens a connection to a better one. Returns false if the statement must
  /// wait.
  bool tryStart(Progress &Task, TimePoint Now);
  /// True if enough connections for the statement's account are being opened
  /// for it and for those that wait with it.
  bool areConnectionsOpening(const Progress &Task,
                             const std::vector<PlacementCandidate> &Candidates,
                             TimePoint Now) const;
  void startOn(Progress &Task, ConnectionId Connection,
               const PlacementCandidate &Where, TimePoint Now);
  void forward(Progress &Task, TimePoint Now);
  std::vector<PlacementCandidate>
  candidatesFor(const StatementWork &Work, const std::set<DatabaseId> &Avoided,
                TimePoint Now) const;
  /// Expected wait until the statement can start behind Ahead queued ones, if
  /// it is not expected to be answered by AnswerBy; nothing otherwise.
  std::optional<Milliseconds> waitBeyond(TimePoint AnswerBy,
                                         const Progress &Task,
                                         std::size_t Ahead,
                                         TimePoint Now) const;
  /// Queues the statement, or refuses it if it is expected to be answered too
  /// late.
  void enqueue(Progress &Task, TimePoint Now);
  void refuse(Progress &Task, Milliseconds RetryAfter, TimePoint Now);

  void onBegun(Progress &Task, const StatementAnswer &Answer, TimePoint Now);
  void onForwarded(Progress &Task, StatementAnswer Answer, TimePoint Now);
  /// Handles a database that does not know the name of a prepared statement.
  void onPreparationForgotten(Progress &Task, TimePoint Now);
  bool isConnectionCapReached(const DatabaseId &Database, OpenFailure Failure,
                              std::optional<StatementCode> Code,
                              TimePoint Now) const;
  bool mayRepeat(const Progress &Task, const StatementAnswer &Answer,
                 TimePoint Now) const;
  /// Ends the statements whose deadline has passed.
  void expireOverdue(TimePoint Now);
  /// Refuses the queued statements that are expected to start only after their
  /// deadline.
  void refuseExpectedLate(TimePoint Now);
  /// Continues the statements in the given stage, which must be Repeating or
  /// Confirming.
  void resume(Stage Resumed, TimePoint Now);
  /// True if the leadership is unchanged since the statement was sent and still
  /// confirmed, so that the answer to the commit may be returned.
  bool mayReturnCommitAnswer(const Progress &Task, TimePoint Now) const;
  /// Finishes a commit: with the database's answer if the leadership is
  /// confirmed, or as in doubt if it was replaced or the deadline has passed.
  void confirmCommit(Progress &Task, TimePoint Now);
  /// Handles a refusal by the database, which has not run the statement:
  /// retries it, or finishes it with the database's answer or as busy.
  void retryOrFinish(Progress &Task, StatementAnswer Answer, TimePoint Now);
  void finish(CallerSessionId Session, StatementResult Result, TimePoint Now);
  void fail(Progress &Task, StatementCode Code, std::string Detail,
            TimePoint Now);
  /// Ends the use of the connection by the statement: rolls back an open
  /// transaction, and closes the connection if it has unanswered commands,
  /// otherwise returns it to the pool.
  void detachConnection(Progress &Task, TransactionStatus State, TimePoint Now);
  void endExchanges(const ConnectionState &Ended, const DatabaseId &Database);
  void dropUnresponsiveConnections(TimePoint Now);
  /// Returns the connection to the pool and starts queued statements.
  void releaseConnection(ConnectionId Connection, TimePoint Now);
  /// Closes the connection and removes it from the pool.
  void dropConnection(ConnectionId Connection);
  void onStatementLost(Progress &Task, TimePoint Now);
  void expire(Progress &Task, TimePoint Now);
  /// True if the database's log shows that a promotion rolled back the
  /// session's last write.
  bool isLastWriteLost(const Progress &Task, const StatementAnswer &Answer,
                       TimePoint Now) const;

  DatabaseTable &Table_;
  LeaderAuthority &Authority_;
  DatabasePool Pool_;
  StatementPlacement Placement_;
  Hooks Hooks_;
  StatementQueue Queue_;
  std::map<CallerSessionId, Progress> Statements_;
  std::map<ConnectionId, ConnectionState> Connections_;
  /// Number of statements that were prepared on connections.
  std::uint64_t PreparationCount_ = 0;
  /// Databases to which the latest attempt to open a connection failed.
  std::set<DatabaseId> Unreachable_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTRUNNER_H
