#ifndef NUTMEGLOOM_PROTOCOL_PROBLEMDETAILS_H
#define NUTMEGLOOM_PROTOCOL_PROBLEMDETAILS_H

#include "core/types.h"
#include "protocol/httpconnection.h"

namespace nutmegloom {

/// An error as RFC 9457 problem details with the members code and outcome.
struct Problem {
  ErrorCode Code = ErrorCode::Internal;
  Outcome Result = Outcome::NotRun;
  std::string Detail;
  /// When a later try may succeed. Zero: not given.
  Milliseconds RetryAfter{0};
  /// HTTP status; zero: the status of the code.
  int Status = 0;
};

HttpResponse makeProblemResponse(const Problem &Error);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PROBLEMDETAILS_H
