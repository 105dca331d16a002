#ifndef NUTMEGLOOM_PROTOCOL_CALLERCODEC_H
#define NUTMEGLOOM_PROTOCOL_CALLERCODEC_H

#include "core/messages.h"
#include "protocol/problemdetails.h"

#include <variant>

namespace nutmegloom {

/// The parts of a caller's HTTP request that the codec reads.
struct CallerHttpRequest {
  std::string_view Method;
  /// Path, with an optional query that is ignored.
  std::string_view Target;
  std::string_view Body;
  std::string_view IdempotencyKey;
  std::string_view TraceParent;
  /// IP address of the caller, or its session.
  std::string_view Caller;
};

/// Limits of the timeout that a caller may state.
struct CallerTimeouts {
  Milliseconds Default{5000};
  Milliseconds Maximum{30000};
};

/// Reads a request for the engine. Key is empty when the caller gave none and
/// Required is absent: the session token is the business of
/// SessionTokenHandler.
std::variant<CallerRequest, Problem>
parseCallerRequest(const CallerHttpRequest &Request,
                   const CallerTimeouts &Timeouts, TimePoint Now);

/// The response to a request of the given step in the given group. The
/// session token is added by the caller of this function.
HttpResponse makeCallerResponse(const CallerRequest &Request,
                                const CallerAnswer &Answer, TimePoint Now);

/// Hash of a statement's shape: its JSON keys, its structure and the string
/// value of the member "op". Nothing when the text isn't a JSON object.
std::optional<std::uint64_t> shapeOf(std::string_view Statement);

/// Hash of kind and statement text.
std::uint64_t fingerprintOf(StatementKind Kind, std::string_view Statement);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_CALLERCODEC_H
