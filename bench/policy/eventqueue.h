#ifndef NUTMEGLOOM_BENCH_POLICY_EVENTQUEUE_H
#define NUTMEGLOOM_BENCH_POLICY_EVENTQUEUE_H

#include "core/types.h"

#include <functional>
#include <queue>

namespace nutmegloom {

/// Runs functions in the order of their given times.
class EventQueue {
public:
  TimePoint now() const { return Now_; }

  void at(TimePoint When, std::function<void()> Function);
  void after(Duration Delay, std::function<void()> Function) {
    at(Now_ + Delay, std::move(Function));
  }
  /// Runs everything that is due up to and including the time.
  void runUntil(TimePoint End);

private:
  struct Event {
    TimePoint When;
    std::uint64_t Sequence = 0;
    std::function<void()> Function;
  };
  struct Later {
    bool operator()(const Event &Left, const Event &Right) const {
      if (Left.When != Right.When)
        return Left.When > Right.When;
      return Left.Sequence > Right.Sequence;
    }
  };
  TimePoint Now_{std::chrono::hours(1)};
  std::uint64_t Sequence_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> Events_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_EVENTQUEUE_H
