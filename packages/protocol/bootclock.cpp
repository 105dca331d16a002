#include "protocol/bootclock.h"

#include <ctime>

namespace nutmegloom {

TimePoint timeSinceBoot() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return TimePoint(std::chrono::seconds(Now.tv_sec) +
                   std::chrono::nanoseconds(Now.tv_nsec));
}

} // namespace nutmegloom
