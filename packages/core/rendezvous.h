#ifndef NUTMEGLOOM_CORE_RENDEZVOUS_H
#define NUTMEGLOOM_CORE_RENDEZVOUS_H

#include "core/types.h"

namespace nutmegloom {

/// Orders the candidates by rendezvous weight for a key, heaviest first. The
/// order is the same in every process, and removing a candidate moves only the
/// keys that it was first for.
std::vector<HostName> rankHosts(std::string_view Key,
                                std::vector<HostName> Candidates);

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_RENDEZVOUS_H
