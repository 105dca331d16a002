#include "core/concurrencylimit.h"

#include <algorithm>

namespace nutmegloom {

static constexpr double Gain = 0.05;
/// A sample counts for at most this multiple of the mean, so that stragglers
/// don't look like a crowded database.
static constexpr double RatioCap = 4.0;
/// Samples needed before a level is judged.
static constexpr std::uint32_t EnoughSamples = 50;
/// Throughput gain per added statement below which more is no use.
static constexpr double UsefulGain = 1.06;
/// Statements at the limit between two tries of the next higher level.
static constexpr std::uint32_t ProbeInterval = 200;
/// Levels above the slots. A statement holds its place here for the round
/// trip as well as for its time in the slot, so the slots stay busy only when
/// more statements are under way than there are slots.
static constexpr std::uint32_t LevelsPerSlot = 3;

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Slots) { setSlots(Slots); }

void ConcurrencyLimit::setSlots(std::uint32_t Slots) {
  const std::uint32_t Wanted = std::max(Slots, 1U);
  if (Wanted * LevelsPerSlot == Levels_.size())
    return;
  Levels_.assign(Wanted * LevelsPerSlot, Level());
  Limit_ = Wanted;
}

void ConcurrencyLimit::add(std::uint32_t Concurrency, double Ratio) {
  if (Concurrency == 0 || Concurrency > Levels_.size())
    return;
  Level &Entry = Levels_[Concurrency - 1];
  ++Entry.Samples;
  // The mean of the first samples, then a moving mean.
  const double Weight = std::max(Gain, 1.0 / Entry.Samples);
  Entry.Ratio += Weight * (std::min(Ratio, RatioCap) - Entry.Ratio);
  if (Concurrency == Limit_)
    update();
}

void ConcurrencyLimit::update() {
  if (++SinceProbe_ >= ProbeInterval && Limit_ < Levels_.size()) {
    SinceProbe_ = 0;
    // The level must be judged afresh: what crowded the database may be gone.
    Levels_[Limit_] = Level();
    ++Limit_;
    return;
  }
  // Level n does n / ratio(n) of work in the time of one statement.
  if (Limit_ < 2)
    return;
  const Level &Top = Levels_[Limit_ - 1];
  const Level &Below = Levels_[Limit_ - 2];
  if (Top.Samples < EnoughSamples || Below.Samples < EnoughSamples)
    return;
  const double Work = Limit_ / Top.Ratio;
  const double WorkBelow = (Limit_ - 1) / Below.Ratio;
  if (Work < WorkBelow * UsefulGain) {
    --Limit_;
    SinceProbe_ = 0;
  }
}

} // namespace nutmegloom
