#ifndef NUTMEGLOOM_PROTOCOL_EVENTLOOP_H
#define NUTMEGLOOM_PROTOCOL_EVENTLOOP_H

#include "core/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace nutmegloom {

/// Runs the event loop until it is stopped. An exception that leaves a handler
/// ends only that handler: an unexpected error in one session must not end the
/// sessions of all callers. Report receives the message of each exception.
/// Returns false if exceptions follow one another so closely that the process
/// had better be restarted.
bool runEventLoop(boost::asio::io_context &Io,
                  const std::function<TimePoint()> &Now,
                  const std::function<void(std::string_view)> &Report);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_EVENTLOOP_H
