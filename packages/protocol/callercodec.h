#ifndef NUTMEGLOOM_PROTOCOL_CALLERCODEC_H
#define NUTMEGLOOM_PROTOCOL_CALLERCODEC_H

#include "core/messages.h"
#include "protocol/problemdetails.h"

#include <variant>

namespace nutmegloom {

/// Parts of a caller's HTTP request that parseCallerRequest uses.
struct CallerHttpRequest {
  std::string_view Method;
  /// Path, with an optional query that is ignored.
  std::string_view Target;
  std::string_view Body;
  std::string_view IdempotencyKey;
  std::string_view TraceParent;
  /// Identifies the caller: its IP address or the ID of its session.
  std::string_view Caller;
};

/// Default and maximum of the member timeout_ms of a request.
struct CallerTimeouts {
  Milliseconds Default{5000};
  Milliseconds Maximum{30000};
};

/// Parses and validates a request; returns the Problem to respond with if it
/// isn't valid. The deadline is Now plus the request's timeout. Key is empty if
/// the caller sent none or the request doesn't change data. The required log
/// position (CallerRequest::Required) is not set; SessionTokenHandler derives
/// it from the session token.
std::variant<CallerRequest, Problem>
parseCallerRequest(const CallerHttpRequest &Request,
                   const CallerTimeouts &Timeouts, TimePoint Now);

/// Encodes an answer as a JSON response, or as problem details if it has an
/// error. The calling code adds the session token.
HttpResponse makeCallerResponse(const CallerRequest &Request,
                                const CallerAnswer &Answer, TimePoint Now);

/// Returns the digest of a statement: a hash of its JSON keys, its structure
/// and the string value of the member "op". Other values don't change the hash.
/// Returns nullopt if the text isn't a JSON object.
std::optional<std::uint64_t> statementDigestOf(std::string_view Statement);

/// Returns the hash of a statement's kind and text, which tells whether an
/// idempotency key is reused for another statement.
std::uint64_t fingerprintOf(StatementKind Kind, std::string_view Statement);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_CALLERCODEC_H
