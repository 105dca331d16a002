#ifndef NUTMEGLOOM_SESSIONS_STATEMENTROUTER_H
#define NUTMEGLOOM_SESSIONS_STATEMENTROUTER_H

#include "sessions/hosttable.h"
#include "sessions/relaymessages.h"
#include "sessions/statementrunner.h"

namespace nutmegloom {

/// Decides for each statement of a caller whether this host brings it to a
/// database or asks another host to.
///
/// It answers two loads: more hosts than a database has connections, of which
/// a few in each availability zone hold the connections; and hosts that lose
/// the way to a primary which others still reach. A relayed statement is not
/// relayed again. A transaction stays with the host of its first statement.
class StatementRouter {
public:
  struct Hooks {
    /// Sends to a host, over a connection that is opened when there is none.
    std::function<void(const HostName &, const RelayMessage &)> Send;
    /// Closes the connection to the host.
    std::function<void(const HostName &)> Close;
    std::function<void(CallerSessionId, StatementResult, TimePoint)> Finished;
    /// The connection of a session's open transaction is lost.
    std::function<void(CallerSessionId)> TransactionLost;
    /// Another host goes by the configuration of this version.
    std::function<void(const HostName &, std::uint64_t Version, TimePoint)>
        ConfigurationSeen;
  };

  StatementRouter(StatementRunner &Runner, const DatabaseTable &Table,
                  const LeaderAuthority &Authority, const HostTable &Hosts,
                  Hooks Callbacks);

  void setLocation(ZoneName Zone, RegionName Region);
  /// Whether this host holds connections to databases itself. It does until
  /// told otherwise; statements that wait go to another host then.
  void setServesDatabases(bool Serves, TimePoint Now);

  /// Starts a statement. The session has no other one in progress.
  void submit(StatementWork Work, TimePoint Now);
  /// The session has gone: its statement is dropped, and its transaction is
  /// rolled back.
  void abandon(CallerSessionId Session, std::optional<ConnectionId> Pinned,
               TimePoint Now);
  /// Rolls a transaction back and gives its connection back.
  void rollBack(ConnectionId Pinned, TimePoint Now);

  void onReceived(const HostName &Host, const RelayMessage &Message,
                  TimePoint Now);
  /// The connection to the host is lost, or it could not be opened, in which
  /// case nothing was sent.
  void onLinkLost(const HostName &Host, bool WasOpen, TimePoint Now);
  void tick(TimePoint Now);

  /// How long a host has been out of reach; nothing: it answers, or it was not
  /// asked.
  std::optional<Milliseconds> unreachableFor(const HostName &Host,
                                             TimePoint Now) const;
  /// True when a host is known that runs statements for this one.
  bool hasMember(TimePoint Now) const { return nearestMember(Now).has_value(); }
  std::size_t inProgress() const { return RelayedStatements_.size(); }

private:
  struct Relayed {
    StatementWork Work;
    HostName Host;
    std::uint32_t Tries = 0;
    std::uint64_t Number = 0;
  };
  struct Health {
    /// Nothing was heard since the connection was lost.
    bool Lost = false;
    TimePoint LostAt;
    /// The host stops.
    TimePoint AvoidUntil;
    TimePoint HeardAt;
    TimePoint PingedAt;
    bool AwaitsAnswer = false;
  };

  /// The host to ask; nothing: this one.
  std::optional<HostName> hostFor(const StatementWork &Work,
                                  TimePoint Now) const;
  std::optional<HostName> nearestMember(TimePoint Now) const;
  std::optional<HostName> hostReachingLeader(const GroupId &Group,
                                             TimePoint Now) const;
  bool isAvoided(const HostName &Host, TimePoint Now) const;
  Distance distanceTo(const HostTable::Peer &Peer) const;
  void relay(StatementWork Work, const HostName &Host, std::uint32_t Tries,
             TimePoint Now);
  void refuse(const StatementWork &Work, TimePoint Now);
  void onPong(const HostName &Host, Health &Known, const RelayPong &Message,
              TimePoint Now);
  void onResult(const HostName &Host, const RelayedResult &Message,
                TimePoint Now);
  void resolveLost(Relayed Lost, bool WasSent, TimePoint Now);
  void route(StatementWork Work, std::uint32_t Tries, TimePoint Now);
  void finish(const Relayed &Ended, StatementCode Code, std::string Detail,
              TimePoint Now);
  void relayWaiting(TimePoint Now);
  /// True while a session of this host needs the connection to the host.
  bool dependsOn(const HostName &Host) const;
  void checkLinks(TimePoint Now);
  void expireLate(TimePoint Now);

  StatementRunner &Runner_;
  const DatabaseTable &Table_;
  const LeaderAuthority &Authority_;
  const HostTable &Hosts_;
  Hooks Hooks_;
  ZoneName Zone_;
  RegionName Region_;
  bool ServesDatabases_ = true;
  std::uint64_t LastNumber_ = 0;
  /// Statements that other hosts run, by session.
  std::map<CallerSessionId, Relayed> RelayedStatements_;
  /// Hosts with a session's open transaction.
  std::map<CallerSessionId, HostName> Transactions_;
  std::map<HostName, Health> Health_;
  std::map<HostName, std::size_t> Load_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTROUTER_H
