#ifndef NUTMEGLOOM_NUTMEGLOOMD_DAEMON_H
#define NUTMEGLOOM_NUTMEGLOOMD_DAEMON_H

#include "settings/settings.h"

#include <memory>

namespace nutmegloom {

/// A host: the engine with its network. One thread runs it.
class Daemon {
public:
  explicit Daemon(HostSettings Settings);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Serves until SIGTERM or SIGINT and a graceful stop. Returns the exit
  /// code of the process.
  int run();

private:
  class State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_DAEMON_H
