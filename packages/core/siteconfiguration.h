#ifndef NUTMEGLOOM_CORE_SITECONFIGURATION_H
#define NUTMEGLOOM_CORE_SITECONFIGURATION_H

#include "core/tables.h"

namespace nutmegloom {

/// Validated configuration of the hosts of one site, which is the base file
/// merged with the overlay of the site: groups, databases and policy. Created
/// by the settings library and applied with Engine::applyConfiguration().
struct SiteConfiguration {
  std::uint64_t Version = 0;
  std::vector<GroupEntity> Groups;
  std::vector<DatabaseEntity> Databases;
  /// Region of each availability zone.
  std::map<ZoneName, RegionName> Zones;
  /// One-way latency between regions. The settings have one value for all pairs
  /// of regions. Not used by this library.
  Milliseconds RegionLatency{8};
  Policy Limits;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_SITECONFIGURATION_H
