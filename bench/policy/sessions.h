#ifndef NUTMEGLOOM_BENCH_POLICY_SESSIONS_H
#define NUTMEGLOOM_BENCH_POLICY_SESSIONS_H

#include "bench/policy/system.h"

#include <map>
#include <utility>

namespace nutmegloom {

/// The position of each session's last acknowledged write in each group, which
/// says what a read must hold.
class Sessions {
public:
  std::uint64_t required(const WorkItem &Item) const {
    const auto Found = Written_.find({Item.Session, Item.Group});
    return Found == Written_.end() ? 0 : Found->second;
  }
  void acknowledge(const WorkItem &Item, std::uint64_t Index) {
    std::uint64_t &Held = Written_[{Item.Session, Item.Group}];
    Held = std::max(Held, Index);
  }

private:
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::uint64_t> Written_;
};

/// True when the database's present state serves a read of the item.
inline bool isFreshEnough(const FakeDatabase &Database, const WorkItem &Item,
                          std::uint64_t Required) {
  return Database.applied() >= Required &&
         (!Item.MaximumAge || Database.age() <= *Item.MaximumAge);
}

/// True when a replica could serve the read now.
inline bool isReplicaAllowed(FakeService &Service, const WorkItem &Item,
                             std::uint64_t Required) {
  return isFreshEnough(Service.database(Item.Group, 1), Item, Required) ||
         isFreshEnough(Service.database(Item.Group, 2), Item, Required);
}

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_SESSIONS_H
