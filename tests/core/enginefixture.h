#ifndef NUTMEGLOOM_TESTS_CORE_ENGINEFIXTURE_H
#define NUTMEGLOOM_TESTS_CORE_ENGINEFIXTURE_H

#include "core/engine.h"
#include "tests/core/fakegroup.h"

#include <set>

namespace nutmegloom {

/// Runs an engine against a group of three fake databases "a", "b" and "c", of
/// which "a" is the initial primary. The clock is simulated; only run advances
/// it.
class EngineFixture {
public:
  struct Forwarded {
    HostName Host;
    TaskId Attempt = 0;
    CallerRequest Request;
  };

  struct SentRequest {
    ConnectionId Connection = 0;
    DatabaseRequest Request;
  };

  /// Remote: the databases are in another region than the host.
  explicit EngineFixture(bool Remote = false);

  /// Advances the clock by Span, delivers due events and ticks the engine.
  void run(Milliseconds Span);
  /// Runs until the task is answered and returns the answer. Throws
  /// std::out_of_range if that takes more than ten seconds.
  const CallerAnswer &await(TaskId Task);

  /// Write with the given idempotency key and a deadline of 5 s.
  CallerRequest makeWrite(const std::string &Key) const;
  /// Read of a key that any replica may serve, since no position is required.
  CallerRequest makeRead(const std::string &Key) const;
  /// Step of a transaction. Key is the idempotency key of a commit.
  CallerRequest makeStep(RequestStep Step, const std::string &Transaction,
                         const std::string &Key = std::string()) const;
  /// Begins a transaction and returns its id, which is empty on failure.
  std::string begin();
  TaskId submit(const CallerRequest &Request);
  /// Registers another host as ready, by a heartbeat.
  void addHost(const HostName &Name, const RegionName &Region);

  FakeDatabase &database(const DatabaseId &Id) { return Databases.at(Id); }
  /// Primary with the highest term; null if there is none.
  FakeDatabase *primary();
  /// Isolates a database from hosts and other databases, or reconnects it.
  void setIsolated(const DatabaseId &Id, bool Isolated);
  /// Requests on the connections that are open now get no answer. Connections
  /// that are opened later work.
  void stallConnections();
  void breakConnections(const DatabaseId &Id);
  std::size_t connectionsOf(const DatabaseId &Id) const;
  /// Suspends the engine for Span: it is not ticked, and its input is delivered
  /// when the pause ends.
  void pause(Milliseconds Span) { PausedUntil_ = Now + Span; }

  std::unique_ptr<Engine> Host;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  std::map<DatabaseId, FakeDatabase> Databases;
  std::map<TaskId, CallerAnswer> Answers;
  std::vector<Forwarded> Forwards;
  /// Requests sent to databases, in order.
  std::vector<SentRequest> Sent;
  /// Highest number of connections that a database had at once.
  std::size_t PeakConnections = 0;

  /// Number of database answers to lose. The connection breaks with each.
  std::size_t AnswersToLose = 0;
  /// Added to the transit time of requests to databases.
  Milliseconds RequestDelay{0};
  /// Time that a database takes to execute a request.
  Milliseconds ServiceTime{1};
  /// Last violation: a request on a connection with an unanswered request, or a
  /// second answer to a task. Empty if there was none.
  std::string Violation;

private:
  void schedule(TimePoint When, std::function<void()> Action);
  /// Runs an action on the engine after Delay, or when a pause ends, and ticks
  /// the engine.
  void deliver(Milliseconds Delay, std::function<void()> Action);
  void replicate();
  void poll(const DatabaseId &Id, std::uint64_t After, TimePoint Until,
            TimePoint SentAt);
  /// Delivers a control request to its database.
  void sendControl(const ControlRequest &Request);
  void open(ConnectionId Connection, const DatabaseId &Id);
  void close(ConnectionId Connection);
  void send(ConnectionId Connection, const DatabaseRequest &Request);
  void onRequestArrival(ConnectionId Connection, const DatabaseId &Id,
                        const DatabaseRequest &Request);
  void failExchange(ConnectionId Connection, ExchangeId Exchange);

  std::multimap<TimePoint, std::function<void()>> Events_;
  std::map<ConnectionId, DatabaseId> Connections_;
  /// Unanswered exchange of each connection that has one.
  std::map<ConnectionId, ExchangeId> PendingExchanges_;
  std::set<ConnectionId> Stalled_;
  TimePoint PausedUntil_;
  std::uint64_t LastIdentifier_ = 0;
  TaskId LastTask_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_CORE_ENGINEFIXTURE_H
