#ifndef NUTMEGLOOM_CORE_EXECUTORCONTEXT_H
#define NUTMEGLOOM_CORE_EXECUTORCONTEXT_H

#include "core/engine.h"
#include "core/outcomeresolver.h"

namespace nutmegloom {

/// Objects that RequestExecutor and TransactionManager share.
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

/// Creates an answer that reports an error.
CallerAnswer makeError(Outcome Result, ErrorCode Error, std::string Detail,
                       Milliseconds RetryAfter = Milliseconds(0));

/// Time at which to start resolving the outcome of a write without an answer,
/// early enough before its deadline to obtain the outcome.
TimePoint resolutionStartOf(TimePoint Deadline, TimePoint Now);

/// Creates the answer to a write or a commit that a database has executed.
CallerAnswer makeWriteAnswer(const CallerRequest &Request,
                             const DatabaseAnswer &Answer);

/// Creates the answer to a write whose outcome was resolved. Cause is the error
/// because of which it had to be resolved.
CallerAnswer makeResolvedAnswer(const CallerRequest &Request,
                                const ResolvedOutcome &Result, ErrorCode Cause);

/// Suggested delay before a retry while a group has no primary.
constexpr Milliseconds NoPrimaryRetryAfter{1000};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_EXECUTORCONTEXT_H
