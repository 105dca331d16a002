#include "sessions/positionhistory.h"

#include <algorithm>

namespace nutmegloom {

namespace {

constexpr Milliseconds SampleSpacing{25};
constexpr std::size_t MaximumSamples = 256;
/// Reserved for a read's way to its database.
constexpr Milliseconds SendingMargin{120};

} // namespace

void PositionHistory::add(Position Reported, TimePoint BegunAt) {
  if (!Samples_.empty() && BegunAt < Samples_.back().BegunAt)
    return;
  // The latest sample is always kept; earlier ones are kept at intervals of at
  // least SampleSpacing.
  std::size_t Count = Samples_.size();
  if (Count >= 2 &&
      Samples_[Count - 1].BegunAt - Samples_[Count - 2].BegunAt < SampleSpacing)
    Samples_.pop_back();
  Samples_.push_back({Reported, BegunAt});
  if (Samples_.size() > MaximumSamples)
    Samples_.pop_front();
}

std::optional<Position>
PositionHistory::minimumPositionFor(Milliseconds MaximumAge,
                                    TimePoint Now) const {
  TimePoint Oldest = Now - MaximumAge + SendingMargin;
  auto Found = std::lower_bound(
      Samples_.begin(), Samples_.end(), Oldest,
      [](const Sample &S, TimePoint Time) { return S.BegunAt < Time; });
  if (Found == Samples_.end())
    return std::nullopt;
  return Found->At;
}

std::optional<std::pair<Position, TimePoint>> PositionHistory::latest() const {
  if (Samples_.empty())
    return std::nullopt;
  return std::pair{Samples_.back().At, Samples_.back().BegunAt};
}

} // namespace nutmegloom
