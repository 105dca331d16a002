#ifndef NUTMEGLOOM_SESSIONS_SESSIONPROXY_H
#define NUTMEGLOOM_SESSIONS_SESSIONPROXY_H

#include "sessions/accounts.h"
#include "sessions/configurationfreshness.h"
#include "sessions/statementrouter.h"

namespace nutmegloom {

/// Whether a session's API key allows it to run statements.
enum class KeyCheck {
  Valid,
  /// No account holds the key.
  UnknownKey,
  /// The account that held the key when the session was opened does not hold it
  /// any more.
  WithdrawnKey,
  /// This host can't tell whether the key was taken away: its configuration has
  /// not been confirmed for too long.
  UnconfirmedConfiguration,
};
std::string_view nameOf(KeyCheck Check);

/// A session or a statement that was refused because of its key, for logs and
/// metrics.
struct KeyRefusal {
  KeyCheck Reason = KeyCheck::Valid;
  /// Short name of the key. Logs must not contain keys.
  std::string Key;
  /// Account that held the key; empty: none is known.
  AccountName Account;
  std::string_view Route;
  std::uint64_t ConfigurationVersion = 0;
  /// Time since the configuration was last known to be the latest one.
  std::optional<Milliseconds> ConfigurationAge;
};

/// Outcome of a statement, for logs and metrics.
struct StatementReport {
  std::string_view StatementId;
  StatementVerb Verb = StatementVerb::Unreadable;
  std::string_view Route;
  std::string_view Account;
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
    /// Optional.
    std::function<void(const KeyRefusal &)> KeyRefused = nullptr;
  };

  SessionProxy(StatementRouter &Router, const ConfigurationFreshness &Freshness,
               Hooks Callbacks);

  /// Applies a configuration. Open transactions of sessions whose key it takes
  /// away are rolled back.
  void applyConfiguration(SessionConfiguration Configuration, TimePoint Now);
  const SessionConfiguration &configuration() const { return Configuration_; }

  enum class OpenResult {
    Accepted,
    UnknownDatabase,
    /// There is no configuration, or none that was ever confirmed.
    NotConfigured,
    UnknownKey,
    UnconfirmedConfiguration,
  };
  OpenResult open(CallerSessionId Session, const std::string &Database,
                  const KeyDigest &Key, TimePoint Now);
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
    KeyDigest Key{};
    /// Account that holds the key; empty: none, on a public route or if keys
    /// are not required.
    AccountName Account;
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

  bool needsKey(const SessionRoute *Route) const;
  AccountName accountOf(const KeyDigest &Key) const;
  /// Checks the session's key by the present configuration. A session that has
  /// no transaction open follows a key that another account holds now.
  KeyCheck checkKey(Session &Held, TimePoint Now) const;
  void refuseForKey(CallerSessionId Id, Session &Held, KeyCheck Reason,
                    TimePoint Now);
  void reportKeyRefusal(KeyCheck Reason, const KeyDigest &Key,
                        const AccountName &Account, const std::string &Route,
                        TimePoint Now) const;
  void answerLocally(CallerSessionId Id, Session &Held, StatementCode Code,
                     std::string Detail, TimePoint Now,
                     Milliseconds RetryAfter = Milliseconds{0});
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
  const ConfigurationFreshness &Freshness_;
  Hooks Hooks_;
  SessionConfiguration Configuration_;
  AccountDirectory Accounts_;
  std::map<CallerSessionId, Session> Sessions_;
  bool Draining_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_SESSIONPROXY_H
