#ifndef NUTMEGLOOM_CORE_SCHEDULER_H
#define NUTMEGLOOM_CORE_SCHEDULER_H

#include "core/concurrencylimit.h"
#include "core/servicetimes.h"
#include "core/tables.h"
#include "core/workqueue.h"

#include <map>

namespace nutmegloom {

/// Why work was not admitted.
struct AdmissionRefusal {
  /// When a later try may be admitted.
  Milliseconds RetryAfter{0};
};

/// Admission, queues and slots of one database. Short work never waits behind
/// long work for the last slot, classes share by weight, callers share evenly
/// within a class, and work that can't be served in time is refused at once.
class Scheduler {
public:
  Scheduler(std::uint32_t Slots, const Policy &Limits);

  void setSlots(std::uint32_t Slots);

  /// Puts work into the queue, or refuses it when it can't be served in time.
  std::optional<AdmissionRefusal> submit(const ScheduledWork &Work,
                                         TimePoint Now);

  /// Takes the next work that may be sent now. The slot is held until
  /// finish is called.
  std::optional<TaskId> next(TimePoint Now);

  /// Removes work from the queue that can't end before its deadline any more
  /// and returns it.
  std::vector<TaskId> takeExpired(TimePoint Now);

  /// Removes waiting work, for example when its caller has gone.
  bool remove(TaskId Task);

  /// The work ended and its slot is free. Executed tells whether its time is
  /// a measure of the database's service time.
  void finish(TaskId Task, bool Executed, TimePoint Now);

  /// Time that new work is expected to wait.
  Milliseconds expectedWait(const ScheduledWork &Work, TimePoint Now) const;

  /// Learned service time of a shape.
  Milliseconds serviceTimeOf(std::uint64_t StatementDigest) const;

  std::size_t waiting() const;
  std::size_t running() const { return Running_.size(); }

private:
  struct Running {
    std::uint64_t StatementDigest = 0;
    TimePoint StartedAt;
    /// Statements under way when it started; 0: not a measure of the slots.
    std::uint32_t Concurrency = 0;
    bool Long = false;
  };

  std::size_t classIndexOf(const std::string &Name) const;
  std::uint32_t weightOf(std::size_t ClassIndex) const;
  bool isTopClass(std::size_t ClassIndex) const;
  std::uint32_t longLimit() const;
  /// Statements that are not long and may be under way while LongNow are.
  std::uint32_t shortLimit(std::uint32_t LongRunning) const;
  std::uint32_t countLongRunning(TimePoint Now) const;
  double waitMilliseconds(const ScheduledWork &Work, TimePoint Now) const;
  bool isTooLate(const ScheduledWork &Work, TimePoint Now) const;
  WorkQueue *nextQueue(TimePoint Now);
  TaskId start(const ScheduledWork &Work, bool Long, TimePoint Now);

  const Policy &Limits_;
  std::uint32_t Slots_;
  ConcurrencyLimit Concurrency_;
  ServiceTimes Times_;
  /// One queue for each class, and one for long work of all classes.
  std::vector<WorkQueue> Short_;
  WorkQueue Long_;
  /// Virtual time of the queue that was served last.
  double VirtualTime_ = 0;
  /// Work that was found too late when its turn came.
  std::vector<TaskId> Expired_;
  std::optional<TimePoint> LastSweep_;
  std::map<TaskId, Running> Running_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_SCHEDULER_H
