#ifndef NUTMEGLOOM_NUTMEGLOOMD_STATUSPAGE_H
#define NUTMEGLOOM_NUTMEGLOOMD_STATUSPAGE_H

#include "core/engine.h"

namespace nutmegloom {

/// What /v1/status shows besides the engine's own state.
struct StatusDetails {
  /// Empty when the host is ready.
  std::string NotReadyReason;
  std::string RefusedReason;
  std::map<ErrorCode, std::uint64_t> Errors;
};

/// The JSON body of /v1/status.
std::string makeStatusPage(Engine &Core, const StatusDetails &Details,
                           TimePoint Now);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_STATUSPAGE_H
