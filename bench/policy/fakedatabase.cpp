#include "bench/policy/fakedatabase.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

std::uint64_t FakeLog::indexAt(TimePoint When) const {
  const auto After = std::upper_bound(Times_.begin(), Times_.end(), When);
  return static_cast<std::uint64_t>(After - Times_.begin());
}

FakeDatabase::FakeDatabase(EventQueue &Events, FakeLog &Log,
                           std::uint32_t Slots, bool Primary, Duration ApplyLag,
                           Duration ReceiveLag)
    : Events_(Events), Log_(Log), Slots_(Slots), Primary_(Primary),
      ApplyLag_(ApplyLag + ReceiveLag), ReceiveLag_(ReceiveLag) {}

std::uint64_t FakeDatabase::applied() const {
  return Primary_ ? Log_.last() : Log_.indexAt(Events_.now() - ApplyLag_);
}

std::uint64_t FakeDatabase::received() const {
  return Primary_ ? Log_.last() : Log_.indexAt(Events_.now() - ReceiveLag_);
}

void FakeDatabase::run(double WorkMilliseconds, std::function<void()> Done) {
  Job Next{WorkMilliseconds, std::move(Done)};
  if (Busy_ >= Slots_) {
    Waiting_.push_back(std::move(Next));
    return;
  }
  start(std::move(Next));
}

void FakeDatabase::start(Job Next) {
  ++Busy_;
  const auto Span = std::chrono::microseconds(
      static_cast<std::int64_t>(Next.WorkMilliseconds * 1000));
  Events_.after(Span, [this, Done = std::move(Next.Done)] {
    --Busy_;
    if (!Waiting_.empty()) {
      Job Following = std::move(Waiting_.front());
      Waiting_.pop_front();
      start(std::move(Following));
    }
    Done();
  });
}

} // namespace nutmegloom
