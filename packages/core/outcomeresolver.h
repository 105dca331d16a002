#ifndef NUTMEGLOOM_CORE_OUTCOMERESOLVER_H
#define NUTMEGLOOM_CORE_OUTCOMERESOLVER_H

#include "core/confirmationqueue.h"
#include "core/dispatcher.h"
#include "core/groupaccess.h"

namespace nutmegloom {

/// Outcome of a write with an idempotency key.
struct ResolvedOutcome {
  enum class Kind {
    /// The write was executed; Recorded holds its answer.
    Recorded,
    /// The write was not executed and never will be.
    Closed,
    /// The primary is in a region that another host serves.
    Redirect,
  };
  Kind Type = Kind::Closed;
  DatabaseAnswer Recorded;
  RegionName Region;
};

/// Resolves the outcome of writes that may have reached a database: closes the
/// idempotency key at the current primary and waits until a majority holds the
/// result.
class OutcomeResolver {
public:
  using Handler = std::function<void(const ResolvedOutcome &, TimePoint)>;

  OutcomeResolver(const GroupAccess &Access, Dispatcher &Databases,
                  ConfirmationQueue &Confirmations);

  /// Repeats the attempt until the outcome is known or cancel() is called. Done
  /// is called once, and not from within start().
  void start(TaskId Task, const CallerRequest &Request, Handler Done);
  void cancel(TaskId Task, TimePoint Now);
  void tick(TimePoint Now);

private:
  enum class Step { Waiting, Connecting, Sent, Confirming };
  struct Entry {
    GroupId Group;
    std::string Key;
    std::string TraceParent;
    Handler Done;
    Step State = Step::Waiting;
    std::optional<TimePoint> RetryAt;
    Milliseconds Backoff{0};
    DatabaseId Database;
    WorkId Work = 0;
    ExchangeId Exchange = 0;
    TimePoint StateSince;
  };

  void connectToPrimary(TaskId Task, Entry &Target, TimePoint Now);
  void send(TaskId Task, WorkId Work, ConnectionId Connection, TimePoint Now);
  void onResult(TaskId Task, std::uint64_t Term, const ExchangeResult &Result,
                TimePoint Now);
  void onConfirmed(TaskId Task, const DatabaseAnswer &Answer, bool Confirmed,
                   TimePoint Now);
  void scheduleRetry(Entry &Target, TimePoint Now);
  void end(TaskId Task, const ResolvedOutcome &Result, TimePoint Now);

  const GroupAccess &Access_;
  Dispatcher &Databases_;
  ConfirmationQueue &Confirmations_;
  std::map<TaskId, Entry> Entries_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_OUTCOMERESOLVER_H
