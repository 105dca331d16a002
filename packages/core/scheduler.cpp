#include "core/scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegloom {

/// Longest expected wait at which a request of the top class is admitted, as a
/// multiple of the mean service time. It keeps the class's tail latency close
/// to that at low load.
static constexpr double TopClassWaitFactor = 1.0;
/// Longest expected wait at which a request is admitted, as a fraction of the
/// time to its deadline. It is below 1 because the expected wait is only an
/// estimate, and a late refusal costs the caller more than an early one.
static constexpr double MaximumWaitFraction = 0.5;
/// Fraction of the queue that is reserved for the top class.
static constexpr double ReservedQueueFraction = 0.25;
/// Fraction of the slots that long statements may hold.
static constexpr double LongSlotFraction = 0.4;

/// Interval at which the queues are searched for requests that are too late.
static constexpr Milliseconds SweepInterval{5};

static Milliseconds roundUp(double Value) {
  return Milliseconds(std::llround(std::ceil(Value)));
}

Scheduler::Scheduler(std::uint32_t Slots, const Policy &Limits)
    : Limits_(Limits), Slots_(std::max(Slots, 1U)), Concurrency_(Slots) {}

void Scheduler::setSlots(std::uint32_t Slots) {
  Slots_ = std::max(Slots, 1U);
  Concurrency_.setSlots(Slots);
}

std::size_t Scheduler::classIndexOf(const std::string &Name) const {
  const auto &Classes = Limits_.Classes;
  const auto Found = std::find_if(
      Classes.begin(), Classes.end(),
      [&](const Policy::WorkClass &Entry) { return Entry.Name == Name; });
  // Requests without a known class use the last class.
  if (Found == Classes.end())
    return Classes.empty() ? 0 : Classes.size() - 1;
  return static_cast<std::size_t>(Found - Classes.begin());
}

std::uint32_t Scheduler::weightOf(std::size_t ClassIndex) const {
  if (ClassIndex >= Limits_.Classes.size())
    return 1;
  return std::max(Limits_.Classes[ClassIndex].Weight, 1U);
}

bool Scheduler::isTopClass(std::size_t ClassIndex) const {
  if (ClassIndex >= Limits_.Classes.size() || Limits_.Classes.size() < 2)
    return false;
  const auto AtLeastAsHeavy =
      std::count_if(Limits_.Classes.begin(), Limits_.Classes.end(),
                    [&](const Policy::WorkClass &Entry) {
                      return Entry.Weight >= weightOf(ClassIndex);
                    });
  return AtLeastAsHeavy == 1;
}

std::uint32_t Scheduler::longStatementLimit() const {
  if (Slots_ <= 2)
    return 1;
  return std::max(1U, static_cast<std::uint32_t>(Slots_ * LongSlotFraction));
}

std::uint32_t Scheduler::shortStatementLimit(std::uint32_t LongRunning) const {
  // The concurrency limit is greater than the number of slots, because it also
  // covers the time that statements spend on the network. It is reduced by the
  // fraction of slots that long statements hold.
  const std::uint32_t Free = Slots_ > LongRunning ? Slots_ - LongRunning : 0;
  return std::max(1U, Concurrency_.limit() * Free / std::max(Slots_, 1U));
}

std::uint32_t Scheduler::countLongRunning(TimePoint Now) const {
  return static_cast<std::uint32_t>(
      std::count_if(Running_.begin(), Running_.end(), [&](const auto &Entry) {
        return Entry.second.Long ||
               Times_.isLongAge(toMilliseconds(Now - Entry.second.StartedAt));
      }));
}

double Scheduler::waitMilliseconds(const ScheduledWork &Work,
                                   TimePoint Now) const {
  const std::uint32_t LongRunning = countLongRunning(Now);
  const std::uint32_t Limit = shortStatementLimit(LongRunning);
  const std::size_t ShortRunning = Running_.size() - LongRunning;
  if (Times_.isLong(Work.StatementDigest)) {
    if (LongQueue_.empty() && LongRunning < longStatementLimit())
      return 0;
    return static_cast<double>(LongQueue_.size() + 1) *
           Times_.meanOf(Work.StatementDigest) / longStatementLimit();
  }

  const std::size_t Index = classIndexOf(Work.WorkClass);
  const bool Known = Index < ShortQueues_.size();
  const std::size_t Waiting = Known ? ShortQueues_[Index].size() : 0;
  if (Waiting == 0 && ShortRunning < Limit)
    return 0;
  // Callers are served round-robin: each request of this caller waits for one
  // request of each other caller.
  const std::size_t Callers = Known ? ShortQueues_[Index].callers() + 1 : 1;
  const std::size_t Own = Known ? ShortQueues_[Index].sizeOf(Work.Caller) : 0;
  const std::size_t Ahead = std::min(Waiting, Callers * (Own + 1));

  double Weights = weightOf(Index);
  for (std::size_t Other = 0; Other < ShortQueues_.size(); ++Other) {
    if (Other != Index && !ShortQueues_[Other].empty())
      Weights += weightOf(Other);
  }
  const double Share = Limit * weightOf(Index) / Weights;
  return Times_.shortMean() *
         (1.0 / Limit + static_cast<double>(Ahead) / Share);
}

Milliseconds Scheduler::expectedWait(const ScheduledWork &Work,
                                     TimePoint Now) const {
  return roundUp(waitMilliseconds(Work, Now));
}

Milliseconds Scheduler::serviceTimeOf(std::uint64_t StatementDigest) const {
  return roundUp(Times_.meanOf(StatementDigest));
}

std::optional<AdmissionRefusal> Scheduler::submit(const ScheduledWork &Work,
                                                  TimePoint Now) {
  const std::size_t Index = classIndexOf(Work.WorkClass);
  const bool First = isTopClass(Index);
  const double Wait = waitMilliseconds(Work, Now);
  const double TimeLeft = toMilliseconds(Work.Deadline - Now);
  double Bound = TimeLeft * MaximumWaitFraction;
  if (First && !Times_.isLong(Work.StatementDigest))
    Bound = std::min(Bound, Times_.shortMean() * TopClassWaitFactor);
  const double Capacity =
      Limits_.WaitingRequests * (First ? 1.0 : 1.0 - ReservedQueueFraction);
  const bool Full = static_cast<double>(waiting()) >= Capacity;
  const bool TooLate = Wait + Times_.meanOf(Work.StatementDigest) > TimeLeft;
  if (Full || TooLate || Wait > Bound)
    return AdmissionRefusal{std::max(roundUp(Wait), Milliseconds(1))};

  WorkQueue *Queue = &LongQueue_;
  if (!Times_.isLong(Work.StatementDigest)) {
    if (ShortQueues_.size() <= Index)
      ShortQueues_.resize(std::max(Limits_.Classes.size(), Index + 1));
    Queue = &ShortQueues_[Index];
  }
  // An idle queue must not accumulate credit for service that it did not use.
  if (Queue->empty())
    Queue->VirtualTime = std::max(Queue->VirtualTime, VirtualTime_);
  Queue->push(Work);
  return std::nullopt;
}

bool Scheduler::isTooLate(const ScheduledWork &Work, TimePoint Now) const {
  return toMilliseconds(Work.Deadline - Now) <=
         Times_.meanOf(Work.StatementDigest);
}

TaskId Scheduler::start(const ScheduledWork &Work, bool Long, TimePoint Now) {
  Running Entry;
  Entry.StatementDigest = Work.StatementDigest;
  Entry.StartedAt = Now;
  // While long statements hold slots, the service times of short ones do not
  // show how many short statements the database can run concurrently.
  if (!Long && countLongRunning(Now) == 0)
    Entry.Concurrency = static_cast<std::uint32_t>(Running_.size() + 1);
  Entry.Long = Long;
  Running_[Work.Task] = Entry;
  return Work.Task;
}

WorkQueue *Scheduler::nextQueue(TimePoint Now) {
  const std::uint32_t LongRunning = countLongRunning(Now);
  WorkQueue *Best = nullptr;
  if (Running_.size() - LongRunning < shortStatementLimit(LongRunning)) {
    for (WorkQueue &Queue : ShortQueues_) {
      if (!Queue.empty() && (!Best || Queue.VirtualTime < Best->VirtualTime))
        Best = &Queue;
    }
  }
  const bool LongMayStart = !LongQueue_.empty() &&
                            LongRunning < longStatementLimit() &&
                            Running_.size() < Concurrency_.limit();
  if (LongMayStart && (!Best || LongQueue_.VirtualTime < Best->VirtualTime))
    return &LongQueue_;
  return Best;
}

std::optional<TaskId> Scheduler::next(TimePoint Now) {
  while (WorkQueue *Queue = nextQueue(Now)) {
    const bool Long = Queue == &LongQueue_;
    const ScheduledWork Work = Queue->pop();
    if (isTooLate(Work, Now)) {
      TooLate_.push_back(Work.Task);
      continue;
    }
    const std::uint32_t Weight =
        Long ? 1 : weightOf(classIndexOf(Work.WorkClass));
    VirtualTime_ = Queue->VirtualTime;
    Queue->VirtualTime += Times_.meanOf(Work.StatementDigest) / Weight;
    return start(Work, Long, Now);
  }
  return std::nullopt;
}

std::vector<TaskId> Scheduler::takeTooLate(TimePoint Now) {
  std::vector<TaskId> Expired = std::exchange(TooLate_, {});
  // Searching the queues after each event would cost more than the requests
  // themselves.
  if (LastSweep_ && Now - *LastSweep_ < SweepInterval)
    return Expired;
  LastSweep_ = Now;
  const auto TooLate = [&](const ScheduledWork &Work) {
    return isTooLate(Work, Now);
  };
  const auto Sweep = [&](WorkQueue &Queue) {
    const std::vector<TaskId> More = Queue.removeIf(TooLate);
    Expired.insert(Expired.end(), More.begin(), More.end());
  };
  Sweep(LongQueue_);
  std::for_each(ShortQueues_.begin(), ShortQueues_.end(), Sweep);
  return Expired;
}

bool Scheduler::remove(TaskId Task) {
  return LongQueue_.remove(Task) ||
         std::any_of(ShortQueues_.begin(), ShortQueues_.end(),
                     [Task](WorkQueue &Queue) { return Queue.remove(Task); });
}

void Scheduler::finish(TaskId Task, bool Executed, TimePoint Now) {
  const auto Found = Running_.find(Task);
  if (Found == Running_.end())
    return;
  if (Executed) {
    const Running &Entry = Found->second;
    const double Sample = toMilliseconds(Now - Entry.StartedAt);
    const double Mean = Times_.meanOf(Entry.StatementDigest);
    if (Mean > 0)
      Concurrency_.add(Entry.Concurrency, Sample / Mean);
    Times_.add(Entry.StatementDigest, Sample);
  }
  Running_.erase(Found);
}

std::size_t Scheduler::waiting() const {
  std::size_t Count = LongQueue_.size();
  for (const WorkQueue &Queue : ShortQueues_)
    Count += Queue.size();
  return Count;
}

} // namespace nutmegloom
