#ifndef NUTMEGLOOM_PROTOCOL_BOOTCLOCK_H
#define NUTMEGLOOM_PROTOCOL_BOOTCLOCK_H

#include "core/types.h"

namespace nutmegloom {

/// Returns the time since boot, including the time that the machine was
/// suspended (CLOCK_BOOTTIME). Anything that a host may rely on for a limited
/// time must also expire while the host is suspended.
TimePoint timeSinceBoot();

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_BOOTCLOCK_H
