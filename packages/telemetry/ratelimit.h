#ifndef NUTMEGLOOM_TELEMETRY_RATELIMIT_H
#define NUTMEGLOOM_TELEMETRY_RATELIMIT_H

#include "core/types.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

/// Bounds the number of log lines a second, with a reserve for bursts.
class RateLimit {
public:
  RateLimit(double PerSecond, double Burst)
      : PerSecond_(PerSecond), Burst_(Burst), Tokens_(Burst) {}

  /// True when a line may be written now.
  bool tryAcquire(TimePoint Now) {
    double Seconds = std::chrono::duration<double>(Now - Last_).count();
    Tokens_ = std::min(Burst_, Tokens_ + Seconds * PerSecond_);
    Last_ = Now;
    if (Tokens_ < 1) {
      ++Suppressed_;
      return false;
    }
    Tokens_ -= 1;
    return true;
  }

  /// Lines left out since the last call.
  std::uint64_t takeSuppressed() { return std::exchange(Suppressed_, 0); }

private:
  double PerSecond_;
  double Burst_;
  double Tokens_;
  TimePoint Last_;
  std::uint64_t Suppressed_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_RATELIMIT_H
