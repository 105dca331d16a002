#include "core/concurrencylimit.h"

#include <algorithm>

namespace nutmegloom {

/// Weight of a sample in the moving mean of a level.
static constexpr double SampleWeight = 0.0025;
/// A sample counts for at most this multiple of the mean, so that stragglers
/// don't look like a crowded database.
static constexpr double MaximumRatio = 4.0;
/// Samples at a limit before it is judged. With 50 the noise of the service
/// times was larger than the gain of one more statement.
static constexpr std::uint32_t TrialSamples = 400;
/// Throughput gain per added statement below which more is no use.
static constexpr double MinimumThroughputGain = 1.08;
/// Statements at the limit between two trials of a neighbouring one.
static constexpr std::uint32_t TrialInterval = 400;
/// Levels for each slot. A statement holds its place here for the round trip
/// as well as for its time in the slot, so the slots stay busy only when more
/// statements are under way than there are slots.
static constexpr std::size_t LevelsPerSlot = 3;

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Slots) { setSlots(Slots); }

void ConcurrencyLimit::setSlots(std::uint32_t Slots) {
  const std::uint32_t Wanted = std::max(Slots, 1U);
  if (Wanted * LevelsPerSlot == Levels_.size())
    return;
  Levels_.assign(Wanted * LevelsPerSlot, Level());
  Limit_ = Wanted + (Wanted + 1) / 2;
  LimitBeforeTrial_ = 0;
  SamplesSinceTrial_ = 0;
}

void ConcurrencyLimit::add(std::uint32_t Concurrency, double Ratio) {
  if (Concurrency == 0 || Concurrency > Levels_.size())
    return;
  Level &Entry = Levels_[Concurrency - 1];
  ++Entry.Samples;
  // The mean of the first samples, then a moving mean.
  const double Weight = std::max(SampleWeight, 1.0 / Entry.Samples);
  Entry.Ratio += Weight * (std::min(Ratio, MaximumRatio) - Entry.Ratio);
  // Below the limit there is nothing to find out.
  if (Concurrency != Limit_)
    return;
  ++SamplesSinceTrial_;
  if (LimitBeforeTrial_ != 0 && SamplesSinceTrial_ >= TrialSamples)
    endTrial();
  else if (LimitBeforeTrial_ == 0 && SamplesSinceTrial_ >= TrialInterval)
    startTrial();
}

void ConcurrencyLimit::startTrial() {
  SamplesSinceTrial_ = 0;
  const bool Lower = NextTrialIsLower_;
  NextTrialIsLower_ = !NextTrialIsLower_;
  if (Lower ? Limit_ == 1 : Limit_ == Levels_.size())
    return;
  LimitBeforeTrial_ = Limit_;
  Limit_ = Lower ? Limit_ - 1 : Limit_ + 1;
  // Judged afresh: what crowded the database may be gone.
  Levels_[Limit_ - 1] = Level();
}

void ConcurrencyLimit::endTrial() {
  const std::uint32_t Upper = std::max(Limit_, LimitBeforeTrial_);
  const std::uint32_t Lower = std::min(Limit_, LimitBeforeTrial_);
  Limit_ = throughputAt(Upper) >= throughputAt(Lower) * MinimumThroughputGain
               ? Upper
               : Lower;
  LimitBeforeTrial_ = 0;
  SamplesSinceTrial_ = 0;
}

double ConcurrencyLimit::throughputAt(std::uint32_t Concurrency) const {
  return Concurrency / Levels_[Concurrency - 1].Ratio;
}

} // namespace nutmegloom
