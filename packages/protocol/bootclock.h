#ifndef NUTMEGLOOM_PROTOCOL_BOOTCLOCK_H
#define NUTMEGLOOM_PROTOCOL_BOOTCLOCK_H

#include "core/types.h"

namespace nutmegloom {

/// Time since the machine started, counting the time that it was suspended:
/// what a host may still believe must not outlive a suspension.
TimePoint bootTime();

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_BOOTCLOCK_H
