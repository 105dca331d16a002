#ifndef NUTMEGLOOM_SESSIONS_POSITIONHISTORY_H
#define NUTMEGLOOM_SESSIONS_POSITIONHISTORY_H

#include "sessions/sessiontypes.h"

#include <deque>

namespace nutmegloom {

/// Positions that a group's primary has reported, by time.
///
/// A log that holds the position reported by the primary in an exchange begun
/// at T holds every commit acknowledged before T. The oldest sample that is
/// still young enough therefore is the weakest position that bounds the age
/// of a read.
class PositionHistory {
public:
  /// The primary reported Reported in an exchange that began at BegunAt.
  void add(Position Reported, TimePoint BegunAt);
  /// Another database leads: what was said of the old log no longer counts.
  void clear() { Samples_.clear(); }

  /// Position that a log must hold so that a read of it is no older than
  /// MaximumAge. Nothing: no sample is young enough.
  std::optional<Position> minimumPositionFor(Milliseconds MaximumAge,
                                             TimePoint Now) const;
  /// Youngest sample.
  std::optional<std::pair<Position, TimePoint>> latest() const;

private:
  struct Sample {
    Position At;
    TimePoint BegunAt;
  };
  std::deque<Sample> Samples_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_POSITIONHISTORY_H
