#ifndef NUTMEGLOOM_TELEMETRY_RATELIMIT_H
#define NUTMEGLOOM_TELEMETRY_RATELIMIT_H

#include "core/types.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

/// Token bucket that limits the number of log lines per second and allows
/// bursts.
class RateLimit {
public:
  RateLimit(double PerSecond, double Burst)
      : PerSecond_(PerSecond), Burst_(Burst), Tokens_(Burst) {}

  /// Returns true if a line may be written now; otherwise counts it as
  /// suppressed.
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

  /// Returns and resets the number of suppressed lines.
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
