#ifndef NUTMEGLOOM_SESSIONS_STATEMENTRUNNER_H
#define NUTMEGLOOM_SESSIONS_STATEMENTRUNNER_H

#include "sessions/databasepool.h"
#include "sessions/leaderauthority.h"
#include "sessions/statementplacement.h"
#include "sessions/statementqueue.h"
#include "sessions/statementwork.h"

#include <deque>

namespace nutmegloom {

/// Brings statements to databases: waits for a connection, places each
/// statement, prepares connections, judges answers and repeats what has not
/// run. It holds no state of sessions beyond the statement in progress.
class StatementRunner {
public:
  struct Hooks {
    std::function<void(ConnectionId, const DatabaseCommand &)> Send;
    std::function<void(CallerSessionId, StatementResult, TimePoint)> Finished;
    /// The connection of a session's open transaction is lost.
    std::function<void(CallerSessionId)> TransactionLost;
    /// Time until a leader of the group is expected; nothing: unknown.
    std::function<std::optional<Milliseconds>(const GroupId &, TimePoint)>
        LeaderExpectedIn;
    /// Connections to a database can't be opened any more, or they can again.
    std::function<void(const DatabaseId &, bool Reachable,
                       std::string_view Reason)>
        ReachabilityChanged;
  };

  StatementRunner(DatabaseTable &Table, LeaderAuthority &Authority,
                  DatabasePool::Hooks PoolHooks, Hooks Callbacks);

  /// Starts a statement. The session has no other one in progress.
  void submit(StatementWork Work, TimePoint Now);
  /// True when a database may run the statement now.
  bool hasCandidateFor(const StatementWork &Work, TimePoint Now) const;
  /// Groups with statements that wait.
  std::vector<GroupId> waitingGroups() const { return Queue_.groups(); }
  /// Takes back waiting statements of the chosen sessions for which there is no
  /// database.
  std::vector<StatementWork>
  withdrawUnplaceable(const GroupId &Group,
                      const std::function<bool(CallerSessionId)> &IsChosen,
                      TimePoint Now);
  /// The session has gone: its statement is dropped, and its transaction is
  /// rolled back.
  void abandon(CallerSessionId Session, std::optional<ConnectionId> Pinned,
               TimePoint Now);
  /// Rolls a transaction back and gives its connection back.
  void rollBack(ConnectionId Connection, TimePoint Now);

  void onOpened(ConnectionId Connection, std::optional<Position> Log,
                TimePoint BegunAt, TimePoint Now);
  /// Opening failed. Code: what the database answered, if it did.
  void onOpenFailed(ConnectionId Connection, OpenFailure Failure,
                    std::optional<StatementCode> Code, TimePoint Now);
  void onClosed(ConnectionId Connection, TimePoint Now);
  void onAnswer(ConnectionId Connection, StatementAnswer Answer, TimePoint Now);

  /// Takes up waiting statements: a leader, a database or a connection may
  /// have become available.
  void startWaiting(const GroupId &Group, TimePoint Now);
  /// Forgets what was known of the leader's log.
  void onLeaderChanged(const GroupId &Group, TimePoint Now);
  void tick(TimePoint Now);

  /// Start of the oldest exchange of each database that has answered nothing
  /// since.
  std::map<DatabaseId, TimePoint> unansweredSince() const;

  DatabasePool &pool() { return Pool_; }
  const StatementPlacement &placement() const { return Placement_; }
  StatementPlacement &placement() { return Placement_; }
  std::size_t connections() const { return Pool_.total(); }
  std::size_t waiting() const { return Queue_.size(); }
  std::size_t inProgress() const { return Statements_.size(); }

private:
  /// Repeating: a busy database has not run a statement of an open transaction,
  /// and it is sent again. Confirming: a commit was answered, and its leader
  /// must be confirmed.
  enum class Stage { Waiting, Beginning, Running, Repeating, Confirming };
  struct Progress {
    StatementWork Work;
    Stage CurrentStage = Stage::Waiting;
    ConnectionId Connection = 0;
    DatabaseId Database;
    std::set<DatabaseId> Avoided;
    std::optional<Position> MinimumPosition;
    std::uint32_t Attempts = 0;
    TimePoint SentAt;
    /// Revision of the leadership under which it was sent.
    std::uint64_t LeadershipRevision = 0;
    /// The session's own last write was rolled back by a promotion.
    bool LastWriteLost = false;
    /// Confirming: the answer that is held back.
    StatementAnswer HeldAnswer;
  };
  struct PendingAnswer {
    CommandVerb Verb = CommandVerb::Forward;
    TimePoint SentAt;
  };
  struct ConnectionState {
    std::deque<PendingAnswer> PendingAnswers;
    /// Session that uses the connection; zero: none.
    CallerSessionId Session = 0;
    /// A transaction is open on it.
    bool InTransaction = false;
    /// Variables were changed inside the open transaction.
    bool VariableSetInTransaction = false;
  };
  void send(ConnectionId Connection, const DatabaseCommand &Command,
            TimePoint Now);
  void prepareConnection(ConnectionId Connection, const StatementWork &Work,
                         TimePoint Now);
  /// Sends waiting work, if a connection to a fitting database is free.
  bool tryStart(Progress &Task, TimePoint Now);
  void startOn(Progress &Task, ConnectionId Connection,
               const PlacementCandidate &Where, TimePoint Now);
  void forward(Progress &Task, TimePoint Now);
  std::vector<PlacementCandidate>
  candidatesFor(const StatementWork &Work, const std::set<DatabaseId> &Avoided,
                TimePoint Now) const;
  /// When the statement may start, if that is known to be too late for it.
  std::optional<Milliseconds> waitBeyondDeadline(const Progress &Task,
                                                 TimePoint Now) const;
  Milliseconds expectedWait(const StatementWork &Work) const;
  void refuse(Progress &Task, Milliseconds RetryAfter, TimePoint Now);

  void onBegun(Progress &Task, const StatementAnswer &Answer, TimePoint Now);
  void onForwarded(Progress &Task, StatementAnswer Answer, TimePoint Now);
  bool isFull(const DatabaseId &Database, OpenFailure Failure,
              std::optional<StatementCode> Code, TimePoint Now) const;
  bool mayRepeat(const Progress &Task, const StatementAnswer &Answer,
                 TimePoint Now) const;
  void expireLate(TimePoint Now);
  void refuseLateStatements(TimePoint Now);
  /// Moves on the statements of a stage that wait for time to pass.
  void resume(Stage Resumed, TimePoint Now);
  bool isAcknowledgeable(const Progress &Task, TimePoint Now) const;
  /// Passes on a commit's answer if its leader is confirmed by now.
  void confirmCommit(Progress &Task, TimePoint Now);
  /// The database did not run the statement: another try is made, or the
  /// caller gets the code.
  void retryOrFinish(Progress &Task, StatementAnswer Answer, TimePoint Now);
  void finish(CallerSessionId Session, StatementResult Result, TimePoint Now);
  void fail(Progress &Task, StatementCode Code, std::string Detail,
            TimePoint Now);
  void freeConnection(Progress &Task, TransactionStatus State, TimePoint Now);
  void endExchanges(const ConnectionState &Ended, const DatabaseId &Database);
  void dropUnresponsiveConnections(TimePoint Now);
  void releaseConnection(ConnectionId Connection, TimePoint Now);
  void dropConnection(ConnectionId Connection);
  void onStatementLost(Progress &Task, TimePoint Now);
  void expire(Progress &Task, TimePoint Now);
  bool lastWriteIsLost(const Progress &Task, const StatementAnswer &Answer,
                       TimePoint Now) const;

  DatabaseTable &Table_;
  LeaderAuthority &Authority_;
  DatabasePool Pool_;
  StatementPlacement Placement_;
  Hooks Hooks_;
  StatementQueue Queue_;
  std::map<CallerSessionId, Progress> Statements_;
  std::map<ConnectionId, ConnectionState> Connections_;
  /// Databases to which the latest connection could not be opened.
  std::set<DatabaseId> Unreachable_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTRUNNER_H
