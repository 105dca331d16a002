#ifndef NUTMEGLOOM_BENCH_POLICY_BASELINESYSTEM_H
#define NUTMEGLOOM_BENCH_POLICY_BASELINESYSTEM_H

#include "bench/policy/sessions.h"

#include <deque>
#include <map>

namespace nutmegloom {

/// Nine hosts, each with a fixed share of every database's slots and a
/// first-in-first-out queue before it. Nothing is refused.
class BaselineSystem : public System {
public:
  BaselineSystem(EventQueue &Events, FakeService &Service, bool RandomReads);

  void submit(const WorkItem &Item, DoneFunction Done) override;

private:
  struct Waiting {
    WorkItem Item;
    WorkResult Result;
    std::uint64_t Required = 0;
    DoneFunction Done;
  };
  struct Share {
    std::uint32_t Running = 0;
    std::deque<Waiting> Queue;
  };

  void startNext(std::size_t ShareIndex, std::uint32_t Group,
                 std::uint32_t Member);
  void finish(Waiting &Work, std::uint32_t Group, std::uint32_t Member);

  EventQueue &Events_;
  FakeService &Service_;
  bool RandomReads_;
  std::uint32_t SharePerHost_;
  std::mt19937_64 Random_{7};
  Sessions Sessions_;
  std::vector<Share> Shares_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_BASELINESYSTEM_H
