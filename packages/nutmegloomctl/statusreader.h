#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREADER_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREADER_H

#include "nutmegloomctl/statusreport.h"

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom {

/// A host whose status is wanted. Name and zone may be empty.
struct StatusTarget {
  std::string Address;
  HostName Name;
  ZoneName Zone;
};

/// Reads the status of all targets and returns once each has answered or
/// failed.
std::vector<HostStatus> readStatuses(boost::asio::io_context &Io,
                                     const std::vector<StatusTarget> &Targets,
                                     Milliseconds Timeout);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREADER_H
