#ifndef NUTMEGLOOM_SESSIONS_STATEMENTROUTER_H
#define NUTMEGLOOM_SESSIONS_STATEMENTROUTER_H

#include "sessions/hosttable.h"
#include "sessions/quotaadmission.h"
#include "sessions/relaymessages.h"
#include "sessions/statementrunner.h"

namespace nutmegloom {

/// Decides for each statement of a caller whether this host runs it at a
/// database or relays it to another host.
///
/// Relaying serves two cases. There can be more hosts than connections to a
/// database, so that only a few hosts in each availability zone hold
/// connections. And a host can lose its connection to a primary that other
/// hosts still reach. A relayed statement is not relayed again. All statements
/// of a transaction run at the host of its first one.
class StatementRouter {
public:
  struct Hooks {
    /// Sends a message to a host. A connection is opened if there is none.
    std::function<void(const HostName &, const RelayMessage &)> Send;
    /// Closes the connection to the host.
    std::function<void(const HostName &)> Close;
    std::function<void(CallerSessionId, StatementResult, TimePoint)> Finished;
    /// The connection of a session's open transaction was lost.
    std::function<void(CallerSessionId)> TransactionLost;
    /// Another host uses the configuration of this version.
    std::function<void(const HostName &, std::uint64_t Version, TimePoint)>
        ConfigurationSeen;
    /// The version was the latest one at Moment or later, by another host's
    /// answer to a ping.
    std::function<void(std::uint64_t Version, TimePoint Moment)>
        ConfigurationConfirmed;
  };

  StatementRouter(StatementRunner &Runner, QuotaAdmission &Admission,
                  const DatabaseTable &Table, const LeaderAuthority &Authority,
                  const HostTable &Hosts, Hooks Callbacks);

  /// Sets whether pings ask since when the other host knows its configuration
  /// to be the latest one.
  void setConfirmsConfiguration(bool Confirms) {
    ConfirmsConfiguration_ = Confirms;
  }
  /// Sets whether the present configuration has never been confirmed, so that
  /// pings are urgent.
  void setAwaitsConfirmation(bool Awaits) { AwaitsConfirmation_ = Awaits; }

  void setLocation(ZoneName Zone, RegionName Region);
  /// Sets whether this host holds connections to databases itself, which is the
  /// default. If it does not, statements are relayed to another host, queued
  /// ones as well.
  void setServesDatabases(bool Serves, TimePoint Now);

  /// Starts a statement. The session must have no other statement in progress.
  void submit(StatementWork Work, TimePoint Now);
  /// Runs a statement of this host's sessions that the admission has let pass.
  void onAdmitted(StatementWork Work, TimePoint Now);
  /// Cancels the session's statement and rolls back its open transaction, after
  /// the session was closed. Pinned: connection of the open transaction.
  void cancel(CallerSessionId Session, std::optional<ConnectionId> Pinned,
              TimePoint Now);
  /// Answers all statements in progress, because the host stops.
  void endStatements(TimePoint Now);
  /// Rolls back the transaction on a connection and releases the connection.
  void rollBack(ConnectionId Pinned, TimePoint Now);

  void onReceived(const HostName &Host, const RelayMessage &Message,
                  TimePoint Now);
  /// The host was asked for its configuration. Its connection is watched until
  /// the configuration arrives.
  void awaitConfiguration(const HostName &Host) { ConfigurationSource_ = Host; }
  void onConfigurationReceived() { ConfigurationSource_.reset(); }
  /// False once the configuration has arrived or the connection was lost.
  bool awaitsConfiguration() const { return ConfigurationSource_.has_value(); }

  /// A part of a large message of the host has arrived, so the connection works
  /// although other messages wait behind this one.
  void onProgress(const HostName &Host, TimePoint Now) {
    Health_[Host].HeardAt = Now;
  }
  /// Handles the loss of the connection to a host. WasOpen is false if it could
  /// not be opened, in which case nothing was sent.
  void onLinkLost(const HostName &Host, bool WasOpen, TimePoint Now);
  void tick(TimePoint Now);

  /// How long a host has been unreachable; nothing: it is reachable, or no
  /// message was sent to it.
  std::optional<Milliseconds> unreachableFor(const HostName &Host,
                                             TimePoint Now) const;
  /// True when another host is available that runs statements for this one.
  bool hasMember(TimePoint Now) const { return nearestMember(Now).has_value(); }
  std::size_t inProgress() const { return RelayedStatements_.size(); }

private:
  /// A statement in progress at another host.
  struct Relayed {
    StatementWork Work;
    HostName Host;
    std::uint32_t Tries = 0;
    std::uint64_t Number = 0;
  };
  /// State of the connection to another host.
  struct Health {
    /// The connection was lost, and no message was received since.
    bool Lost = false;
    TimePoint LostAt;
    /// Until this time no new statements are relayed to the host, since it is
    /// stopping.
    TimePoint AvoidUntil;
    TimePoint HeardAt;
    TimePoint PingedAt;
    bool AwaitsAnswer = false;
    /// Numbers of unanswered pings, and when they were sent.
    std::map<std::uint64_t, TimePoint> Pings;
  };

  /// The member to which the statement is to be relayed; nothing: this host
  /// runs it, if it is a member.
  std::optional<HostName> hostFor(const StatementWork &Work,
                                  TimePoint Now) const;
  std::optional<HostName> nearestMember(TimePoint Now) const;
  std::optional<HostName> memberFor(const AccountName &Account,
                                    TimePoint Now) const;
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
  void run(StatementWork Work, std::uint32_t Tries, TimePoint Now);
  void finish(const Relayed &Ended, StatementCode Code, std::string Detail,
              TimePoint Now);
  void relayWaiting(TimePoint Now);
  /// True while the host has a statement or an open transaction of a session of
  /// this host.
  bool dependsOn(const HostName &Host) const;
  void checkLinks(TimePoint Now);
  void ping(const HostName &Host, Health &Known, TimePoint Now);
  void expireOverdue(TimePoint Now);
  /// Ends a relayed statement that is not answered in time.
  void expire(const Relayed &Task, TimePoint Now);

  StatementRunner &Runner_;
  QuotaAdmission &Admission_;
  const DatabaseTable &Table_;
  const LeaderAuthority &Authority_;
  const HostTable &Hosts_;
  Hooks Hooks_;
  ZoneName Zone_;
  RegionName Region_;
  bool ServesDatabases_ = true;
  bool ConfirmsConfiguration_ = false;
  bool AwaitsConfirmation_ = false;
  /// When a member was last asked for the age of its configuration.
  TimePoint ConfirmationAskedAt_;
  std::uint64_t LastPing_ = 0;
  std::uint64_t LastNumber_ = 0;
  /// Statements in progress at other hosts, by session.
  std::map<CallerSessionId, Relayed> RelayedStatements_;
  /// For each session with an open transaction at another host: that host.
  std::map<CallerSessionId, HostName> Transactions_;
  std::map<HostName, Health> Health_;
  /// Host that is to send its configuration.
  std::optional<HostName> ConfigurationSource_;
  /// Number of statements in progress at each other host.
  std::map<HostName, std::size_t> Load_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTROUTER_H
