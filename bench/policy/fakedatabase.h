#ifndef NUTMEGLOOM_BENCH_POLICY_FAKEDATABASE_H
#define NUTMEGLOOM_BENCH_POLICY_FAKEDATABASE_H

#include "bench/policy/eventqueue.h"

#include <deque>

namespace nutmegloom {

/// The log of a group with one primary: when each index was written.
class FakeLog {
public:
  std::uint64_t append(TimePoint Now) {
    Times_.push_back(Now);
    return Times_.size();
  }
  /// Last index that was written at or before the time.
  std::uint64_t indexAt(TimePoint When) const;
  std::uint64_t last() const { return Times_.size(); }

private:
  std::vector<TimePoint> Times_;
};

/// A database: slots with a first-in-first-out queue before them, and a view
/// of the group's log that lags.
class FakeDatabase {
public:
  FakeDatabase(EventQueue &Events, FakeLog &Log, std::uint32_t Slots,
               bool Primary, Duration ApplyLag, Duration ReceiveLag);

  /// Runs work in a slot; the function is called when it ends.
  void run(double WorkMilliseconds, std::function<void()> Done);

  bool isPrimary() const { return Primary_; }
  std::uint64_t applied() const;
  std::uint64_t received() const;
  Duration age() const { return Primary_ ? Duration(0) : ApplyLag_; }
  FakeLog &log() { return Log_; }

private:
  struct Job {
    double WorkMilliseconds = 0;
    std::function<void()> Done;
  };
  void start(Job Next);

  EventQueue &Events_;
  FakeLog &Log_;
  std::uint32_t Slots_;
  bool Primary_;
  Duration ApplyLag_;
  Duration ReceiveLag_;
  std::uint32_t Busy_ = 0;
  std::deque<Job> Waiting_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_FAKEDATABASE_H
