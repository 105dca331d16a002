#ifndef NUTMEGLOOM_CORE_ENGINE_H
#define NUTMEGLOOM_CORE_ENGINE_H

#include "core/configurationsystem.h"
#include "core/failover.h"
#include "core/membership.h"
#include "core/messages.h"
#include "core/ownership.h"
#include "core/siteconfiguration.h"
#include "core/tables.h"
#include "core/termcheck.h"

#include <functional>
#include <memory>

namespace nutmegloom {

class RequestRouter;
class RequestExecutor;

/// Counters of the engine, for metrics.
struct EngineCounters {
  std::uint64_t Requests = 0;
  std::uint64_t ReadsFromReplica = 0;
  std::uint64_t ReadsFromPrimary = 0;
  std::uint64_t Writes = 0;
  std::uint64_t Forwarded = 0;
  std::uint64_t Redirected = 0;
  std::uint64_t Retries = 0;
  std::uint64_t Settled = 0;
  std::uint64_t Refused = 0;
  std::uint64_t StaleAnswersDropped = 0;
  std::uint64_t TermChecksFailed = 0;
  std::uint64_t Promotions = 0;
};

/// Everything that the engine asks of its surroundings. All functions return
/// at once; results come back as inputs, never from inside the call.
struct EngineHooks {
  /// Answers a task, whether it came from a caller or from a peer.
  std::function<void(TaskId, const CallerAnswer &)> Answer;
  /// Sends a task to the owner at a peer.
  std::function<void(const HostName &, TaskId, const CallerRequest &)> Forward;
  /// Opens a connection to a database's service port.
  std::function<void(ConnectionId, const DatabaseId &)> OpenConnection;
  std::function<void(ConnectionId)> CloseConnection;
  /// Sends a request on an open connection that owes no answer.
  std::function<void(ConnectionId, const DatabaseRequest &)> SendToDatabase;
  MembershipSystem::Hooks Membership;
  FailoverSystem::Hooks Failover;
  ConfigurationSystem::Hooks Configuration;
  /// A new random identifier, unique in the deployment.
  std::function<std::string()> NewIdentifier;
};

/// The decision library as a whole: owns the tables and the systems. Inputs
/// change the tables; tick runs the systems. One thread uses it.
class Engine {
public:
  /// Self names this host, its incarnation, zone, region and peer address.
  Engine(PeerHeartbeat Self, EngineHooks Hooks);
  ~Engine();
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  /// A request of a caller that is connected to this host.
  void submit(TaskId Task, const CallerRequest &Request, TimePoint Now);
  /// A task that a peer has forwarded to this host as the owner.
  void submitForwarded(TaskId Task, const CallerRequest &Request,
                       TimePoint Now);
  /// The caller or the peer that waits for the task has gone.
  void cancel(TaskId Task, TimePoint Now);

  void onForwardAnswer(TaskId Task, const CallerAnswer &Answer, TimePoint Now);
  /// The peer gave no answer. Sent tells whether the task may have reached it.
  void onForwardFailed(TaskId Task, bool Sent, TimePoint Now);

  void onConnectionOpened(ConnectionId Connection, TimePoint Now);
  /// The connection could not be opened, or was closed while it owed nothing.
  void onConnectionClosed(ConnectionId Connection, TimePoint Now);
  void onDatabaseAnswer(ConnectionId Connection, const DatabaseAnswer &Answer,
                        TimePoint Now);
  /// The exchange has no answer. After Broken or Malformed the connection is
  /// already closed.
  void onDatabaseFailure(ConnectionId Connection,
                         const DatabaseFailure &Failure, TimePoint Now);

  void onStatus(const DatabaseStatus &Status, TimePoint SentAt, TimePoint Now);
  void onStatusFailed(const DatabaseId &Database, TimePoint Now);
  void onControlGranted(const ControlRequest &Request,
                        const DatabaseStatus &Status, TimePoint SentAt,
                        TimePoint Now);
  void onControlRefused(const ControlRequest &Request, std::uint64_t Term,
                        TimePoint Now);
  void onControlFailed(const ControlRequest &Request, TimePoint Now);

  MembershipSystem &membership();
  ConfigurationSystem &configuration();
  const FailoverSystem &failover() const;
  const OwnershipSystem &ownership() const;

  /// Puts a deployment in force. Databases and groups that it no longer names
  /// finish their work and are then removed.
  void applyConfiguration(const SiteConfiguration &Next, TimePoint Now);

  /// Runs all systems.
  void tick(TimePoint Now);

  /// Refuses new callers' work and lets the rest finish.
  void beginDrain(TimePoint Now);
  /// True when nothing is in progress.
  bool isIdle() const;

  const Tables &tables() const;
  const Policy &policy() const;
  const EngineCounters &counters() const;
  /// Work of the group that waits on this host as its owner.
  std::size_t waitingIn(const GroupEntity &Group) const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_ENGINE_H
