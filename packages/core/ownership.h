#ifndef NUTMEGLOOM_CORE_OWNERSHIP_H
#define NUTMEGLOOM_CORE_OWNERSHIP_H

#include "core/tables.h"

namespace nutmegloom {

/// Tells which hosts own a group in a region, from the hosts that are live.
/// Hosts may disagree for a while; nothing that must hold rests on the answer.
class OwnershipSystem {
public:
  OwnershipSystem(const Tables &Data, HostName Self);

  /// Live hosts in order of rank for the group in the region. Hosts of other
  /// regions follow those of the region.
  std::vector<HostName> ownersOf(const GroupId &Group,
                                 const RegionName &Region) const;

  /// Regions that hold members of the group, sorted by name.
  std::vector<RegionName> regionsOf(const GroupId &Group) const;

  /// Region through which this host reaches the group: its own if it holds a
  /// member, else the first of regionsOf.
  RegionName preferredRegionOf(const GroupId &Group,
                               const RegionName &OwnRegion) const;

  /// Rank of this host among all that may promote in the group: 0 is the
  /// coordinator. Nothing when this host owns no region of the group.
  std::optional<std::size_t> coordinatorRank(const GroupId &Group) const;

private:
  const Tables &Data_;
  HostName Self_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_OWNERSHIP_H
