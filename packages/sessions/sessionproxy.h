#ifndef NUTMEGLOOM_SESSIONS_SESSIONPROXY_H
#define NUTMEGLOOM_SESSIONS_SESSIONPROXY_H

#include "sessions/statementrouter.h"

namespace nutmegloom {

/// What happened to one statement, for logs and metrics.
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
  /// Other host that was asked to run it; empty: none.
  HostName Via;
  /// Position that the database's log had to hold.
  std::optional<Position> MinimumPosition;
  /// Age of the confirmation of the group's leader.
  std::optional<Milliseconds> LeadershipAge;
  std::uint64_t ConfigurationVersion = 0;
  Duration Time{0};
};

/// Callers' sessions: their values, prepared statements and transactions. What
/// needs no database is answered here; the rest goes to the statement router.
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
  OpenResult open(CallerSessionId Session, const std::string &Database);
  void close(CallerSessionId Session, TimePoint Now);
  /// A statement; the session has answered all earlier ones.
  void onStatement(CallerSessionId Session, CallerStatement Statement,
                   TimePoint Now);

  void onFinished(CallerSessionId Session, StatementResult Result,
                  TimePoint Now);
  void onTransactionLost(CallerSessionId Session);

  /// Closes each session as soon as it is idle outside a transaction.
  void beginDrain();
  /// Rolls back the transactions that are still open.
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
    /// Position of the session's last write, by group.
    std::map<GroupId, Position> LastWrites;
    std::optional<CallerStatement> Current;
    TimePoint ReceivedAt;
    TimePoint IdleSince;
    /// Route of the open transaction, or of the statement in progress.
    SessionRoute Route;
    bool ReadOnly = false;
    bool Wrote = false;
    std::optional<ConnectionId> Pinned;
    /// The open transaction was rolled back without the caller's asking.
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
