#ifndef NUTMEGLOOM_NUTMEGLOOMD_HOSTCONTEXT_H
#define NUTMEGLOOM_NUTMEGLOOMD_HOSTCONTEXT_H

#include "core/engine.h"
#include "telemetry/metrics.h"
#include "telemetry/tracing.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom {

/// State shared by the components of the daemon. The daemon owns it and sets
/// Core before any component runs.
struct HostContext {
  boost::asio::io_context &Io;
  Engine *Core = nullptr;
  Metrics &HostMetrics;
  Tracing &Tracer;
  /// Schedules a tick of the engine after the handlers that are ready now.
  std::function<void()> ScheduleTick;
  /// Last identifier given to a task, whether from a caller or another host.
  TaskId LastTask = 0;
};

inline TimePoint currentTime() { return std::chrono::steady_clock::now(); }

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_HOSTCONTEXT_H
