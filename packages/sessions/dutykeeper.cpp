#include "sessions/dutykeeper.h"

namespace nutmegloom {

namespace {

/// Time from the start of a write of the duty in which its holder may ask.
constexpr Milliseconds DutyValidity{2000};
constexpr Milliseconds RequestTimeout{1000};

} // namespace

bool DutyKeeper::isOwn() const {
  return Duty_.Holder == Hosts_.self() &&
         Duty_.Incarnation == Hosts_.incarnation();
}

void DutyKeeper::show(const PromotionDuty &Shown, TimePoint Now) {
  if (Shown.Revision <= Duty_.Revision)
    return;
  Duty_ = Shown;
  SeenAt_ = Now;
  // A write of this process whose answer was lost.
  if (isOwn() && LostAt_)
    WrittenAt_ = LostAt_;
  LostAt_.reset();
}

bool DutyKeeper::isHeld(Duration Remaining, TimePoint Now) const {
  return WrittenAt_ && isOwn() && Now + Remaining <= *WrittenAt_ + DutyValidity;
}

bool DutyKeeper::mayTake(TimePoint Now) const {
  return Duty_.Revision == 0 || isOwn() || Now - SeenAt_ >= HolderTimeout;
}

void DutyKeeper::request(TimePoint Now) {
  bool UnderWay = RequestedAt_ && Now - *RequestedAt_ < RequestTimeout;
  if (UnderWay || !mayTake(Now))
    return;
  PromotionDuty Next;
  Next.Holder = Hosts_.self();
  Next.Incarnation = Hosts_.incarnation();
  Next.Token = Duty_.Token + (isOwn() ? 0 : 1);
  RequestedAt_ = Now;
  Write_(Next, Duty_.Revision);
}

void DutyKeeper::onWritten(WriteOutcome Outcome, const PromotionDuty &Current,
                           TimePoint Now) {
  if (!RequestedAt_)
    return;
  TimePoint SentAt = *RequestedAt_;
  RequestedAt_.reset();
  if (Outcome != WriteOutcome::Written) {
    // The next list of records shows whose it is.
    WrittenAt_.reset();
    if (Outcome == WriteOutcome::Unknown)
      LostAt_ = SentAt;
    return;
  }
  show(Current, Now);
  if (Duty_.Revision == Current.Revision)
    WrittenAt_ = SentAt;
}

} // namespace nutmegloom
