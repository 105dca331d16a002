#include "core/ownership.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <set>

namespace nutmegloom {

OwnershipSystem::OwnershipSystem(const Tables &Data, HostName Self)
    : Data_(Data), Self_(std::move(Self)) {}

std::vector<HostName>
OwnershipSystem::rankedHosts(const GroupId &Group,
                             const RegionName &Region) const {
  std::vector<HostName> Near;
  std::vector<HostName> Far;
  for (const auto &[Name, Host] : Data_.Hosts)
    if (isLive(Host))
      (Host.Region == Region ? Near : Far).push_back(Name);
  const std::string Key = Group + "@" + Region;
  std::vector<HostName> Owners = rankHosts(Key, std::move(Near));
  std::vector<HostName> Others = rankHosts(Key, std::move(Far));
  Owners.insert(Owners.end(), Others.begin(), Others.end());
  return Owners;
}

std::vector<RegionName> OwnershipSystem::regionsOf(const GroupId &Group) const {
  std::set<RegionName> Regions;
  const auto Found = Data_.Groups.find(Group);
  if (Found == Data_.Groups.end())
    return {};
  for (const DatabaseId &Member : Found->second.Members)
    if (const auto Database = Data_.Databases.find(Member);
        Database != Data_.Databases.end())
      Regions.insert(Database->second.Region);
  return {Regions.begin(), Regions.end()};
}

RegionName
OwnershipSystem::preferredRegionOf(const GroupId &Group,
                                   const RegionName &OwnRegion) const {
  const std::vector<RegionName> Regions = regionsOf(Group);
  if (Regions.empty() ||
      std::find(Regions.begin(), Regions.end(), OwnRegion) != Regions.end())
    return OwnRegion;
  return Regions.front();
}

std::optional<std::size_t>
OwnershipSystem::coordinatorRank(const GroupId &Group) const {
  // The first owners of all regions rank before the second ones, so that
  // another region takes over at once if all hosts of one region fail.
  std::vector<std::vector<HostName>> Owners;
  for (const RegionName &Region : rankHosts(Group, regionsOf(Group)))
    Owners.push_back(rankedHosts(Group, Region));
  std::vector<HostName> Promoters;
  for (const std::size_t Rank : {0U, 1U})
    for (const std::vector<HostName> &OfRegion : Owners)
      if (Rank < OfRegion.size() &&
          std::find(Promoters.begin(), Promoters.end(), OfRegion[Rank]) ==
              Promoters.end())
        Promoters.push_back(OfRegion[Rank]);
  const auto Found = std::find(Promoters.begin(), Promoters.end(), Self_);
  if (Found == Promoters.end())
    return std::nullopt;
  return static_cast<std::size_t>(Found - Promoters.begin());
}

} // namespace nutmegloom
