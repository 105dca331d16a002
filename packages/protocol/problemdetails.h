#ifndef NUTMEGLOOM_PROTOCOL_PROBLEMDETAILS_H
#define NUTMEGLOOM_PROTOCOL_PROBLEMDETAILS_H

#include "core/types.h"
#include "protocol/httpconnection.h"

namespace nutmegloom {

/// Error that is sent as RFC 9457 problem details, with the additional members
/// code and outcome.
struct Problem {
  ErrorCode Code = ErrorCode::Internal;
  Outcome Result = Outcome::NotRun;
  std::string Detail;
  /// Time after which the caller may retry. Zero: not sent.
  Milliseconds RetryAfter{0};
  /// HTTP status. Zero: the default status of Code.
  int Status = 0;
};

HttpResponse makeProblemResponse(const Problem &Error);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PROBLEMDETAILS_H
