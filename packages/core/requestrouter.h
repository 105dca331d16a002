#ifndef NUTMEGLOOM_CORE_REQUESTROUTER_H
#define NUTMEGLOOM_CORE_REQUESTROUTER_H

#include "core/engine.h"
#include "core/retrybudget.h"
#include "core/timerqueue.h"

#include <set>

namespace nutmegloom {

/// Routes the requests of callers to the hosts that own their groups: forwards
/// them, follows redirects, repeats requests that are safe to repeat, and has
/// the outcome of writes resolved whose owner failed.
class RequestRouter {
public:
  struct Hooks {
    /// Sends the answer to the caller.
    std::function<void(TaskId, const CallerAnswer &)> Answer;
    /// Forwards an attempt to a peer that owns the group.
    std::function<void(const HostName &, TaskId, const CallerRequest &)>
        Forward;
    /// Submits an attempt to the RequestExecutor of this host. Its answer
    /// arrives through onAnswer(), possibly from within the call.
    std::function<void(TaskId, const CallerRequest &, TimePoint)> Submit;
    std::function<void(TaskId, TimePoint)> Cancel;
    std::function<std::string()> NewIdentifier;
    /// Random number, for the jitter of retries.
    std::function<std::uint64_t()> Random;
  };

  RequestRouter(const Tables &Data, const Policy &Limits,
                const OwnershipSystem &Owners, const PeerHeartbeat &Self,
                EngineCounters &Counters, Hooks Callbacks);

  void submit(TaskId Task, const CallerRequest &Request, TimePoint Now);
  /// Cancels a request; returns false if it is not a request of a caller of
  /// this host.
  bool cancel(TaskId Task, TimePoint Now);

  /// True if the identifier belongs to an attempt and not to a task.
  static bool isAttempt(TaskId Id);
  void onAnswer(TaskId Attempt, const CallerAnswer &Answer, TimePoint Now);
  /// An attempt got no answer. Sent is true if it may have reached the owner.
  void onForwardFailed(TaskId Attempt, bool Sent, TimePoint Now);

  void tick(TimePoint Now);
  void beginDrain() { Draining_ = true; }
  bool isIdle() const { return Tasks_.empty(); }

private:
  struct Task {
    TaskId Id = 0;
    CallerRequest Request;
    /// Step that is currently sent to owners: that of the request,
    /// ResolveOutcome after an owner failed, or Rollback after a statement's
    /// owner failed.
    RequestStep CurrentStep = RequestStep::Statement;
    RegionName Region;
    HostName Owner;
    /// Attempt in progress; zero if there is none.
    TaskId Attempt = 0;
    bool Local = false;
    /// Time of the entry for this request in Timers_.
    TimePoint TimerDue;
    std::optional<TimePoint> RetryAt;
    /// Owners that failed to serve the request.
    std::set<HostName> FailedOwners;
    std::uint32_t Redirects = 0;
    bool MayHaveRun = false;
  };

  Task *find(TaskId Id);
  Task *findByAttempt(TaskId Attempt);
  RegionName regionFor(const CallerRequest &Request) const;
  HostName ownerFor(const Task &Target) const;
  bool isUnreachable(const HostName &Host, TimePoint Now) const;
  bool isInTransaction(const Task &Target) const;
  /// True if the request must have an idempotency key: a commit or a single
  /// write.
  bool requiresKey(const Task &Target) const;

  void sendAttempt(Task &Target, TimePoint Now);
  void scheduleRetry(Task &Target, TimePoint Now);
  /// Schedules a retry, or finishes the request with an error if the caller's
  /// retry budget is exhausted.
  void retryOrFail(Task &Target, TimePoint Now);
  void followRedirect(Task &Target, const CallerAnswer &Answer, TimePoint Now);
  void onOwnerFailed(Task &Target, bool Sent, TimePoint Now);
  void onTransactionOwnerFailed(Task &Target, bool Sent, TimePoint Now);
  void failUnreachableAttempts(TimePoint Now);
  void expire(Task &Target);
  void sendRollback(const HostName &Owner, const std::string &Transaction,
                    const GroupId &Group, TimePoint Now);
  void finish(Task &Target, const CallerAnswer &Answer);

  const Tables &Data_;
  const Policy &Limits_;
  const OwnershipSystem &Owners_;
  HostName Self_;
  RegionName Region_;
  EngineCounters &Counters_;
  Hooks Hooks_;
  RetryBudget Budget_;
  std::map<TaskId, Task> Tasks_;
  std::map<TaskId, TaskId> TaskOf_;
  TimerQueue Timers_;
  TimerQueue Retries_;
  /// Region of each group's primary, as reported by the last redirect.
  std::map<GroupId, RegionName> PrimaryRegion_;
  /// Cached results of OwnershipSystem::rankedHosts(), cleared regularly.
  mutable std::map<std::pair<GroupId, RegionName>, std::vector<HostName>>
      RankedOwners_;
  std::optional<TimePoint> NextCheckAt_;
  TaskId LastAttempt_;
  bool Draining_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_REQUESTROUTER_H
