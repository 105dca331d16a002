#ifndef NUTMEGLOOM_CORE_WORKQUEUE_H
#define NUTMEGLOOM_CORE_WORKQUEUE_H

#include "core/types.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace nutmegloom {

/// Work that waits for a slot of a database.
struct ScheduledWork {
  TaskId Task = 0;
  std::string WorkClass;
  std::string Caller;
  std::uint64_t StatementDigest = 0;
  TimePoint Deadline;
};

/// Waiting work of one class. Callers take turns; each caller's own work is
/// served first in, first out.
class WorkQueue {
public:
  void push(const ScheduledWork &Work);
  /// Takes the next work. The queue must not be empty.
  ScheduledWork pop();
  bool remove(TaskId Task);
  /// Removes all work for which the predicate is true and returns its tasks.
  std::vector<TaskId>
  removeIf(const std::function<bool(const ScheduledWork &)> &Predicate);

  bool empty() const { return Size_ == 0; }
  std::size_t size() const { return Size_; }
  std::size_t callers() const { return Callers_.size(); }
  std::size_t sizeOf(const std::string &Caller) const;

  /// Weighted service that this queue has received. The queue with the lowest
  /// value is served next.
  double VirtualTime = 0;

private:
  std::unordered_map<std::string, std::deque<ScheduledWork>> Callers_;
  /// Callers with waiting work, in the order of their turns.
  std::deque<std::string> CallerOrder_;
  std::size_t Size_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_WORKQUEUE_H
