#ifndef NUTMEGLOOM_SESSIONS_HOSTTABLE_H
#define NUTMEGLOOM_SESSIONS_HOSTTABLE_H

#include "sessions/sessiontypes.h"

namespace nutmegloom {

/// What a host says of one group.
struct GroupObservation {
  LeadershipRecord Record;
  /// The receiver goes by the same revision, so only the revision is told.
  bool Unchanged = false;
  /// Time since the moment for which the record was confirmed.
  std::optional<Milliseconds> ConfirmedAge;
  /// Position of the leader's log and the time since its sample began.
  std::optional<Position> LeaderLog;
  Milliseconds LeaderLogAge{0};
  /// Time since the start of the latest exchange that the leader answered.
  std::optional<Milliseconds> LeaderAnsweredAge;
};

/// Message that hosts send each other. All times are ages at the moment of
/// sending, since clocks of hosts are not compared.
struct HostObservation {
  HostName Host;
  /// Changes whenever the host process is restarted.
  std::uint64_t Incarnation = 0;
  std::string Address;
  RegionName Region;
  bool Leaving = false;
  /// The sender's latest call to the store was answered.
  bool ReachesStore = true;
  std::uint64_t ConfigurationVersion = 0;
  std::uint64_t DatabaseListRevision = 0;
  /// Sender's own clock when it sent this, microseconds.
  std::uint64_t SentAt = 0;
  /// Incarnation and SentAt of the latest message of the receiver that the
  /// sender has: what the sender says was observed after that message was
  /// sent, as far as its age is less than the time since then.
  std::uint64_t EchoIncarnation = 0;
  std::uint64_t EchoSentAt = 0;
  PromotionLease Lease;
  std::vector<GroupObservation> Groups;
};

/// A host that the platform's store lists: it may hold connections to
/// databases and go by leadership records.
struct ListedHost {
  std::string Address;
  ZoneName Zone;
  RegionName Region;
};

/// The other hosts, by what they last said.
class HostTable {
public:
  HostTable(HostName Self, std::uint64_t Incarnation)
      : Self_(std::move(Self)), Incarnation_(Incarnation) {}

  struct Peer {
    std::string Address;
    ZoneName Zone;
    RegionName Region;
    std::uint64_t Incarnation = 0;
    std::uint64_t SentAt = 0;
    std::optional<TimePoint> HeardAt;
    bool Leaving = false;
    bool ReachesStore = true;
    /// Revisions of the leadership records that the peer goes by.
    std::map<GroupId, std::uint64_t> RecordRevisions;
    std::uint64_t ConfigurationVersion = 0;
    std::uint64_t DatabaseListRevision = 0;
    /// Latest answer of each leader to this peer.
    std::map<DatabaseId, TimePoint> LeaderAnswered;
  };

  /// The platform lists exactly these hosts, by a read that began at BegunAt.
  void applyListed(const std::map<HostName, ListedHost> &Hosts,
                   TimePoint BegunAt);
  bool isListed(const HostName &Host) const;
  /// True when every host that could go by an older record is known to go by
  /// the given revision or a later one. The hosts must have been listed after
  /// Since, when the revision was already written: a host reads records only
  /// once it is listed.
  bool allAtRevision(const GroupId &Group, std::uint64_t Revision,
                     TimePoint Since) const;

  /// A message was received. Returns the moment of this host's clock after
  /// which it was sent; nothing when no echo shows one.
  std::optional<TimePoint> onMessage(const HostObservation &Message,
                                     TimePoint Now);

  /// True while the host is heard from.
  bool isLive(const HostName &Host, TimePoint Now) const;
  /// Hosts that are live, this one included, in the order of their names.
  std::vector<HostName> liveHosts(TimePoint Now) const;
  /// True when every host that the platform lists is heard from.
  bool allListedLive(TimePoint Now) const;
  /// Live hosts that reach the store, this one included.
  std::vector<HostName> hostsReachingStore(TimePoint Now) const;
  /// Hosts that may hold connections to databases: live or listed lately.
  std::size_t connectionHolders(TimePoint Now) const;
  /// Latest answer of the database to any live host but this one.
  std::optional<TimePoint> latestAnswerToOthers(const DatabaseId &Database,
                                                TimePoint Now) const;
  /// Share of live hosts, this one aside, that the database answered since
  /// the given moment.
  std::pair<std::size_t, std::size_t>
  countHostsReaching(const DatabaseId &Database, TimePoint Since,
                     TimePoint Now) const;

  const std::map<HostName, Peer> &peers() const { return Peers_; }
  const HostName &self() const { return Self_; }
  std::uint64_t incarnation() const { return Incarnation_; }

private:
  HostName Self_;
  std::uint64_t Incarnation_;
  std::map<HostName, Peer> Peers_;
  std::vector<HostName> Listed_;
  std::optional<TimePoint> ListedAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_HOSTTABLE_H
