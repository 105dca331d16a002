#include "bench/policy/eventqueue.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

void EventQueue::at(TimePoint When, std::function<void()> Function) {
  Events_.push({std::max(When, Now_), Sequence_++, std::move(Function)});
}

void EventQueue::runUntil(TimePoint End) {
  while (!Events_.empty() && Events_.top().When <= End) {
    Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.When;
    Next.Function();
  }
  Now_ = End;
}

} // namespace nutmegloom
