#ifndef NUTMEGLOOM_SESSIONS_WAITESTIMATE_H
#define NUTMEGLOOM_SESSIONS_WAITESTIMATE_H

#include "core/types.h"

#include <optional>
#include <vector>

namespace nutmegloom {

/// This host's connections to a database that may run a statement.
struct DatabaseCapacity {
  std::size_t Connections = 0;
  /// Average time, in milliseconds, for which a statement uses a connection.
  double ServiceMilliseconds = 1;
};

/// Expected times until a queued statement is started and answered.
struct WaitEstimate {
  Milliseconds Start{0};
  Milliseconds Answer{0};
};

/// Estimates the wait of a statement behind Ahead other ones. Capacities: the
/// databases that may run it. Returns nothing if the time is unknown: no such
/// database has a connection, or no statement is ahead. The first one is always
/// tried, because only its answer shows that a database has become faster.
std::optional<WaitEstimate>
estimateWait(std::size_t Ahead,
             const std::vector<DatabaseCapacity> &Capacities);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_WAITESTIMATE_H
