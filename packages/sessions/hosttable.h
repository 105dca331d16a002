#ifndef NUTMEGLOOM_SESSIONS_HOSTTABLE_H
#define NUTMEGLOOM_SESSIONS_HOSTTABLE_H

#include "sessions/sessiontypes.h"

namespace nutmegloom {

/// A host's observation of one group, sent to other hosts.
struct GroupObservation {
  LeadershipRecord Record;
  /// The receiver already uses this revision, so the record is sent without its
  /// other fields.
  bool Unchanged = false;
  /// Time since the moment for which the record was last confirmed.
  std::optional<Milliseconds> ConfirmedAge;
  /// Position of the leader's log, and the time since the start of the exchange
  /// that reported it.
  std::optional<Position> LeaderLog;
  Milliseconds LeaderLogAge{0};
  /// Time since the start of the latest exchange that the leader answered.
  std::optional<Milliseconds> LeaderAnsweredAge;
};

/// Message that hosts exchange periodically. Times are sent as ages at the
/// moment of sending, since the clocks of hosts are not synchronized.
struct HostObservation {
  HostName Host;
  /// Changes whenever the host process is restarted.
  std::uint64_t Incarnation = 0;
  std::string Address;
  RegionName Region;
  bool Leaving = false;
  /// True if the sender's latest call to the store was answered.
  bool ReachesStore = true;
  std::uint64_t ConfigurationVersion = 0;
  /// Time since ConfigurationVersion was last known to be the latest one.
  std::optional<Milliseconds> ConfigurationAge;
  /// Number of members in the sender's list.
  std::uint32_t Members = 0;
  StoreRevision DatabaseListRevision;
  /// Time of sending by the sender's clock, in microseconds.
  std::uint64_t SentAt = 0;
  /// Incarnation and SentAt of the latest message that the sender has received
  /// from the receiver. This message was sent after that one, so the receiver
  /// can compute by its own clock the earliest time to which an age refers.
  std::uint64_t EchoIncarnation = 0;
  std::uint64_t EchoSentAt = 0;
  PromotionLease Lease;
  std::vector<GroupObservation> Groups;
};

/// A host that is listed in the platform's store: it may hold connections to
/// databases and use leadership records.
struct ListedHost {
  std::string Address;
  ZoneName Zone;
  RegionName Region;
};

/// State of the other hosts, from their latest messages and the platform's
/// list.
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
    /// Revisions of the leadership records that the peer uses.
    std::map<GroupId, StoreRevision> RecordRevisions;
    std::uint64_t ConfigurationVersion = 0;
    /// Number of members in the peer's list.
    std::uint32_t Members = 0;
    StoreRevision DatabaseListRevision;
    /// Latest start of an exchange of this peer that each leader answered.
    std::map<DatabaseId, TimePoint> LeaderAnswered;
  };

  /// Replaces the list of hosts by one that the platform returned to a read
  /// that began at BegunAt.
  void applyListed(const std::map<HostName, ListedHost> &Hosts,
                   TimePoint BegunAt);
  bool isListed(const HostName &Host) const;
  /// True for a host that holds connections to databases: it is listed, or,
  /// while this host has no list, it sends messages, which only such hosts do.
  bool isMember(const HostName &Host, TimePoint Now) const;
  /// True when every host that could use an older record of the group is known
  /// to use the given revision or a later one. The list of hosts must be from a
  /// read that began at or after Since, when the revision was already written:
  /// a host reads records only once it is listed.
  bool allAtRevision(const GroupId &Group, StoreRevision Revision,
                     TimePoint Since) const;

  /// Handles a message of another host. Returns a time of this host's clock
  /// after which the message was sent; nothing for an outdated message or one
  /// that echoes no message of this process.
  std::optional<TimePoint> onMessage(const HostObservation &Message,
                                     TimePoint Now);

  /// True if the host has sent a message lately, or is this host.
  bool isLive(const HostName &Host, TimePoint Now) const;
  /// Live hosts that are not stopping, and this one, sorted by name.
  std::vector<HostName> liveHosts(TimePoint Now) const;
  /// True when every host that the platform lists is live.
  bool allListedLive(TimePoint Now) const;
  /// The hosts of liveHosts that reach the store; always includes this one.
  std::vector<HostName> hostsReachingStore(TimePoint Now) const;
  /// Number of hosts that may hold connections to databases: this one, those
  /// from which a message came lately, and listed ones that have not sent any
  /// since this host was started.
  std::size_t connectionHolders(TimePoint Now) const;
  /// Latest answer of the database to a live host other than this one.
  std::optional<TimePoint> latestAnswerToOthers(const DatabaseId &Database,
                                                TimePoint Now) const;
  /// Number of live hosts, other than this one, that the database has answered
  /// since the given time, and the number of live hosts other than this one.
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
