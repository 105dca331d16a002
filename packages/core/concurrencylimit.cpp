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
static constexpr double UsefulGain = 1.03;
/// Statements between two tries of the next higher level.
static constexpr std::uint32_t ProbeInterval = 500;

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t Slots)
    : Levels_(std::max(Slots, 1U)), Limit_(std::max(Slots, 1U)) {}

void ConcurrencyLimit::setSlots(std::uint32_t Slots) {
  const std::uint32_t Wanted = std::max(Slots, 1U);
  if (Wanted == Levels_.size())
    return;
  Levels_.assign(Wanted, Level());
  Limit_ = Wanted;
}

void ConcurrencyLimit::add(std::uint32_t Concurrency, double Ratio) {
  if (Concurrency == 0 || Concurrency > Levels_.size())
    return;
  Level &Entry = Levels_[Concurrency - 1];
  Entry.Ratio += Gain * (std::min(Ratio, RatioCap) - Entry.Ratio);
  ++Entry.Samples;
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
  if (Work < WorkBelow * UsefulGain)
    --Limit_;
}

} // namespace nutmegloom
