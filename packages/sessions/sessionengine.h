#ifndef NUTMEGLOOM_SESSIONS_SESSIONENGINE_H
#define NUTMEGLOOM_SESSIONS_SESSIONENGINE_H

#include "sessions/configurationfreshness.h"
#include "sessions/leadershipcheck.h"
#include "sessions/promotionsystem.h"
#include "sessions/relayedsessions.h"
#include "sessions/sessionproxy.h"

namespace nutmegloom {

/// Connects the components of one host that handle callers' sessions. It does
/// no input or output and reads no clock: events are passed to its functions
/// with the time, and it acts through its hooks.
class SessionEngine {
public:
  struct Hooks {
    SessionProxy::Hooks Sessions;
    DatabasePool::Hooks Connections;
    std::function<void(ConnectionId, const DatabaseCommand &)> Send;
    PromotionSystem::Hooks Promotions;
    /// Checks whether a database's process answers. The result is passed to
    /// onProbed.
    std::function<void(const DatabaseListing &)> Probe;
    /// See StatementRunner::Hooks.
    std::function<void(const DatabaseId &, bool Reachable,
                       std::string_view Reason)>
        ReachabilityChanged;
    /// See StatementRunner::Hooks; optional.
    std::function<void(const StatementPreparation &, TimePoint)>
        StatementPrepared = nullptr;
    /// An operation was refused because of its account's limit; optional.
    std::function<void(const AccountName &, Milliseconds RetryAfter)>
        QuotaRefused = nullptr;
    /// Sends a message to a host that runs statements for this one.
    std::function<void(const HostName &, const RelayMessage &)> AskHost;
    std::function<void(const HostName &)> CloseRelay;
    /// Sends a message to a host for which this one runs statements.
    std::function<void(IncomingRelayId, const RelayMessage &)> AnswerHost;
    std::function<void(IncomingRelayId)> CloseLink;
    /// A configuration received from another host was applied.
    std::function<void(const HostName &)> ConfigurationReceived;
    /// A group's leader or the phase of its leadership record changed.
    std::function<void(const LeadershipRecord &)> LeadershipChanged;
  };

  /// Location: this host's zone and region, and its address for other hosts.
  SessionEngine(HostName Self, std::uint64_t Incarnation, ListedHost Location,
                DatabaseTable::DistanceFunction DistanceOf, Hooks Callbacks);

  SessionProxy &sessions() { return Proxy_; }
  const SessionProxy &sessions() const { return Proxy_; }
  StatementRunner &runner() { return Runner_; }
  const StatementRunner &runner() const { return Runner_; }
  StatementRouter &router() { return Router_; }
  const StatementRouter &router() const { return Router_; }
  RelayedSessions &relayed() { return Relayed_; }
  const RelayedSessions &relayed() const { return Relayed_; }
  PromotionSystem &promotions() { return Promotions_; }
  const PromotionSystem &promotions() const { return Promotions_; }
  HostTable &hosts() { return Hosts_; }
  const HostTable &hosts() const { return Hosts_; }
  const DatabaseTable &databases() const { return Table_; }
  const LeaderAuthority &authority() const { return Authority_; }
  const ConfigurationFreshness &freshness() const { return Freshness_; }

  /// Sets the time in which a key that is taken away must be refused. See
  /// ConfigurationFreshness::setBound.
  void setKeyRevocationBound(std::optional<Milliseconds> Bound);
  void setQuotaTolerance(const QuotaTolerance &Tolerance) {
    Admission_.ledger().setTolerance(Tolerance);
  }
  /// The version was the latest one in the store at Moment, or later.
  void confirmConfiguration(std::uint64_t Version, TimePoint Moment) {
    Freshness_.confirm(Version, Moment);
  }
  /// True if the host should read the configuration from the store. Remembers
  /// that the read is begun.
  bool beginDueConfigurationRead(TimePoint Now);
  /// Sets the number of members in the store's list. IsNew: this host has taken
  /// a place that did not exist before.
  void setMemberCount(std::size_t Members, bool IsNew, TimePoint Now);

  /// Applies a configuration. Returns false if its version is not higher than
  /// that of the present one.
  bool applyConfiguration(SessionConfiguration Configuration, TimePoint Now);
  /// Asks a live host for its configuration if it has announced a higher
  /// version.
  void askForConfiguration(TimePoint Now);
  /// Handles a message from a host that runs statements for this one.
  void onRelayAnswer(const HostName &Host, const RelayMessage &Message,
                     TimePoint Now);
  /// Applies the complete list of databases, as of a revision of the platform's
  /// list. A database that is missing from it stays in use for a short time,
  /// since its entry may reappear.
  void applyDatabases(std::vector<DatabaseListing> Listed,
                      StoreRevision Revision, TimePoint Now);
  /// Applies all leadership records, from a read of the store that began at
  /// Moment. Era: of the store when it answered. Restored records confirm
  /// nothing, and are replaced by the promotion system.
  void applyRecords(const std::vector<LeadershipRecord> &Records,
                    TimePoint Moment, TimePoint Now, std::uint64_t Era = 0);
  /// Handles the result of a conditional write of a leadership record.
  void onRecordWritten(const GroupId &Group, WriteOutcome Outcome,
                       const LeadershipRecord &Current, TimePoint Now);
  /// Handles a database's report, which was requested through Promotions.Ask.
  /// Report is nothing if the database did not answer.
  void onReport(const DatabaseId &Database,
                const std::optional<DatabaseReport> &Report, TimePoint BegunAt,
                TimePoint Now);
  /// Applies the store's list of hosts, from a read that began at BegunAt.
  void applyHosts(const std::map<HostName, ListedHost> &Listed,
                  TimePoint BegunAt);
  /// Handles the result of a probe that began at BegunAt.
  void onProbed(const DatabaseId &Database, bool Answered, TimePoint BegunAt,
                TimePoint Now);

  /// Returns the periodic message of this host to a peer.
  HostObservation observationFor(const HostName &Peer, TimePoint Now) const;
  void onObservation(const HostObservation &Received, TimePoint Now);

  /// Sets whether the store answered this host's latest call.
  void setReachesStore(bool Reaches, TimePoint Now);
  void setLeaving() { Leaving_ = true; }
  /// Sets whether this host holds connections to databases.
  void setMember(bool Member, TimePoint Now);
  StoreRevision databaseListRevision() const { return ListRevision_; }
  void tick(TimePoint Now);

private:
  /// Returns the message with the records filled in that the sender left out as
  /// unchanged.
  HostObservation withUnchangedRecords(HostObservation Message) const;
  void updateLeadership(const LeadershipRecord &Record, TimePoint Moment,
                        TimePoint Now);
  void onConfigurationSeen(const HostName &Host, std::uint64_t Version,
                           TimePoint Now);
  void updateDatabaseTable(TimePoint Now);
  QuotaAdmission::Hooks admissionHooks();
  void refuseBeyondQuota(const StatementWork &Work, Milliseconds RetryAfter,
                         TimePoint Now);
  std::vector<std::vector<HostName>> membersToAsk(TimePoint Now) const;
  void updateQuotaShares(TimePoint Now);
  void probeUnresponsiveDatabases(TimePoint Now);

  ListedHost Location_;
  Hooks Hooks_;
  DatabaseTable Table_;
  LeaderAuthority Authority_;
  HostTable Hosts_;
  ConfigurationFreshness Freshness_;
  StatementRunner Runner_;
  QuotaAdmission Admission_;
  RelayedSessions Relayed_;
  StatementRouter Router_;
  SessionProxy Proxy_;
  PromotionSystem Promotions_;
  LeadershipCheck Check_;
  std::vector<DatabaseListing> Listed_;
  /// Databases that were removed from the list, and when.
  std::map<DatabaseId, std::pair<DatabaseListing, TimePoint>> Missing_;
  std::map<DatabaseId, TimePoint> ProbedAt_;
  StoreRevision ListRevision_;
  TimePoint ConfigurationAskedAt_;
  bool Leaving_ = false;
  bool Member_ = false;
  std::size_t ListedMembers_ = 0;
  /// When this host took a place among the members that did not exist before;
  /// the others may not divide the quotas by the new number yet.
  std::optional<TimePoint> AddedAsMemberAt_;
  bool WasAdded_ = false;
  bool ReachesStore_ = true;
  std::optional<TimePoint> StoreReachedSince_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_SESSIONENGINE_H
