#include "core/tables.h"

namespace nutmegloom {

bool isLive(const HostEntity &Host) {
  return Host.State == HostState::Ready && !Host.Suspected &&
         !Host.LeavingInList;
}

} // namespace nutmegloom
