#ifndef NUTMEGLOOM_SESSIONS_SESSIONENGINE_H
#define NUTMEGLOOM_SESSIONS_SESSIONENGINE_H

#include "sessions/leadershipcheck.h"
#include "sessions/promotionsystem.h"
#include "sessions/relayedsessions.h"
#include "sessions/sessionproxy.h"

namespace nutmegloom {

/// The decisions of one host for connection-bound sessions: tables, systems
/// and the wiring between them. Inputs are its functions, outputs its hooks.
class SessionEngine {
public:
  struct Hooks {
    SessionProxy::Hooks Sessions;
    DatabasePool::Hooks Connections;
    std::function<void(ConnectionId, const DatabaseCommand &)> Send;
    PromotionSystem::Hooks Promotions;
    /// Asks whether a database's process answers at all. Ends in onProbed.
    std::function<void(const DatabaseListing &)> Probe;
    /// See StatementRunner::Hooks.
    std::function<void(const DatabaseId &, bool Reachable,
                       std::string_view Reason)>
        ReachabilityChanged;
    /// To other hosts that run statements for this one.
    std::function<void(const HostName &, const RelayMessage &)> AskHost;
    std::function<void(const HostName &)> CloseRelay;
    /// To other hosts that this one runs statements for.
    std::function<void(RelayLinkId, const RelayMessage &)> AnswerHost;
    std::function<void(RelayLinkId)> CloseLink;
    /// Another host's configuration is in force here.
    std::function<void(const HostName &)> ConfigurationReceived;
    /// A group's leader or its phase changed.
    std::function<void(const LeadershipRecord &)> LeadershipChanged;
  };

  /// Location: where this host is and where others reach it.
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

  /// Returns false for a configuration that is not later than the present one.
  bool applyConfiguration(SessionConfiguration Configuration);
  /// Asks a member for its configuration, if one has told of a later version.
  void askForConfiguration(TimePoint Now);
  /// A message of a host that this one asked.
  void onRelayAnswer(const HostName &Host, const RelayMessage &Message,
                     TimePoint Now);
  /// Complete list of the databases, as of a revision of the platform's list.
  /// A database that is missing stays in use for a short time while it
  /// answers, since its entry may be back soon.
  void applyDatabases(std::vector<DatabaseListing> Listed,
                      std::uint64_t Revision, TimePoint Now);
  /// All leadership records, read from the store at Moment.
  void applyRecords(const std::vector<LeadershipRecord> &Records,
                    TimePoint Moment, TimePoint Now);
  /// A conditional write of a record ended.
  void onRecordWritten(const GroupId &Group, WriteOutcome Outcome,
                       const LeadershipRecord &Current, TimePoint Now);
  /// A database answered a question of the promotions, or it did not.
  void onReport(const DatabaseId &Database,
                const std::optional<DatabaseReport> &Report, TimePoint BegunAt,
                TimePoint Now);
  /// The store lists these hosts, by a read that began at BegunAt.
  void applyHosts(const std::map<HostName, ListedHost> &Listed,
                  TimePoint BegunAt);
  void onProbed(const DatabaseId &Database, bool Answered, TimePoint BegunAt,
                TimePoint Now);

  /// What this host tells a peer.
  HostObservation observationFor(const HostName &Peer, TimePoint Now) const;
  void onObservation(const HostObservation &Received, TimePoint Now);

  /// Whether the store answered this host's latest call.
  void setReachesStore(bool Reaches, TimePoint Now);
  void setLeaving() { Leaving_ = true; }
  /// Whether this host holds connections to databases.
  void setMember(bool Member, TimePoint Now) {
    Router_.setServesDatabases(Member, Now);
  }
  std::uint64_t databaseListRevision() const { return ListRevision_; }
  void tick(TimePoint Now);

private:
  /// Fills in records that the sender left out as unchanged.
  HostObservation withUnchangedRecords(HostObservation Message) const;
  void updateLeadership(const LeadershipRecord &Record, TimePoint Moment,
                        TimePoint Now);
  void onConfigurationSeen(const HostName &Host, std::uint64_t Version,
                           TimePoint Now);
  void updateDatabaseTable(TimePoint Now);
  void probeUnresponsiveDatabases(TimePoint Now);

  ListedHost Location_;
  Hooks Hooks_;
  DatabaseTable Table_;
  LeaderAuthority Authority_;
  HostTable Hosts_;
  StatementRunner Runner_;
  RelayedSessions Relayed_;
  StatementRouter Router_;
  SessionProxy Proxy_;
  PromotionSystem Promotions_;
  LeadershipCheck Check_;
  std::vector<DatabaseListing> Listed_;
  /// Databases that are missing from the list, and since when.
  std::map<DatabaseId, std::pair<DatabaseListing, TimePoint>> Missing_;
  std::map<DatabaseId, TimePoint> ProbedAt_;
  std::uint64_t ListRevision_ = 0;
  TimePoint ConfigurationAskedAt_;
  bool Leaving_ = false;
  bool ReachesStore_ = true;
  std::optional<TimePoint> StoreReachedSince_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_SESSIONENGINE_H
