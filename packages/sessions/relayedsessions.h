#ifndef NUTMEGLOOM_SESSIONS_RELAYEDSESSIONS_H
#define NUTMEGLOOM_SESSIONS_RELAYEDSESSIONS_H

#include "sessions/relaymessages.h"
#include "sessions/statementrunner.h"

namespace nutmegloom {

/// Runs statements here for sessions that callers have open at other hosts.
/// Their numbers are kept apart from those of this host's own sessions.
class RelayedSessions {
public:
  struct Hooks {
    std::function<void(RelayLinkId, const RelayMessage &)> Send;
    std::function<void(RelayLinkId)> Close;
    std::function<const SessionConfiguration &()> Configuration;
  };

  RelayedSessions(StatementRunner &Runner, Hooks Callbacks)
      : Runner_(Runner), Hooks_(std::move(Callbacks)) {}

  /// True for a session number that was given out here.
  static bool isRelayed(CallerSessionId Session);

  void onReceived(RelayLinkId Link, const RelayMessage &Message, TimePoint Now);
  /// The other host is gone: its statements are dropped and its transactions
  /// are rolled back.
  void onLinkClosed(RelayLinkId Link, TimePoint Now);

  /// Tells the other hosts that this one takes no new work.
  void beginDrain();
  /// Tells the other hosts of the configuration that this one goes by.
  void announceConfiguration() { announce(); }
  /// Rolls back the transactions that rest.
  void endTransactions(TimePoint Now);
  /// Closes connections of hosts that have fallen silent.
  void tick(TimePoint Now);

  void onFinished(CallerSessionId Session, StatementResult Result);
  void onTransactionLost(CallerSessionId Session);

  std::size_t size() const { return Sessions_.size(); }

private:
  /// A session as the other host numbers it.
  using Origin = std::pair<RelayLinkId, CallerSessionId>;
  struct Relayed {
    Origin From;
    /// Connection of its open transaction.
    std::optional<ConnectionId> Pinned;
    bool HasStatement = false;
    /// Number of the latest statement.
    std::uint64_t Statement = 0;
  };

  void runStatement(RelayLinkId Link, const RelayedStatement &Message,
                    TimePoint Now);
  void endSession(const Origin &From, TimePoint Now);
  void forgetIfIdle(CallerSessionId Session);
  RelayPong pong() const;
  void announce();
  bool hasSessions(RelayLinkId Link) const;

  StatementRunner &Runner_;
  Hooks Hooks_;
  std::map<CallerSessionId, Relayed> Sessions_;
  std::map<Origin, CallerSessionId> Numbers_;
  std::map<RelayLinkId, TimePoint> HeardAt_;
  CallerSessionId LastNumber_ = 0;
  bool Leaving_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_RELAYEDSESSIONS_H
