#include "core/groupaccess.h"

#include "core/ownership.h"
#include "core/termcheck.h"

namespace nutmegloom {

GroupAccess::GroupAccess(const Tables &Data, const OwnershipSystem &Owners,
                         const TermCheck &Terms, HostName Self,
                         RegionName Region)
    : Data_(Data), Owners_(Owners), Terms_(Terms), Self_(std::move(Self)),
      Region_(std::move(Region)) {}

const GroupEntity *GroupAccess::findGroup(const GroupId &Group) const {
  const auto Found = Data_.Groups.find(Group);
  return Found == Data_.Groups.end() ? nullptr : &Found->second;
}

const DatabaseEntity *
GroupAccess::findDatabase(const DatabaseId &Database) const {
  const auto Found = Data_.Databases.find(Database);
  return Found == Data_.Databases.end() ? nullptr : &Found->second;
}

bool GroupAccess::serves(const GroupId &Group, const RegionName &Region) const {
  if (Region == Region_)
    return true;
  const auto [Entry, Inserted] =
      ServedRegions_.try_emplace({Group, Region}, false);
  if (Inserted) {
    // rankedHosts() also returns hosts of other regions, so a region without
    // live hosts is served by the first of these.
    const std::vector<HostName> Owners = Owners_.rankedHosts(Group, Region);
    Entry->second = Owners.empty() || Owners.front() == Self_;
  }
  return Entry->second;
}

PrimaryAccess GroupAccess::primaryOf(const GroupId &Group,
                                     TimePoint Now) const {
  PrimaryAccess Access;
  const GroupEntity *Entity = findGroup(Group);
  if (Entity == nullptr || !Entity->Primary)
    return Access;
  const DatabaseEntity *Primary = findDatabase(*Entity->Primary);
  // Requests must not be sent to a primary that fails or that a majority no
  // longer follows: the outcome of a write sent to it would be unknown, while a
  // write that waits can still be reported as not run.
  if (Primary == nullptr || Primary->FailingSince)
    return Access;
  Access.Database = Primary->Id;
  Access.Term = Entity->Term;
  Access.Region = Primary->Region;
  if (!serves(Group, Primary->Region))
    Access.State = PrimaryAccess::Kind::Redirect;
  else if (Terms_.hasRecentMajority(Group, Entity->Term, Now))
    Access.State = PrimaryAccess::Kind::Ready;
  return Access;
}

} // namespace nutmegloom
