#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREADER_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREADER_H

#include "nutmegloomctl/statusreport.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom {

/// A host to query. Name and Zone are used when the answer has none; they may
/// be empty.
struct StatusTarget {
  std::string Address;
  HostName Name;
  ZoneName Zone;
};

/// Queries the status of all targets and returns when each has answered or
/// failed. Timeout applies to each request. Results are in the order of
/// Targets.
std::vector<HostStatus> readStatuses(boost::asio::io_context &Io,
                                     const std::vector<StatusTarget> &Targets,
                                     Milliseconds Timeout);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREADER_H
