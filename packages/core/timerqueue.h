#ifndef NUTMEGLOOM_CORE_TIMERQUEUE_H
#define NUTMEGLOOM_CORE_TIMERQUEUE_H

#include "core/types.h"

#include <set>
#include <utility>

namespace nutmegloom {

/// Tasks ordered by the time at which they are due.
class TimerQueue {
public:
  void add(TimePoint At, TaskId Task) { Entries_.emplace(At, Task); }
  void remove(TimePoint At, TaskId Task) { Entries_.erase({At, Task}); }

  /// Removes and returns the earliest task if it is due.
  std::optional<TaskId> takeDue(TimePoint Now) {
    if (Entries_.empty() || Entries_.begin()->first > Now)
      return std::nullopt;
    const TaskId Task = Entries_.begin()->second;
    Entries_.erase(Entries_.begin());
    return Task;
  }

private:
  std::set<std::pair<TimePoint, TaskId>> Entries_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TIMERQUEUE_H
