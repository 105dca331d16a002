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
      : PerSecond_(PerSecond), Burst_(Burst), Available_(Burst) {}

  /// True when a line may be written now.
  bool take(TimePoint Now) {
    double Seconds = std::chrono::duration<double>(Now - Last_).count();
    Available_ = std::min(Burst_, Available_ + Seconds * PerSecond_);
    Last_ = Now;
    if (Available_ < 1) {
      ++Suppressed_;
      return false;
    }
    Available_ -= 1;
    return true;
  }

  /// Lines left out since the last call.
  std::uint64_t takeSuppressed() { return std::exchange(Suppressed_, 0); }

private:
  double PerSecond_;
  double Burst_;
  double Available_;
  TimePoint Last_;
  std::uint64_t Suppressed_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_RATELIMIT_H
