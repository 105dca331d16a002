#ifndef NUTMEGLOOM_CORE_SITECONFIGURATION_H
#define NUTMEGLOOM_CORE_SITECONFIGURATION_H

#include "core/tables.h"

namespace nutmegloom {

/// What a configuration says about one site: its groups, databases and policy.
/// The settings library makes it; Engine::applyConfiguration puts it in force.
struct SiteConfiguration {
  std::uint64_t Version = 0;
  std::vector<GroupEntity> Groups;
  std::vector<DatabaseEntity> Databases;
  /// Region of each availability zone.
  std::map<ZoneName, RegionName> Zones;
  /// One-way latency between two regions, for the choice of a near region.
  Milliseconds RegionLatency{8};
  Policy Limits;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_SITECONFIGURATION_H
