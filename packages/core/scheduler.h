#ifndef NUTMEGLOOM_CORE_SCHEDULER_H
#define NUTMEGLOOM_CORE_SCHEDULER_H

#include "core/tables.h"

#include <deque>
#include <map>

namespace nutmegloom {

/// Work that waits for a slot of a database.
struct ScheduledWork {
  TaskId Task = 0;
  std::string WorkClass;
  std::string Caller;
  std::uint64_t Shape = 0;
  TimePoint Deadline;
};

/// Why work was not admitted.
struct AdmissionRefusal {
  /// When a later try may be admitted.
  Milliseconds RetryAfter{0};
};

/// Admission, queue and slots of one database.
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

  /// Removes work from the queue whose deadline has passed and returns it.
  std::vector<TaskId> takeExpired(TimePoint Now);

  /// Removes waiting work, for example when its caller has gone.
  bool remove(TaskId Task);

  /// The work ended and its slot is free. Executed tells whether its time is
  /// a measure of the database's service time.
  void finish(TaskId Task, bool Executed, TimePoint Now);

  /// Time that new work of this shape is expected to wait.
  Milliseconds expectedWait(std::uint64_t Shape, TimePoint Now) const;

  /// Learnt service time of a shape.
  Milliseconds serviceTimeOf(std::uint64_t Shape) const;

  std::size_t waiting() const;
  std::size_t running() const;

private:
  struct Running {
    ScheduledWork Work;
    TimePoint StartedAt;
  };
  std::uint32_t Slots_;
  const Policy &Limits_;
  std::deque<ScheduledWork> Queue_;
  std::map<TaskId, Running> Running_;
  std::map<std::uint64_t, double> ServiceMilliseconds_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_SCHEDULER_H
