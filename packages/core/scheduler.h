#ifndef NUTMEGLOOM_CORE_SCHEDULER_H
#define NUTMEGLOOM_CORE_SCHEDULER_H

#include "core/concurrencylimit.h"
#include "core/servicetimes.h"
#include "core/tables.h"
#include "core/workqueue.h"

#include <map>

namespace nutmegloom {

/// Refusal of a request that was not admitted to the queue.
struct AdmissionRefusal {
  /// Suggested delay before a retry.
  Milliseconds RetryAfter{0};
};

/// Admission control, queues and slots of one database. Long statements may
/// hold only a part of the slots, priority classes share by weight, callers
/// share evenly within a class, and requests that cannot be served in time are
/// refused at once.
class Scheduler {
public:
  Scheduler(std::uint32_t Slots, const Policy &Limits);

  void setSlots(std::uint32_t Slots);

  /// Queues a request, or refuses it if the queue is full or the request cannot
  /// be served in time.
  std::optional<AdmissionRefusal> submit(const ScheduledWork &Work,
                                         TimePoint Now);

  /// Removes and returns the next request that may be sent now. It holds a slot
  /// until finish() is called.
  std::optional<TaskId> next(TimePoint Now);

  /// Removes and returns queued requests that can no longer finish before their
  /// deadlines.
  std::vector<TaskId> takeTooLate(TimePoint Now);

  /// Removes a queued request, for example when its caller has disconnected.
  /// Returns false if the request is not queued.
  bool remove(TaskId Task);

  /// Releases the slot of a request. If Executed is true, the time since the
  /// start is recorded as a service time.
  void finish(TaskId Task, bool Executed, TimePoint Now);

  /// Expected waiting time of a new request.
  Milliseconds expectedWait(const ScheduledWork &Work, TimePoint Now) const;

  /// Mean service time of a statement digest.
  Milliseconds serviceTimeOf(std::uint64_t StatementDigest) const;

  std::size_t waiting() const;
  std::size_t running() const { return Running_.size(); }

private:
  struct Running {
    std::uint64_t StatementDigest = 0;
    TimePoint StartedAt;
    /// Number of running statements when this one started, itself included.
    /// Zero excludes its service time from ConcurrencyLimit.
    std::uint32_t Concurrency = 0;
    bool Long = false;
  };

  std::size_t classIndexOf(const std::string &Name) const;
  std::uint32_t weightOf(std::size_t ClassIndex) const;
  /// True if the class has a greater weight than all other classes.
  bool isTopClass(std::size_t ClassIndex) const;
  std::uint32_t longStatementLimit() const;
  /// Maximum number of short statements while LongRunning long ones run.
  std::uint32_t shortStatementLimit(std::uint32_t LongRunning) const;
  /// Number of running statements that are long by their digest or by the time
  /// for which they have run.
  std::uint32_t countLongRunning(TimePoint Now) const;
  double waitMilliseconds(const ScheduledWork &Work, TimePoint Now) const;
  bool isTooLate(const ScheduledWork &Work, TimePoint Now) const;
  WorkQueue *nextQueue(TimePoint Now);
  TaskId start(const ScheduledWork &Work, bool Long, TimePoint Now);

  const Policy &Limits_;
  std::uint32_t Slots_;
  ConcurrencyLimit Concurrency_;
  ServiceTimes Times_;
  /// Queues of short statements, one for each class. Long statements of all
  /// classes share LongQueue_.
  std::vector<WorkQueue> ShortQueues_;
  WorkQueue LongQueue_;
  /// Virtual time of the queue that was served last.
  double VirtualTime_ = 0;
  /// Requests that were too late when they were about to start.
  std::vector<TaskId> TooLate_;
  std::optional<TimePoint> LastSweep_;
  std::map<TaskId, Running> Running_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_SCHEDULER_H
