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
  /// Writes and commits whose outcome had to be resolved.
  std::uint64_t Resolved = 0;
  std::uint64_t Refused = 0;
  std::uint64_t StaleAnswersDropped = 0;
  std::uint64_t TermChecksFailed = 0;
  std::uint64_t Promotions = 0;
};

/// Callbacks through which the engine acts on its environment. They must not
/// block. Their results must arrive later through the methods of Engine, never
/// from within the callback.
struct EngineHooks {
  /// Sends the answer to a request of a caller or of a peer.
  std::function<void(TaskId, const CallerAnswer &)> Answer;
  /// Forwards a request to a peer that owns its group.
  std::function<void(const HostName &, TaskId, const CallerRequest &)> Forward;
  /// Opens a connection to a database's service port.
  std::function<void(ConnectionId, const DatabaseId &)> OpenConnection;
  std::function<void(ConnectionId)> CloseConnection;
  /// Sends a request on an open connection on which no other answer is pending.
  std::function<void(ConnectionId, const DatabaseRequest &)> SendToDatabase;
  MembershipSystem::Hooks Membership;
  FailoverSystem::Hooks Failover;
  ConfigurationSystem::Hooks Configuration;
  /// Returns a new random identifier that is unique across all hosts.
  std::function<std::string()> NewIdentifier;
};

/// Entry point of this library. Owns the tables and the systems that work on
/// them: the input methods update the tables, and tick() runs the systems. Not
/// thread-safe.
class Engine {
public:
  /// Self describes this host: its name, incarnation, zone, region and peer
  /// address.
  Engine(PeerHeartbeat Self, EngineHooks Hooks);
  ~Engine();
  Engine(const Engine &) = delete;
  Engine &operator=(const Engine &) = delete;

  /// Accepts a request of a caller that is connected to this host.
  void submit(TaskId Task, const CallerRequest &Request, TimePoint Now);
  /// Accepts a request that a peer forwarded because this host owns its group.
  void submitForwarded(TaskId Task, const CallerRequest &Request,
                       TimePoint Now);
  /// Cancels a request whose caller or forwarding peer has disconnected.
  void cancel(TaskId Task, TimePoint Now);

  void onForwardAnswer(TaskId Task, const CallerAnswer &Answer, TimePoint Now);
  /// The peer did not answer. Sent is true if the request may have reached it.
  void onForwardFailed(TaskId Task, bool Sent, TimePoint Now);

  void onConnectionOpened(ConnectionId Connection, TimePoint Now);
  /// The connection could not be opened, or was closed while no answer was
  /// pending on it.
  void onConnectionClosed(ConnectionId Connection, TimePoint Now);
  void onDatabaseAnswer(ConnectionId Connection, const DatabaseAnswer &Answer,
                        TimePoint Now);
  /// The exchange failed. After NotConnected, Broken or Malformed the
  /// connection must already be closed.
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

  /// Applies a configuration. Databases and groups that it no longer contains
  /// are removed once their requests have finished.
  void applyConfiguration(const SiteConfiguration &Next, TimePoint Now);

  /// Runs all systems that are due.
  void tick(TimePoint Now);

  /// Refuses new requests of callers and lets the others finish.
  void beginDrain(TimePoint Now);
  /// True if no request or transaction is in progress.
  bool isIdle() const;

  const Tables &tables() const;
  const Policy &policy() const;
  const EngineCounters &counters() const;
  /// Number of the group's requests that wait on this host as owner.
  std::size_t waitingIn(const GroupEntity &Group) const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_ENGINE_H
