#include "sessions/leasemanager.h"

namespace nutmegloom {

namespace {

/// The holder may request promotions for this long after it began to write the
/// lease.
constexpr Milliseconds LeaseValidity{2000};
constexpr Milliseconds RequestTimeout{1000};

} // namespace

bool LeaseManager::isOwn() const {
  return Lease_.Holder == Hosts_.self() &&
         Lease_.Incarnation == Hosts_.incarnation();
}

void LeaseManager::show(const PromotionLease &Shown, TimePoint Now) {
  if (Shown.Revision <= Lease_.Revision)
    return;
  Lease_ = Shown;
  SeenAt_ = Now;
  // The lease was written by this process, and the answer to the write was
  // lost.
  if (isOwn() && LostAt_)
    WrittenAt_ = LostAt_;
  LostAt_.reset();
}

bool LeaseManager::isHeld(Duration Remaining, TimePoint Now) const {
  return WrittenAt_ && isOwn() &&
         Now + Remaining <= *WrittenAt_ + LeaseValidity;
}

bool LeaseManager::mayTake(TimePoint Now) const {
  return Lease_.Revision == 0 || isOwn() || Now - SeenAt_ >= HolderTimeout;
}

void LeaseManager::request(TimePoint Now) {
  bool UnderWay = RequestedAt_ && Now - *RequestedAt_ < RequestTimeout;
  if (UnderWay || !mayTake(Now))
    return;
  PromotionLease Next;
  Next.Holder = Hosts_.self();
  Next.Incarnation = Hosts_.incarnation();
  Next.Token = Lease_.Token + (isOwn() ? 0 : 1);
  RequestedAt_ = Now;
  Write_(Next, Lease_.Revision);
}

void LeaseManager::onWritten(WriteOutcome Outcome,
                             const PromotionLease &Current, TimePoint Now) {
  if (!RequestedAt_)
    return;
  TimePoint SentAt = *RequestedAt_;
  RequestedAt_.reset();
  if (Outcome != WriteOutcome::Written) {
    // The next read of the store shows the holder.
    WrittenAt_.reset();
    if (Outcome == WriteOutcome::Unknown)
      LostAt_ = SentAt;
    return;
  }
  show(Current, Now);
  if (Lease_.Revision == Current.Revision)
    WrittenAt_ = SentAt;
}

} // namespace nutmegloom
