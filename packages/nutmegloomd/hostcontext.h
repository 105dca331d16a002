#ifndef NUTMEGLOOM_NUTMEGLOOMD_HOSTCONTEXT_H
#define NUTMEGLOOM_NUTMEGLOOMD_HOSTCONTEXT_H

#include "core/engine.h"
#include "telemetry/metrics.h"
#include "telemetry/tracing.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom {

/// What the parts of the daemon share. The daemon owns it and sets Core before
/// any part runs.
struct HostContext {
  boost::asio::io_context &Io;
  Engine *Core = nullptr;
  Metrics &HostMetrics;
  Tracing &Tracer;
  /// Runs the engine's systems once the input at hand is taken.
  std::function<void()> ScheduleTick;
  /// Numbers tasks of callers and of other hosts.
  TaskId LastTask = 0;
};

inline TimePoint currentTime() { return std::chrono::steady_clock::now(); }

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_HOSTCONTEXT_H
