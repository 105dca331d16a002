#ifndef NUTMEGLOOM_CORE_DISPATCHER_H
#define NUTMEGLOOM_CORE_DISPATCHER_H

#include "core/connectionpool.h"
#include "core/scheduler.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

namespace nutmegloom {

/// Identifies one request for a slot or a connection. Never reused.
using WorkId = std::uint64_t;
using ExchangeResult = std::variant<DatabaseAnswer, DatabaseFailure>;

/// Sends requests to databases: obtains a slot from the scheduler and a
/// connection from the pool, and allows one exchange at a time on each
/// connection. Detects exchanges that are lost although their connection is
/// still open. Handlers are called from onConnectionClosed(), onAnswer(),
/// onFailure() and tick() only.
class Dispatcher {
public:
  /// Called when the work has its slot and its connection. The connection is
  /// zero for work that uses a connection of its own.
  using StartHandler = std::function<void(WorkId, ConnectionId, TimePoint)>;
  using ResultHandler = std::function<void(const ExchangeResult &, TimePoint)>;
  struct Hooks {
    ConnectionPool::Hooks Connections;
    std::function<void(ConnectionId, const DatabaseRequest &)> Send;
  };
  struct SendOptions {
    /// Work whose slot is held until the exchange ends.
    WorkId Work = 0;
    /// The connection is not returned to the pool after the answer.
    bool KeepConnection = false;
    /// The exchange may be given up early because its request has no effect or
    /// can be repeated.
    bool SafeToRetry = false;
    std::uint64_t StatementDigest = 0;
  };

  /// FirstExchange should be a number that other hosts do not use, because the
  /// status of a database lists the exchanges of all hosts.
  Dispatcher(const Tables &Data, const Policy &Limits, Hooks Callbacks,
             ExchangeId FirstExchange);
  ~Dispatcher();

  /// Queues work for a database, or returns the scheduler's refusal. Work.Task
  /// is ignored.
  std::variant<WorkId, AdmissionRefusal>
  enqueue(const DatabaseId &Database, ScheduledWork Work, bool NeedsConnection,
          StartHandler Start, TimePoint Now);
  /// Requests a connection without a slot, ahead of queued work.
  WorkId requestConnection(const DatabaseId &Database, StartHandler Start,
                           TimePoint Now);
  /// Removes work that has not started; returns false if it has started or is
  /// unknown.
  bool cancelWork(WorkId Work, TimePoint Now);
  /// Releases the slot and the connection of work that has started but sends no
  /// request.
  void finishWork(WorkId Work, ConnectionId Connection, TimePoint Now);

  ExchangeId send(ConnectionId Connection, DatabaseRequest Request,
                  const SendOptions &Options, ResultHandler Handler,
                  TimePoint Now);
  /// Discards the result of an exchange. The connection is not reused before
  /// the answer has arrived.
  void ignoreResult(ExchangeId Exchange);

  /// Returns a kept connection to the pool, or closes it if an exchange is in
  /// progress on it.
  void releaseConnection(ConnectionId Connection, TimePoint Now);
  /// Closes a connection. The handler of an exchange in progress on it is not
  /// called.
  void closeConnection(ConnectionId Connection, TimePoint Now);

  void onConnectionOpened(ConnectionId Connection, TimePoint Now);
  void onConnectionClosed(ConnectionId Connection, TimePoint Now);
  void onAnswer(ConnectionId Connection, const DatabaseAnswer &Answer,
                TimePoint Now);
  void onFailure(ConnectionId Connection, const DatabaseFailure &Failure,
                 TimePoint Now);

  /// Starts work that has a slot and a connection, and fails lost exchanges.
  void tick(TimePoint Now);
  /// Removes and returns queued work that can no longer finish before its
  /// deadline.
  std::vector<WorkId> takeTooLate(TimePoint Now);

  /// Mean service time of a statement digest at the database.
  Milliseconds serviceTimeOf(const DatabaseId &Database,
                             std::uint64_t StatementDigest);
  /// Expected waiting time of the work, as of the last tick.
  Milliseconds expectedWait(const DatabaseId &Database,
                            const ScheduledWork &Scheduled);
  /// Number of requests in the database's queue.
  std::size_t waitingAt(const DatabaseId &Database) const;
  /// Number of requests that are queued or hold a slot.
  std::size_t loadOf(const DatabaseId &Database) const;
  const ConnectionPool &pool() const { return Pool_; }
  /// True if an exchange with the database was lost recently.
  bool isUnresponsive(const DatabaseId &Database) const;

private:
  struct Work;
  struct Exchange;
  struct DatabaseQueue;

  DatabaseQueue &queueOf(const DatabaseId &Database);
  void startReadyWork(const DatabaseId &Database, TimePoint Now);
  void endExchange(ConnectionId Connection, const ExchangeResult &Result,
                   bool Executed, bool Closed, TimePoint Now);
  void releaseSlot(WorkId Work, bool Executed, TimePoint Now);
  /// True if the database was removed or another one is the primary of its
  /// group.
  bool isPrimaryReplaced(const DatabaseId &Database) const;
  /// True if the database is known not to execute the exchange's request, or is
  /// unreachable, after a time that depends on the kind of request.
  bool isExchangeLost(const Exchange &Candidate, TimePoint Now);
  void failLostExchanges(TimePoint Now);

  const Tables &Data_;
  const Policy &Limits_;
  Hooks Hooks_;
  ConnectionPool Pool_;
  std::unordered_map<WorkId, Work> Work_;
  /// At most one exchange for each connection.
  std::map<ConnectionId, Exchange> Exchanges_;
  std::unordered_map<ExchangeId, ConnectionId> ConnectionOf_;
  std::map<DatabaseId, DatabaseQueue> Queues_;
  WorkId LastWork_ = 0;
  ExchangeId NextExchange_;
  TimePoint LastTick_;
  std::optional<TimePoint> NextCheckAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_DISPATCHER_H
