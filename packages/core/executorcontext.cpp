#include "core/executorcontext.h"

#include "core/readvalidator.h"

#include <algorithm>

namespace nutmegloom {

/// Longest time before the deadline of a write that is reserved for resolving
/// its outcome.
static constexpr Milliseconds ResolutionReserve{1000};

CallerAnswer makeError(Outcome Result, ErrorCode Error, std::string Detail,
                       Milliseconds RetryAfter) {
  CallerAnswer Answer;
  Answer.Result = Result;
  Answer.Error = Error;
  Answer.Detail = std::move(Detail);
  Answer.RetryAfter = RetryAfter;
  return Answer;
}

TimePoint resolutionStartOf(TimePoint Deadline, TimePoint Now) {
  return Deadline - std::min<Duration>(ResolutionReserve, (Deadline - Now) / 4);
}

CallerAnswer makeWriteAnswer(const CallerRequest &Request,
                             const DatabaseAnswer &Answer) {
  CallerAnswer Result;
  Result.Result = Outcome::Run;
  Result.Body = Answer.Result;
  Result.Seen =
      laterOf(Request.Required, Position{Answer.LogTerm, Answer.Index});
  Result.Database = Answer.Database;
  Result.Replayed = Answer.Replayed;
  return Result;
}

CallerAnswer makeResolvedAnswer(const CallerRequest &Request,
                                const ResolvedOutcome &Result,
                                ErrorCode Cause) {
  if (Result.Type == ResolvedOutcome::Kind::Recorded) {
    CallerAnswer Answer = makeWriteAnswer(Request, Result.Recorded);
    Answer.Replayed = true;
    return Answer;
  }
  if (Result.Type == ResolvedOutcome::Kind::Redirect) {
    CallerAnswer Answer = makeError(Outcome::Unknown, ErrorCode::OutcomeUnknown,
                                    "the primary is in another region, whose "
                                    "owner must resolve the outcome");
    Answer.RedirectRegion = Result.Region;
    return Answer;
  }
  // A retry needs a new key. A delay is suggested only if the cause is
  // temporary.
  const Milliseconds RetryAfter =
      Cause == ErrorCode::NoPrimary || Cause == ErrorCode::ConnectionLost
          ? NoPrimaryRetryAfter
          : Milliseconds(0);
  return makeError(Outcome::NotRun, Cause,
                   "the write was not executed and its idempotency key is "
                   "closed; send it again with a new key",
                   RetryAfter);
}

} // namespace nutmegloom
