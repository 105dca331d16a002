#include "core/concurrencylimit.h"

#include <algorithm>

namespace nutmegloom {

/// Weight of a sample in the moving average of a level.
static constexpr double SampleWeight = 0.0025;
/// Samples are capped at this ratio, so that a few slow statements do not look
/// like an overloaded database.
static constexpr double MaximumRatio = 4.0;
/// Number of samples at the new limit before a trial is evaluated. With 50, the
/// noise of the service times was larger than the gain from one more statement.
static constexpr std::uint32_t TrialSamples = 400;
/// Lowest ratio of the throughputs at two adjacent limits for which the higher
/// limit is used.
static constexpr double MinimumThroughputGain = 1.08;
/// Number of samples at the limit between two trials of an adjacent limit.
static constexpr std::uint32_t TrialInterval = 400;
/// Number of concurrency levels per slot. A statement counts during its network
/// round trip as well as while it holds a slot, so the slots are all busy only
/// if more statements run than there are slots.
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
  // Arithmetic mean of the first samples, then an exponential moving average.
  const double Weight = std::max(SampleWeight, 1.0 / Entry.Samples);
  Entry.Ratio += Weight * (std::min(Ratio, MaximumRatio) - Entry.Ratio);
  // Only samples at the limit count for trials.
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
  // Earlier samples are discarded, because the load by other users of the
  // database may have changed.
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
