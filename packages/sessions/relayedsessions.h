#ifndef NUTMEGLOOM_SESSIONS_RELAYEDSESSIONS_H
#define NUTMEGLOOM_SESSIONS_RELAYEDSESSIONS_H

#include "sessions/quotaadmission.h"
#include "sessions/relaymessages.h"
#include "sessions/statementrunner.h"

namespace nutmegloom {

/// Runs statements for sessions that callers have open at other hosts. These
/// sessions get ids that differ from those of this host's own sessions.
class RelayedSessions {
public:
  struct Hooks {
    std::function<void(IncomingRelayId, const RelayMessage &)> Send;
    std::function<void(IncomingRelayId)> Close;
    std::function<const SessionConfiguration &()> Configuration;
    /// Time since the configuration was last known to be the latest one.
    std::function<std::optional<Milliseconds>(TimePoint)> ConfigurationAge;
  };

  RelayedSessions(StatementRunner &Runner, QuotaAdmission &Admission,
                  Hooks Callbacks)
      : Runner_(Runner), Admission_(Admission), Hooks_(std::move(Callbacks)) {}

  /// True for a session id that was assigned by this class.
  static bool isRelayed(CallerSessionId Session);

  void onReceived(IncomingRelayId Link, const RelayMessage &Message,
                  TimePoint Now);
  /// Handles the loss of the connection from another host: cancels its
  /// statements and rolls back its transactions.
  void onLinkClosed(IncomingRelayId Link, TimePoint Now);

  /// Informs the other hosts that this one is stopping and accepts no new
  /// statements.
  void beginDrain();
  /// Informs the other hosts of the version of this host's configuration.
  void announceConfiguration() { announce(); }
  /// Rolls back the open transactions without a statement in progress.
  void endTransactions(TimePoint Now);
  /// Closes connections on which messages are overdue.
  void tick(TimePoint Now);

  void onFinished(CallerSessionId Session, StatementResult Result);
  void onTransactionLost(CallerSessionId Session);

  /// Number of connections on which messages of other hosts have come.
  std::size_t links() const { return HeardAt_.size(); }
  std::size_t size() const { return Sessions_.size(); }

private:
  /// A connection from another host, and the session's id at that host.
  using Origin = std::pair<IncomingRelayId, CallerSessionId>;
  struct Relayed {
    Origin From;
    /// Connection of the session's open transaction.
    std::optional<ConnectionId> Pinned;
    bool HasStatement = false;
    /// Number of the latest statement, from RelayedStatement.
    std::uint64_t Statement = 0;
  };

  void runStatement(IncomingRelayId Link, const RelayedStatement &Message,
                    TimePoint Now);
  void endSession(const Origin &From, TimePoint Now);
  void forgetIfIdle(CallerSessionId Session);
  void announce();
  bool hasSessions(IncomingRelayId Link) const;

  StatementRunner &Runner_;
  QuotaAdmission &Admission_;
  Hooks Hooks_;
  std::map<CallerSessionId, Relayed> Sessions_;
  std::map<Origin, CallerSessionId> Numbers_;
  std::map<IncomingRelayId, TimePoint> HeardAt_;
  CallerSessionId LastNumber_ = 0;
  bool Leaving_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_RELAYEDSESSIONS_H
