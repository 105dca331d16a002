#ifndef NUTMEGLOOM_CORE_DISPATCHER_H
#define NUTMEGLOOM_CORE_DISPATCHER_H

#include "core/connectionpool.h"
#include "core/scheduler.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>

namespace nutmegloom {

/// Identifies one piece of work given to the dispatcher. Never reused.
using WorkId = std::uint64_t;
using ExchangeResult = std::variant<DatabaseAnswer, DatabaseFailure>;

/// Brings work to databases: a slot from the scheduler, a connection from the
/// pool, one exchange at a time on each connection. Detects exchanges that are
/// lost although their connection is still open. Handlers are called from
/// onAnswer, onFailure and tick, never from inside another call.
class Dispatcher {
public:
  /// The work has its slot and its connection. The connection is zero for work
  /// that brings its own.
  using StartHandler = std::function<void(WorkId, ConnectionId, TimePoint)>;
  using ResultHandler = std::function<void(const ExchangeResult &, TimePoint)>;
  struct Hooks {
    ConnectionPool::Hooks Connections;
    std::function<void(ConnectionId, const DatabaseRequest &)> Send;
  };
  struct SendOptions {
    /// Work whose slot is held until the exchange ends.
    WorkId Work = 0;
    /// The connection isn't given back to the pool after the answer.
    bool KeepConnection = false;
    /// The exchange may be given up early because it has no effect.
    bool SafeToRetry = false;
    std::uint64_t StatementDigest = 0;
  };

  /// FirstExchange is a number that other hosts are unlikely to use, because
  /// the status of a database lists the exchanges of all hosts.
  Dispatcher(const Tables &Data, const Policy &Limits, Hooks Callbacks,
             ExchangeId FirstExchange);
  ~Dispatcher();

  /// Puts work into the queue of a database. Work.Task is ignored.
  std::variant<WorkId, AdmissionRefusal>
  enqueue(const DatabaseId &Database, ScheduledWork Work, bool NeedsConnection,
          StartHandler Start, TimePoint Now);
  /// Asks for a connection without a slot, ahead of scheduled work.
  WorkId requestConnection(const DatabaseId &Database, StartHandler Start,
                           TimePoint Now);
  /// Takes back work that has not started.
  bool cancelWork(WorkId Work, TimePoint Now);
  /// Ends work that has started and sends nothing.
  void finishWork(WorkId Work, ConnectionId Connection, TimePoint Now);

  ExchangeId send(ConnectionId Connection, DatabaseRequest Request,
                  const SendOptions &Options, ResultHandler Handler,
                  TimePoint Now);
  /// Nobody waits for the answer any more. The connection isn't used again
  /// before the answer is there.
  void ignoreResult(ExchangeId Exchange);

  /// Gives a kept connection back to the pool.
  void releaseConnection(ConnectionId Connection, TimePoint Now);
  /// Closes a connection; an exchange on it gets no result.
  void closeConnection(ConnectionId Connection, TimePoint Now);

  void onConnectionOpened(ConnectionId Connection, TimePoint Now);
  void onConnectionClosed(ConnectionId Connection, TimePoint Now);
  void onAnswer(ConnectionId Connection, const DatabaseAnswer &Answer,
                TimePoint Now);
  void onFailure(ConnectionId Connection, const DatabaseFailure &Failure,
                 TimePoint Now);

  /// Starts work that can start and gives up lost exchanges.
  void tick(TimePoint Now);
  /// Returns the work whose time in the queue is over, and removes it.
  std::vector<WorkId> takeExpired(TimePoint Now);

  /// Learned service time of a shape at the database.
  Milliseconds serviceTimeOf(const DatabaseId &Database,
                             std::uint64_t StatementDigest);
  /// Time that the work would wait, as of the last tick.
  Milliseconds expectedWait(const DatabaseId &Database,
                            const ScheduledWork &Scheduled);
  /// Work in the database's queue.
  std::size_t waitingAt(const DatabaseId &Database) const;
  /// Work that is queued or has a slot.
  std::size_t loadOf(const DatabaseId &Database) const;
  const ConnectionPool &pool() const { return Pool_; }
  /// True when an exchange of the database was lost a short time ago.
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
  /// True when another database is the primary of its group.
  bool isPrimaryReplaced(const DatabaseId &Database) const;
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
  std::map<DatabaseId, DatabaseQueue> Members_;
  WorkId LastWork_ = 0;
  ExchangeId NextExchange_;
  TimePoint LastTick_;
  std::optional<TimePoint> NextCheckAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_DISPATCHER_H
