#ifndef NUTMEGLOOM_SESSIONS_LEASEMANAGER_H
#define NUTMEGLOOM_SESSIONS_LEASEMANAGER_H

#include "sessions/hosttable.h"

#include <functional>

namespace nutmegloom {

/// A holder that shows no change for this long may be followed by another: of
/// the promotion duty, and of a claim.
constexpr Milliseconds HolderTimeout{2500};

/// Outcome of a conditional write.
enum class WriteOutcome { Written, Conflict, Unknown };

/// Keeps track of who holds the duty to promote, and takes it for this host.
///
/// The holder may ask for promotions for a limited time after it began to write
/// the duty. That time is shorter than HolderTimeout, so two holders never ask
/// at the same time, and the token of a later one is higher.
class LeaseManager {
public:
  /// Replaces the duty if its revision in the store is still Expected (zero:
  /// there is none). Ends in onWritten.
  using Write =
      std::function<void(const PromotionLease &, std::uint64_t Expected)>;

  LeaseManager(const HostTable &Hosts, Write WriteHook)
      : Hosts_(Hosts), Write_(std::move(WriteHook)) {}

  /// The store, or a host that read it, shows the duty.
  void show(const PromotionLease &Shown, TimePoint Now);
  /// Conflict or no answer: Current has no revision.
  void onWritten(WriteOutcome Outcome, const PromotionLease &Current,
                 TimePoint Now);

  /// True when the duty is this host's for at least Remaining from now.
  bool isHeld(Duration Remaining, TimePoint Now) const;
  /// True when this host holds the duty or may take it.
  bool mayTake(TimePoint Now) const;
  /// Takes or renews the duty, unless that is under way or not allowed.
  void request(TimePoint Now);

  const PromotionLease &lease() const { return Lease_; }

private:
  bool isOwn() const;

  const HostTable &Hosts_;
  Write Write_;
  PromotionLease Lease_;
  /// When the duty's revision was first seen.
  TimePoint SeenAt_;
  /// Start of this host's latest write that succeeded.
  std::optional<TimePoint> WrittenAt_;
  std::optional<TimePoint> RequestedAt_;
  /// Start of a write whose answer was lost.
  std::optional<TimePoint> LostAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_LEASEMANAGER_H
