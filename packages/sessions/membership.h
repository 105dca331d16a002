#ifndef NUTMEGLOOM_SESSIONS_MEMBERSHIP_H
#define NUTMEGLOOM_SESSIONS_MEMBERSHIP_H

#include "sessions/leasemanager.h"

#include <functional>
#include <set>

namespace nutmegloom {

/// A place in the platform's list of the hosts that hold connections to
/// databases. Each availability zone has a few.
struct MemberSlot {
  /// Availability zone and number.
  std::string Name;
  HostName Host;
  ListedHost Location;
  /// The host has ended: it uses no database any more.
  bool Stopped = false;
  /// Hosts that had the slot and fell silent. They may still live, cut off, and
  /// go by leadership records, so promoters wait for them as for members.
  std::set<HostName> Former;
  /// Version in the store; zero: it is not there.
  std::uint64_t Revision = 0;
};

/// Whether this host is one of those that hold connections to databases.
///
/// It answers the load of more hosts than a database has connections, and
/// bounds what hosts must tell each other: only members read leaderships and
/// exchange observations, the others send their statements to members. With few
/// hosts all are members. Slots are written on condition, so hosts that start
/// together take different ones; a host that restarts takes its own again, and
/// the slot of one that is gone goes to another host.
class Membership {
public:
  struct Hooks {
    /// Writes a slot if its revision in the store is still Expected (zero:
    /// there is none). Ends in onWritten.
    std::function<void(const MemberSlot &, std::uint64_t Expected)> Write;
    /// Lists the slots, where it suffices by a cheap read that may show old
    /// data. Ends in onListed or onListFailed.
    std::function<void(bool MayBeOld)> List;
    /// How long a host has been out of reach; nothing: it answers, or it was
    /// not asked.
    std::function<std::optional<Milliseconds>(const HostName &, TimePoint)>
        UnreachableFor;
    /// This host is a member from now on, or it is not for the time being.
    std::function<void(bool IsMember)> Decided;
  };

  /// HighCapacity: the host has the means for the work of others.
  Membership(HostName Self, ListedHost Location, std::size_t Zones,
             bool HighCapacity, Hooks Callbacks);

  void onListed(std::vector<MemberSlot> Slots, TimePoint Now);
  void onListFailed();
  void onWritten(WriteOutcome Outcome, std::uint64_t Revision, TimePoint Now);
  void tick(TimePoint Now);
  /// This host uses no database any more.
  void stop();

  bool isMember() const { return Member_; }
  /// True when it is known whether this host is a member.
  bool isDecided() const { return Member_ || NoFreeSlot_; }

private:
  std::size_t slotsPerZone() const;
  std::optional<MemberSlot> freeSlot(TimePoint Now);
  bool isTakeable(const MemberSlot &Slot, TimePoint Now);
  void leave();
  bool isListDue(TimePoint Now) const;
  void list(TimePoint Now);
  void tryJoin(TimePoint Now);
  void join(std::uint64_t Revision);

  HostName Self_;
  ListedHost Location_;
  std::size_t Zones_;
  bool HighCapacity_;
  Hooks Hooks_;
  std::vector<MemberSlot> Slots_;
  bool Listed_ = false;
  bool Listing_ = false;
  bool Writing_ = false;
  bool Member_ = false;
  bool NoFreeSlot_ = false;
  bool Stopping_ = false;
  MemberSlot Own_;
  std::optional<TimePoint> FirstListedAt_;
  TimePoint ListedAt_;
  /// When slots were first seen to be those of hosts that have ended.
  std::map<std::string, TimePoint> StoppedSince_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_MEMBERSHIP_H
