#ifndef NUTMEGLOOM_CORE_ENTRYSYSTEM_H
#define NUTMEGLOOM_CORE_ENTRYSYSTEM_H

#include "core/deadlines.h"
#include "core/engine.h"
#include "core/retrybudget.h"

#include <set>

namespace nutmegloom {

/// Serves the requests of callers: chooses the owner, forwards, follows
/// redirects, tries safe requests again and settles writes whose owner went
/// away.
class EntrySystem {
public:
  struct Hooks {
    /// Answers the caller.
    std::function<void(TaskId, const CallerAnswer &)> Answer;
    /// Sends an attempt to the owner at a peer.
    std::function<void(const HostName &, TaskId, const CallerRequest &)>
        Forward;
    /// Hands an attempt to the owner role of this host. Its answer comes back
    /// through onAnswer, possibly from inside the call.
    std::function<void(TaskId, const CallerRequest &, TimePoint)> Submit;
    std::function<void(TaskId, TimePoint)> Cancel;
    std::function<std::string()> NewIdentifier;
    /// Random number, for the jitter of retries.
    std::function<std::uint64_t()> Random;
  };

  EntrySystem(const Tables &Data, const Policy &Limits,
              const OwnershipSystem &Owners, const PeerHeartbeat &Self,
              EngineCounters &Counters, Hooks Functions);

  void submit(TaskId Task, const CallerRequest &Request, TimePoint Now);
  /// False when the task isn't one of a caller of this host.
  bool cancel(TaskId Task, TimePoint Now);

  /// True when the identifier is one of an attempt, not of a task.
  static bool isAttempt(TaskId Id);
  void onAnswer(TaskId Attempt, const CallerAnswer &Answer, TimePoint Now);
  /// Sent tells whether the attempt may have reached the owner.
  void onForwardFailed(TaskId Attempt, bool Sent, TimePoint Now);

  void tick(TimePoint Now);
  void beginDrain() { Draining_ = true; }
  bool isIdle() const { return Tasks_.empty(); }

private:
  struct Task {
    TaskId Id = 0;
    CallerRequest Request;
    /// What is asked of owners at present: the request itself, a settlement of
    /// its key, or a rollback of its transaction.
    RequestStep Asking = RequestStep::Statement;
    RegionName Region;
    HostName Target;
    /// Attempt in progress; zero: none.
    TaskId Attempt = 0;
    bool Local = false;
    TimePoint Timer;
    std::optional<TimePoint> RetryAt;
    /// Owners that failed to serve the request.
    std::set<HostName> Failed;
    std::uint32_t Redirects = 0;
    bool MayHaveRun = false;
  };

  Task *find(TaskId Id);
  Task *findByAttempt(TaskId Attempt);
  RegionName regionFor(const CallerRequest &Request) const;
  HostName ownerFor(const Task &Target) const;
  bool isGone(const HostName &Host, TimePoint Now) const;
  bool isInTransaction(const Task &Target) const;
  bool hasKey(const Task &Target) const;

  void attempt(Task &Target, TimePoint Now);
  void tryLater(Task &Target, TimePoint Now);
  void retry(Task &Target, TimePoint Now);
  void follow(Task &Target, const CallerAnswer &Answer, TimePoint Now);
  void onFailed(Task &Target, bool Sent, TimePoint Now);
  void onStepFailed(Task &Target, bool Sent, TimePoint Now);
  void onOwnersGone(TimePoint Now);
  void expire(Task &Target);
  void rollBack(const HostName &Owner, const std::string &Transaction,
                const GroupId &Group, TimePoint Now);
  void finish(Task &Target, const CallerAnswer &Answer);

  const Tables &Data_;
  const Policy &Limits_;
  const OwnershipSystem &Owners_;
  HostName Self_;
  RegionName Region_;
  EngineCounters &Counters_;
  Hooks Functions_;
  RetryBudget Budget_;
  std::map<TaskId, Task> Tasks_;
  std::map<TaskId, TaskId> TaskOf_;
  Deadlines Timers_;
  Deadlines Retries_;
  /// Region of each group's primary, as last learnt from a redirect.
  std::map<GroupId, RegionName> PrimaryRegion_;
  /// Owners in order of rank, kept for a short time.
  mutable std::map<std::pair<GroupId, RegionName>, std::vector<HostName>>
      Ranked_;
  std::optional<TimePoint> NextReview_;
  TaskId LastAttempt_;
  bool Draining_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_ENTRYSYSTEM_H
