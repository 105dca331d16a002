#ifndef NUTMEGLOOM_SESSIONS_SESSIONPROXY_H
#define NUTMEGLOOM_SESSIONS_SESSIONPROXY_H

#include "sessions/statementrouter.h"

namespace nutmegloom {

/// Outcome of a statement, for logs and metrics.
struct StatementReport {
  std::string_view StatementId;
  StatementVerb Verb = StatementVerb::Unreadable;
  std::string_view Route;
  std::string_view Group;
  ConsistencyMode Mode = ConsistencyMode::Primary;
  StatementCode Code = StatementCode::Done;
  std::string_view Detail;
  DatabaseId Database;
  std::uint32_t Attempts = 0;
  /// Other host to which the statement was relayed; empty: none.
  HostName Via;
  /// Position that the database's log had to have reached.
  std::optional<Position> MinimumPosition;
  /// Time since the group's leader was last confirmed.
  std::optional<Milliseconds> LeadershipAge;
  std::uint64_t ConfigurationVersion = 0;
  Duration Time{0};
};

/// Callers' sessions: their variables, prepared statements and transactions.
/// Statements that need no database are answered here; the others are passed to
/// the statement router.
class SessionProxy {
public:
  struct Hooks {
    std::function<void(CallerSessionId, const StatementAnswer &)> Answer;
    std::function<void(CallerSessionId)> CloseSession;
    std::function<void(const StatementReport &)> Report;
  };

  SessionProxy(StatementRouter &Router, Hooks Callbacks);

  void applyConfiguration(SessionConfiguration Configuration);
  const SessionConfiguration &configuration() const { return Configuration_; }

  enum class OpenResult { Accepted, UnknownDatabase, NotConfigured };
  OpenResult open(CallerSessionId Session, const std::string &Database,
                  TimePoint Now);
  void close(CallerSessionId Session, TimePoint Now);
  /// Handles a statement. The session must have answered all earlier ones.
  void onStatement(CallerSessionId Session, CallerStatement Statement,
                   TimePoint Now);

  void onFinished(CallerSessionId Session, StatementResult Result,
                  TimePoint Now);
  void onTransactionLost(CallerSessionId Session);

  /// Closes sessions without a statement in progress and an open transaction,
  /// now and after their next answer. One that was opened or answered just
  /// before is left open for a moment, since its caller may have sent a
  /// statement already.
  void closeIdleSessions(TimePoint Now);
  /// Rolls back the open transactions without a statement in progress.
  void endTransactions(TimePoint Now);
  void tick(TimePoint Now);

  std::size_t size() const { return Sessions_.size(); }
  std::size_t openTransactions() const;

private:
  struct Session {
    std::string Database;
    TransactionStatus State = TransactionStatus::Idle;
    SessionVariables Variables;
    std::map<std::string, PreparedShape> Prepared;
    /// Log position of the session's last write, by group.
    std::map<GroupId, Position> LastWrites;
    std::optional<CallerStatement> Current;
    TimePoint ReceivedAt;
    TimePoint IdleSince;
    /// Route of the open transaction, or of the statement in progress.
    SessionRoute Route;
    bool ReadOnly = false;
    bool Wrote = false;
    std::optional<ConnectionId> Pinned;
    /// The open transaction was rolled back without a request of the caller,
    /// who is informed at the next statement.
    bool Lost = false;
  };

  void answerLocally(CallerSessionId Id, Session &Held, StatementCode Code,
                     std::string Detail, TimePoint Now);
  void complete(CallerSessionId Id, Session &Held, StatementAnswer Answer,
                const StatementResult &Result, TimePoint Now);
  void begin(CallerSessionId Id, Session &Held, TimePoint Now);
  void rollBack(CallerSessionId Id, Session &Held, TimePoint Now);
  void setVariable(CallerSessionId Id, Session &Held, TimePoint Now);
  void prepare(CallerSessionId Id, Session &Held, TimePoint Now);
  void deallocate(CallerSessionId Id, Session &Held, TimePoint Now);
  void forward(CallerSessionId Id, Session &Held, TimePoint Now);
  bool writesData(const Session &Held, const PreparedShape *Shape) const;
  void endTransaction(Session &Held);
  const SessionRoute *routeOf(const Session &Held) const;

  StatementRouter &Router_;
  Hooks Hooks_;
  SessionConfiguration Configuration_;
  std::map<CallerSessionId, Session> Sessions_;
  bool Draining_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_SESSIONPROXY_H
