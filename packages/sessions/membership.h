#ifndef NUTMEGLOOM_SESSIONS_MEMBERSHIP_H
#define NUTMEGLOOM_SESSIONS_MEMBERSHIP_H

#include "sessions/leasemanager.h"

#include <functional>
#include <set>

namespace nutmegloom {

/// A slot in the platform's list of the hosts that hold connections to
/// databases (the members). Each availability zone has a fixed number of slots.
struct MemberSlot {
  /// Availability zone and number of the slot.
  std::string Name;
  HostName Host;
  ListedHost Location;
  /// The host was stopped and uses no database any more.
  bool Stopped = false;
  /// Hosts that lost the slot while they were unreachable. They may still be
  /// running and use leadership records, so a promotion waits for them as for
  /// members.
  std::set<HostName> Former;
  /// Version in the store; not set: the slot does not exist.
  StoreRevision Revision;
};

/// Determines whether this host is a member, that is, one of the hosts that
/// hold connections to databases.
///
/// A limited number of members allows more hosts than a database has
/// connections, and bounds the traffic between hosts: only members read
/// leadership records and exchange observations, and the other hosts relay
/// their statements to members. With few hosts all of them are members. Slots
/// are taken by conditional writes, so hosts that start at the same time take
/// different ones. A host that restarts takes its former slot; the slot of a
/// host that is lost is taken by another one. A member writes its slot again if
/// the store comes back from a copy that lacks it.
class Membership {
public:
  struct Hooks {
    /// Writes a slot if its revision in the store is still Expected (not set:
    /// it does not exist). The result is passed to onWritten.
    std::function<void(const MemberSlot &, StoreRevision Expected)> Write;
    /// Reads the list of slots, with MayBeOld by a cheaper read that may return
    /// outdated data. The result is passed to onListed or onListFailed.
    std::function<void(bool MayBeOld)> List;
    /// How long a host has been unreachable; nothing: it is reachable, or no
    /// message was sent to it.
    std::function<std::optional<Milliseconds>(const HostName &, TimePoint)>
        UnreachableFor;
    /// This host has become a member, or has found that it is not one for now.
    std::function<void(bool IsMember)> Decided;
  };

  /// HighCapacity: the host has the capacity to run statements of other hosts.
  Membership(HostName Self, ListedHost Location, std::size_t Zones,
             bool HighCapacity, Hooks Callbacks);

  /// Handles a list of all slots, as of a revision of the store.
  void onListed(std::vector<MemberSlot> Slots, StoreRevision AsOf,
                TimePoint Now);
  void onListFailed();
  void onWritten(WriteOutcome Outcome, StoreRevision Revision, TimePoint Now);
  /// The store may have lost slots: lists them at the next tick.
  void onEraChanged() { ListIsOutdated_ = true; }
  void tick(TimePoint Now);
  /// Gives up the slot, after this host has stopped using databases.
  void stop();

  bool isMember() const { return Member_; }
  /// Number of slots in the latest list.
  std::size_t slots() const { return Slots_.size(); }
  /// True if this host's slot did not exist before it took it.
  bool hasAddedSlot() const { return AddedSlot_; }
  /// True when it is known whether this host is a member.
  bool isDecided() const { return Member_ || NoFreeSlot_; }

private:
  std::size_t slotsPerZone() const;
  std::optional<MemberSlot> freeSlot(TimePoint Now);
  bool isTakeable(const MemberSlot &Slot, TimePoint Now);
  void restoreSlot(std::uint64_t Era);
  void onRestored(WriteOutcome Outcome, StoreRevision Revision);
  void leave();
  bool isListDue(TimePoint Now) const;
  void list(TimePoint Now);
  void tryJoin(TimePoint Now);
  void join(StoreRevision Revision);

  HostName Self_;
  ListedHost Location_;
  std::size_t Zones_;
  bool HighCapacity_;
  Hooks Hooks_;
  std::vector<MemberSlot> Slots_;
  bool Listed_ = false;
  bool ListIsOutdated_ = false;
  bool Listing_ = false;
  bool Writing_ = false;
  bool Member_ = false;
  bool NoFreeSlot_ = false;
  bool AddedSlot_ = false;
  bool Stopping_ = false;
  MemberSlot Own_;
  std::optional<TimePoint> FirstListedAt_;
  TimePoint ListedAt_;
  /// For each slot of a stopped host: when it was first seen to be stopped.
  std::map<std::string, TimePoint> StoppedSince_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_MEMBERSHIP_H
