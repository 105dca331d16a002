#ifndef NUTMEGLOOM_CORE_WORKQUEUE_H
#define NUTMEGLOOM_CORE_WORKQUEUE_H

#include "core/types.h"

#include <deque>
#include <functional>
#include <unordered_map>

namespace nutmegloom {

/// A request that waits for a slot of a database.
struct ScheduledWork {
  TaskId Task = 0;
  std::string WorkClass;
  std::string Caller;
  std::uint64_t StatementDigest = 0;
  TimePoint Deadline;
};

/// Waiting requests of one priority class. Callers are served round-robin, and
/// the requests of one caller in order of arrival.
class WorkQueue {
public:
  void push(const ScheduledWork &Work);
  /// Removes and returns the next request. The queue must not be empty.
  ScheduledWork pop();
  bool remove(TaskId Task);
  /// Removes all requests that match the predicate and returns their tasks.
  std::vector<TaskId>
  removeIf(const std::function<bool(const ScheduledWork &)> &Predicate);

  bool empty() const { return Size_ == 0; }
  std::size_t size() const { return Size_; }
  std::size_t callers() const { return Callers_.size(); }
  std::size_t sizeOf(const std::string &Caller) const;

  /// Service that this queue has received, divided by its weight. The queue
  /// with the lowest value is served next (weighted fair queueing).
  double VirtualTime = 0;

private:
  std::unordered_map<std::string, std::deque<ScheduledWork>> Callers_;
  /// Callers with waiting requests, in round-robin order.
  std::deque<std::string> CallerOrder_;
  std::size_t Size_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_WORKQUEUE_H
