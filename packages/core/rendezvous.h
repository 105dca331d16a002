#ifndef NUTMEGLOOM_CORE_RENDEZVOUS_H
#define NUTMEGLOOM_CORE_RENDEZVOUS_H

#include "core/types.h"

namespace nutmegloom {

/// Orders the candidates by their rendezvous hash (highest random weight) for a
/// key, highest first. The order is the same in every process, and removing a
/// candidate reassigns only the keys for which it was first.
std::vector<HostName> rankHosts(std::string_view Key,
                                std::vector<HostName> Candidates);

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_RENDEZVOUS_H
