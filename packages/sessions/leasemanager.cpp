#include "sessions/leasemanager.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// The holder may request promotions for this long after it began to write the
/// lease.
constexpr Milliseconds LeaseValidity{2000};
constexpr Milliseconds RequestTimeout{1000};
/// A token begins with the era of the store above this bit.
constexpr unsigned TokenEraBit = 32;

} // namespace

bool LeaseManager::isOwn() const {
  return Lease_.Holder == Hosts_.self() &&
         Lease_.Incarnation == Hosts_.incarnation();
}

void LeaseManager::onRead(const PromotionLease &Read, TimePoint Now) {
  HighestToken_ = std::max(HighestToken_, Read.Token);
  if (Read.Revision <= Lease_.Revision)
    return;
  Lease_ = Read;
  if (Read.isRestored()) {
    Lease_.Holder.clear();
    Lease_.Incarnation = 0;
  }
  SeenAt_ = Now;
  // The lease was written by this process, and the answer to the write was
  // lost.
  if (isOwn() && LostAt_)
    WrittenAt_ = LostAt_;
  LostAt_.reset();
}

void LeaseManager::onAbsent(std::uint64_t Era, TimePoint Now) {
  PromotionLease None;
  None.Revision = StoreRevision(0, Era);
  onRead(None, Now);
}

bool LeaseManager::isHeld(Duration Remaining, TimePoint Now) const {
  return WrittenAt_ && isOwn() &&
         Now + Remaining <= *WrittenAt_ + LeaseValidity;
}

bool LeaseManager::mayAcquire(TimePoint Now) const {
  // Without eras a lease is never lost, so there was none before.
  bool IsFirst = Lease_.Revision == StoreRevision();
  return IsFirst || isOwn() || Now - SeenAt_ >= HolderTimeout;
}

/// A token that is higher than all earlier ones, although the store, and every
/// host if all are restarted, may have forgotten the latest of an earlier era.
std::uint64_t LeaseManager::nextToken() const {
  std::uint64_t LowestOfEra = Lease_.Revision.Era << TokenEraBit;
  return std::max(HighestToken_, LowestOfEra) + 1;
}

void LeaseManager::acquireOrRenew(TimePoint Now) {
  bool UnderWay = RequestedAt_ && Now - *RequestedAt_ < RequestTimeout;
  if (UnderWay || !mayAcquire(Now))
    return;
  PromotionLease Next;
  Next.Holder = Hosts_.self();
  Next.Incarnation = Hosts_.incarnation();
  Next.Token = isOwn() ? Lease_.Token : nextToken();
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
  onRead(Current, Now);
  if (Lease_.Revision == Current.Revision)
    WrittenAt_ = SentAt;
}

} // namespace nutmegloom
