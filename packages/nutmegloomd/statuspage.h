#ifndef NUTMEGLOOM_NUTMEGLOOMD_STATUSPAGE_H
#define NUTMEGLOOM_NUTMEGLOOMD_STATUSPAGE_H

#include "core/engine.h"

namespace nutmegloom {

/// Values of /v1/status that the engine does not hold.
struct StatusDetails {
  /// Empty when the host is ready.
  std::string NotReadyReason;
  /// First error of the configuration that was refused last.
  std::string RefusedReason;
  /// Number of requests answered with an error, by error code.
  std::map<ErrorCode, std::uint64_t> Errors;
};

/// Returns the JSON body of /v1/status.
std::string makeStatusPage(Engine &Core, const StatusDetails &Details,
                           TimePoint Now);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_STATUSPAGE_H
