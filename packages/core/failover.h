#ifndef NUTMEGLOOM_CORE_FAILOVER_H
#define NUTMEGLOOM_CORE_FAILOVER_H

#include "core/messages.h"
#include "core/tables.h"

#include <functional>
#include <map>

namespace nutmegloom {

class OwnershipSystem;

/// Phases of a failover: fencing a majority of the members, waiting until no
/// host uses the previous term any more, and promoting the candidate.
enum class FailoverPhase { Idle, Fencing, Waiting, Promoting };
std::string_view nameOf(FailoverPhase Phase);

/// Detects failed primaries and promotes a member of the group in their place.
/// Also replaces a primary that is leaving.
class FailoverSystem {
public:
  struct Hooks {
    /// Sends a command to a database's control port.
    std::function<void(const ControlRequest &)> SendControl;
    /// Requests a status of a database. The database delays its reply until its
    /// log extends beyond After, its term, role or leaving state changes, or
    /// the given time has passed. The result arrives through onStatus() or
    /// onStatusFailed().
    std::function<void(const DatabaseId &, std::uint64_t After, Milliseconds)>
        PollStatus;
    /// Random number, for the jitter of retries.
    std::function<std::uint64_t()> Random;
    /// Reports a phase change of a group, for logs and metrics.
    std::function<void(const GroupId &, FailoverPhase, std::uint64_t Term,
                       const std::string &Detail)>
        Report;
  };

  /// Promoter identifies this process: host name and incarnation.
  FailoverSystem(Tables &Data, const Policy &Limits,
                 const OwnershipSystem &Owners, std::string Promoter,
                 Hooks Callbacks);
  ~FailoverSystem();
  FailoverSystem(const FailoverSystem &) = delete;
  FailoverSystem &operator=(const FailoverSystem &) = delete;

  /// A status arrived. SentAt is the time at which its request was sent.
  void onStatus(const DatabaseStatus &Status, TimePoint SentAt, TimePoint Now);
  void onStatusFailed(const DatabaseId &Database, TimePoint Now);
  /// A control command was granted; Status is the database's reply.
  void onControlGranted(const ControlRequest &Request,
                        const DatabaseStatus &Status, TimePoint SentAt,
                        TimePoint Now);
  /// A control command was refused: the database has promised Term.
  void onControlRefused(const ControlRequest &Request, std::uint64_t Term,
                        TimePoint Now);
  void onControlFailed(const ControlRequest &Request, TimePoint Now);

  /// Requests statuses that are due and advances failovers in progress.
  void tick(TimePoint Now);

  FailoverPhase phaseOf(const GroupId &Group) const;

private:
  struct Attempt;
  struct Poll;

  void pollMembers(const GroupEntity &Group, TimePoint Now);
  void updateGroup(const DatabaseEntity &Database);
  void checkForFailure(const GroupEntity &Group, Attempt &State,
                       std::size_t Rank, TimePoint Now);
  void startAttempt(const GroupEntity &Group, Attempt &State, TimePoint Now,
                    const std::string &Reason);
  void advanceAttempt(const GroupEntity &Group, Attempt &State, TimePoint Now);
  void sendFences(const GroupEntity &Group, Attempt &State, TimePoint Now);
  void sendPromote(const GroupEntity &Group, Attempt &State, TimePoint Now);
  void completeAttempt(const GroupEntity &Group, Attempt &State, TimePoint Now);
  void abortAttempt(const GroupId &Group, Attempt &State, Duration Pause,
                    TimePoint Now, const std::string &Reason);
  void setPhase(const GroupId &Group, Attempt &State, FailoverPhase Phase,
                const std::string &Detail);
  void repairFollowers(const GroupEntity &Group, Attempt &State,
                       std::size_t Rank, TimePoint Now);
  void sendFollow(const GroupEntity &Group, const DatabaseId &Member);
  Duration jitter(Duration Bound) const;

  Tables &Data_;
  const Policy &Limits_;
  const OwnershipSystem &Owners_;
  std::string Promoter_;
  Hooks Hooks_;
  std::map<GroupId, Attempt> Attempts_;
  std::map<DatabaseId, Poll> Polls_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_FAILOVER_H
