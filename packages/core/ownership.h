#ifndef NUTMEGLOOM_CORE_OWNERSHIP_H
#define NUTMEGLOOM_CORE_OWNERSHIP_H

#include "core/tables.h"

namespace nutmegloom {

/// Ranks the live hosts as owners of a group in a region. The first host of the
/// ranking is the owner and executes requests on the group's databases in that
/// region. Hosts may disagree for a while; correctness does not depend on
/// agreement.
class OwnershipSystem {
public:
  OwnershipSystem(const Tables &Data, HostName Self);

  /// All live hosts in order of preference as owner of the group in the region.
  /// Hosts of the region come before hosts of other regions.
  std::vector<HostName> rankedHosts(const GroupId &Group,
                                    const RegionName &Region) const;

  /// Regions that contain databases of the group, sorted by name.
  std::vector<RegionName> regionsOf(const GroupId &Group) const;

  /// Region whose owner receives requests for the group: OwnRegion if it
  /// contains a database of the group or no region does, otherwise the first of
  /// regionsOf().
  RegionName preferredRegionOf(const GroupId &Group,
                               const RegionName &OwnRegion) const;

  /// Rank of this host among the hosts that may run a failover of the group;
  /// rank 0 is the coordinator. std::nullopt if this host is not among the
  /// first two owners in any region of the group.
  std::optional<std::size_t> coordinatorRank(const GroupId &Group) const;

private:
  const Tables &Data_;
  HostName Self_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_OWNERSHIP_H
