#include "core/confirmationqueue.h"

#include "core/termcheck.h"

#include <vector>

namespace nutmegloom {

void ConfirmationQueue::add(TaskId Task, const GroupId &Group,
                            std::uint64_t Term, std::optional<Position> Wanted,
                            Handler Done) {
  Entries_[Group].push_back(Entry{Task, Term, Wanted, std::move(Done)});
}

void ConfirmationQueue::remove(TaskId Task, const GroupId &Group) {
  const auto Found = Entries_.find(Group);
  if (Found != Entries_.end())
    std::erase_if(Found->second,
                  [Task](const Entry &Each) { return Each.Task == Task; });
}

bool ConfirmationQueue::isReplaced(const GroupId &Group,
                                   std::uint64_t Term) const {
  // A promised higher term alone doesn't replace the primary: the promoter may
  // have failed to fence a majority. The next primary is also what settles.
  const auto Found = Data_.Groups.find(Group);
  return Found == Data_.Groups.end() ||
         (Found->second.Term > Term && Found->second.Primary);
}

void ConfirmationQueue::check(TimePoint Now) {
  std::vector<std::pair<Handler, bool>> Ended;
  for (auto Group = Entries_.begin(); Group != Entries_.end();) {
    std::erase_if(Group->second, [&](Entry &Each) {
      if (isReplaced(Group->first, Each.Term)) {
        Ended.emplace_back(std::move(Each.Done), false);
        return true;
      }
      if (!Terms_.holds(Group->first, Each.Term, Now) ||
          (Each.Wanted &&
           !Terms_.isConfirmed(Group->first, Each.Term, *Each.Wanted)))
        return false;
      Ended.emplace_back(std::move(Each.Done), true);
      return true;
    });
    Group = Group->second.empty() ? Entries_.erase(Group) : std::next(Group);
  }
  for (const auto &[Done, Confirmed] : Ended)
    Done(Confirmed, Now);
}

} // namespace nutmegloom
