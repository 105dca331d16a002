#ifndef NUTMEGLOOM_NUTMEGLOOMD_DAEMON_H
#define NUTMEGLOOM_NUTMEGLOOMD_DAEMON_H

#include "settings/settings.h"

#include <memory>

namespace nutmegloom {

/// Runs a host: the engine with its network connections. The engine runs on the
/// thread that calls run().
class Daemon {
public:
  explicit Daemon(HostSettings Settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves until SIGTERM or SIGINT, then drains the requests in progress and
  /// stops. Returns the exit code of the process: 1 if a port can't be opened.
  int run();

private:
  class State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_DAEMON_H
