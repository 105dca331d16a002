#include "core/confirmationqueue.h"

#include "core/termcheck.h"

#include <vector>

namespace nutmegloom {

void ConfirmationQueue::add(TaskId Task, const GroupId &Group,
                            std::uint64_t Term,
                            std::optional<Position> RequiredPosition,
                            Handler Done) {
  GroupQueue &Target = Groups_[Group];
  Target.HasNewEntry = true;
  Target.Entries.push_back(
      Entry{Task, Term, RequiredPosition, std::move(Done), false});
}

void ConfirmationQueue::remove(TaskId Task, const GroupId &Group) {
  const auto Found = Groups_.find(Group);
  if (Found != Groups_.end())
    std::erase_if(Found->second.Entries,
                  [Task](const Entry &Each) { return Each.Task == Task; });
}

void ConfirmationQueue::onStatus(const GroupId &Group) {
  const auto Found = Groups_.find(Group);
  if (Found != Groups_.end())
    Found->second.HasNewStatus = true;
}

bool ConfirmationQueue::isPrimaryReplaced(const GroupId &Group,
                                          std::uint64_t Term) const {
  // A higher promised term alone does not mean that the primary is replaced:
  // the host that runs the failover may have failed to fence a majority. The
  // new primary must also be known, because the outcome of an unconfirmed write
  // is resolved there.
  const auto Found = Data_.Groups.find(Group);
  return Found == Data_.Groups.end() ||
         (Found->second.Term > Term && Found->second.Primary);
}

bool ConfirmationQueue::isDecided(const GroupId &Group, const Entry &Each,
                                  bool &Confirmed, TimePoint Now) const {
  if (isPrimaryReplaced(Group, Each.Term)) {
    Confirmed = false;
    return true;
  }
  Confirmed = Terms_.hasRecentMajority(Group, Each.Term, Now) &&
              (!Each.RequiredPosition ||
               Terms_.isConfirmed(Group, Each.Term, *Each.RequiredPosition));
  return Confirmed;
}

void ConfirmationQueue::processDecided(TimePoint Now) {
  std::vector<std::pair<Handler, bool>> Decided;
  for (auto Group = Groups_.begin(); Group != Groups_.end();) {
    // An entry that was checked before can be decided only by a new status.
    // Checking all entries after each event would cost more than the requests
    // themselves.
    GroupQueue &Target = Group->second;
    if (Target.HasNewEntry || Target.HasNewStatus)
      std::erase_if(Target.Entries, [&](Entry &Each) {
        bool Confirmed = false;
        if ((Each.Checked && !Target.HasNewStatus) ||
            !isDecided(Group->first, Each, Confirmed, Now)) {
          Each.Checked = true;
          return false;
        }
        Decided.emplace_back(std::move(Each.Done), Confirmed);
        return true;
      });
    Target.HasNewEntry = Target.HasNewStatus = false;
    Group = Target.Entries.empty() ? Groups_.erase(Group) : std::next(Group);
  }
  for (const auto &[Done, Confirmed] : Decided)
    Done(Confirmed, Now);
}

} // namespace nutmegloom
