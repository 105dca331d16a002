#include "core/scheduler.h"

#include <algorithm>
#include <cmath>

namespace nutmegloom {

/// Weight of a new measurement in the learned service time.
static constexpr double ServiceTimeGain = 0.2;
static constexpr double InitialServiceMilliseconds = 5.0;

static double toMilliseconds(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

Scheduler::Scheduler(std::uint32_t Slots, const Policy &Limits)
    : Slots_(Slots), Limits_(Limits) {}

void Scheduler::setSlots(std::uint32_t Slots) { Slots_ = Slots; }

std::optional<AdmissionRefusal> Scheduler::submit(const ScheduledWork &Work,
                                                  TimePoint Now) {
  const Milliseconds Wait = expectedWait(Work.Shape, Now);
  if (Queue_.size() >= Limits_.WaitingRequests || Now + Wait > Work.Deadline)
    return AdmissionRefusal{std::max(Wait, Milliseconds(1))};
  Queue_.push_back(Work);
  return std::nullopt;
}

std::optional<TaskId> Scheduler::next(TimePoint Now) {
  if (Running_.size() >= Slots_ || Queue_.empty())
    return std::nullopt;
  ScheduledWork Work = Queue_.front();
  Queue_.pop_front();
  const TaskId Task = Work.Task;
  Running_[Task] = Running{std::move(Work), Now};
  return Task;
}

std::vector<TaskId> Scheduler::takeExpired(TimePoint Now) {
  std::vector<TaskId> Expired;
  std::erase_if(Queue_, [&](const ScheduledWork &Work) {
    if (Work.Deadline > Now)
      return false;
    Expired.push_back(Work.Task);
    return true;
  });
  return Expired;
}

bool Scheduler::remove(TaskId Task) {
  return std::erase_if(Queue_, [Task](const ScheduledWork &Work) {
           return Work.Task == Task;
         }) > 0;
}

void Scheduler::finish(TaskId Task, bool Executed, TimePoint Now) {
  const auto Found = Running_.find(Task);
  if (Found == Running_.end())
    return;
  if (Executed) {
    const double Sample = toMilliseconds(Now - Found->second.StartedAt);
    const auto [Entry, Inserted] =
        ServiceMilliseconds_.try_emplace(Found->second.Work.Shape, Sample);
    if (!Inserted)
      Entry->second += ServiceTimeGain * (Sample - Entry->second);
  }
  Running_.erase(Found);
}

Milliseconds Scheduler::expectedWait(std::uint64_t Shape, TimePoint) const {
  if (Running_.size() < Slots_ && Queue_.empty())
    return Milliseconds(0);
  const double Ahead = static_cast<double>(Queue_.size() + 1);
  const double Service = static_cast<double>(serviceTimeOf(Shape).count());
  return Milliseconds(std::llround(std::ceil(Ahead * Service / Slots_)));
}

Milliseconds Scheduler::serviceTimeOf(std::uint64_t Shape) const {
  const auto Found = ServiceMilliseconds_.find(Shape);
  const double Service = Found == ServiceMilliseconds_.end()
                             ? InitialServiceMilliseconds
                             : Found->second;
  return Milliseconds(std::llround(std::ceil(Service)));
}

std::size_t Scheduler::waiting() const { return Queue_.size(); }
std::size_t Scheduler::running() const { return Running_.size(); }

} // namespace nutmegloom
