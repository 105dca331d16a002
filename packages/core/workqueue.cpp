#include "core/workqueue.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

void WorkQueue::push(const ScheduledWork &Work) {
  std::deque<ScheduledWork> &Own = Callers_[Work.Caller];
  if (Own.empty())
    CallerOrder_.push_back(Work.Caller);
  Own.push_back(Work);
  ++Size_;
}

ScheduledWork WorkQueue::pop() {
  std::string Caller = std::move(CallerOrder_.front());
  CallerOrder_.pop_front();
  const auto Found = Callers_.find(Caller);
  ScheduledWork Work = std::move(Found->second.front());
  Found->second.pop_front();
  --Size_;
  if (Found->second.empty())
    Callers_.erase(Found);
  else
    CallerOrder_.push_back(std::move(Caller));
  return Work;
}

bool WorkQueue::remove(TaskId Task) {
  return !removeIf([Task](const ScheduledWork &Work) {
            return Work.Task == Task;
          }).empty();
}

std::vector<TaskId> WorkQueue::removeIf(
    const std::function<bool(const ScheduledWork &)> &Predicate) {
  std::vector<TaskId> Removed;
  for (auto Entry = Callers_.begin(); Entry != Callers_.end();) {
    std::erase_if(Entry->second, [&](const ScheduledWork &Work) {
      if (!Predicate(Work))
        return false;
      Removed.push_back(Work.Task);
      return true;
    });
    if (!Entry->second.empty()) {
      ++Entry;
      continue;
    }
    std::erase(CallerOrder_, Entry->first);
    Entry = Callers_.erase(Entry);
  }
  Size_ -= Removed.size();
  return Removed;
}

std::size_t WorkQueue::sizeOf(const std::string &Caller) const {
  const auto Found = Callers_.find(Caller);
  return Found == Callers_.end() ? 0 : Found->second.size();
}

} // namespace nutmegloom
