#include "sessions/waitestimate.h"

#include <algorithm>

namespace nutmegloom {

static Milliseconds roundedDown(double Time) {
  return Milliseconds{static_cast<std::int64_t>(Time)};
}

std::optional<WaitEstimate>
estimateWait(std::size_t Ahead,
             const std::vector<DatabaseCapacity> &Capacities) {
  double StartsPerMillisecond = 0;
  double Connections = 0;
  for (const DatabaseCapacity &Capacity : Capacities) {
    double Service = std::max(1.0, Capacity.ServiceMilliseconds);
    auto Count = static_cast<double>(Capacity.Connections);
    StartsPerMillisecond += Count / Service;
    Connections += Count;
  }
  if (Ahead == 0 || StartsPerMillisecond <= 0)
    return std::nullopt;
  double Start = static_cast<double>(Ahead) / StartsPerMillisecond;
  double Service = Connections / StartsPerMillisecond;
  return WaitEstimate{roundedDown(Start), roundedDown(Start + Service)};
}

} // namespace nutmegloom
