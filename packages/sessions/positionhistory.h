#ifndef NUTMEGLOOM_SESSIONS_POSITIONHISTORY_H
#define NUTMEGLOOM_SESSIONS_POSITIONHISTORY_H

#include "sessions/sessiontypes.h"

#include <deque>

namespace nutmegloom {

/// Log positions that a group's primary has reported, in the order of time.
///
/// A log that has reached the position reported by the primary in an exchange
/// that began at T contains every commit acknowledged before T. The oldest
/// sample that is not older than the maximum age therefore gives the lowest
/// position that bounds the age of a read.
class PositionHistory {
public:
  /// Adds a position from an exchange that began at BegunAt. Ignored if a later
  /// exchange has been added.
  void add(Position Reported, TimePoint BegunAt);
  /// Discards all positions, after a change of the primary.
  void clear() { Samples_.clear(); }

  /// Position that a log must have reached for a read of it to be no older than
  /// MaximumAge; nothing if all samples are too old.
  std::optional<Position> minimumPositionFor(Milliseconds MaximumAge,
                                             TimePoint Now) const;
  /// The latest position and the start of its exchange.
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
