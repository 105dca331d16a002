#ifndef NUTMEGLOOM_SESSIONS_LEASEMANAGER_H
#define NUTMEGLOOM_SESSIONS_LEASEMANAGER_H

#include "sessions/hosttable.h"

#include <functional>

namespace nutmegloom {

/// Another host may take over the promotion lease, or a claim, when its record
/// has not changed for this long.
constexpr Milliseconds HolderTimeout{2500};

/// Outcome of a conditional write.
enum class WriteOutcome { Written, Conflict, Unknown };

/// Keeps track of the holder of the promotion lease, and acquires and renews
/// the lease for this host.
///
/// The holder may request promotions for a limited time after it began to write
/// the lease. That time is shorter than HolderTimeout, so there are never two
/// holders that may request promotions at the same time, and a later holder has
/// a higher token.
///
/// A new era of the store ends the lease, also if the store came back with a
/// copy of it. The holder stops as soon as it hears of the era. Another host
/// waits for HolderTimeout from then on, as the holder may not have heard.
/// Tokens of a later era are higher than all of earlier ones.
class LeaseManager {
public:
  /// Replaces the lease if its revision in the store is still Expected (not
  /// set: it does not exist). The result is passed to onWritten.
  using Write =
      std::function<void(const PromotionLease &, StoreRevision Expected)>;

  LeaseManager(const HostTable &Hosts, Write WriteHook)
      : Hosts_(Hosts), Write_(std::move(WriteHook)) {}

  /// Handles a lease that was read from the store, here or by another host.
  void onRead(const PromotionLease &Read, TimePoint Now);
  /// Handles an answer of the store that contains no lease.
  void onAbsent(std::uint64_t Era, TimePoint Now);
  /// Handles the result of a write. Current is the lease in the store if it was
  /// written, and has no revision otherwise.
  void onWritten(WriteOutcome Outcome, const PromotionLease &Current,
                 TimePoint Now);

  /// True when this host holds the lease for at least Remaining from now.
  bool isHeld(Duration Remaining, TimePoint Now) const;
  /// True when this host may acquire or renew the lease.
  bool mayAcquire(TimePoint Now) const;
  /// Begins to acquire or renew the lease, unless a write is in progress or
  /// another host holds the lease.
  void acquireOrRenew(TimePoint Now);

  const PromotionLease &lease() const { return Lease_; }

private:
  bool isOwn() const;
  std::uint64_t nextToken() const;

  const HostTable &Hosts_;
  Write Write_;
  PromotionLease Lease_;
  /// Highest token that this host knows of.
  std::uint64_t HighestToken_ = 0;
  /// When the lease's revision was first seen.
  TimePoint SeenAt_;
  /// Start of this host's latest successful write.
  std::optional<TimePoint> WrittenAt_;
  std::optional<TimePoint> RequestedAt_;
  /// Start of a write whose answer was lost.
  std::optional<TimePoint> LostAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_LEASEMANAGER_H
