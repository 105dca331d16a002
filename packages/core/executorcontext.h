#ifndef NUTMEGLOOM_CORE_EXECUTORCONTEXT_H
#define NUTMEGLOOM_CORE_EXECUTORCONTEXT_H

#include "core/engine.h"
#include "core/outcomeresolver.h"

namespace nutmegloom {

/// What the systems of the owner role share.
struct ExecutorContext {
  Tables &Data;
  const Policy &Limits;
  const GroupAccess &Access;
  const TermCheck &Terms;
  Dispatcher &Databases;
  ConfirmationQueue &Confirmations;
  OutcomeResolver &Resolver;
  EngineCounters &Counters;
  HostName Self;
  std::function<void(TaskId, const CallerAnswer &)> Answer;
  std::function<std::string()> NewIdentifier;
};

/// An answer that only reports an error.
CallerAnswer makeError(Outcome Result, ErrorCode Error, std::string Detail,
                       Milliseconds RetryAfter = Milliseconds(0));

/// When to settle a write that has no answer: early enough before its deadline
/// that the outcome can still be found.
TimePoint resolutionTimeOf(TimePoint Deadline, TimePoint Now);

/// The answer to a write or a commit that a database has executed.
CallerAnswer makeWriteAnswer(const CallerRequest &Request,
                             const DatabaseAnswer &Answer);

/// The answer to a write whose settlement has ended. Cause is why it began.
CallerAnswer makeResolvedAnswer(const CallerRequest &Request,
                                const ResolvedOutcome &Result, ErrorCode Cause);

/// Time after which callers may try again while a group has no primary.
constexpr Milliseconds NoPrimaryRetryAfter{1000};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_EXECUTORCONTEXT_H
