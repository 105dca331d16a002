#ifndef NUTMEGLOOM_TESTS_CORE_ENGINEFIXTURE_H
#define NUTMEGLOOM_TESTS_CORE_ENGINEFIXTURE_H

#include "core/engine.h"
#include "tests/core/fakegroup.h"

#include <set>

namespace nutmegloom {

/// An engine between callers and a group of three fake databases "a", "b" and
/// "c" in its own region, on a clock that only run moves.
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

  /// Remote puts the databases into another region than the host.
  explicit EngineFixture(bool Remote = false);

  /// Moves the clock and delivers what happens in that time.
  void run(Milliseconds Span);
  /// Runs until the task is answered, for at most ten seconds.
  const CallerAnswer &await(TaskId Task);

  CallerRequest makeWrite(const std::string &Key) const;
  CallerRequest makeRead(const std::string &Key) const;
  /// A step of the transaction; the key is that of a commit.
  CallerRequest makeStep(RequestStep Step, const std::string &Transaction,
                         const std::string &Key = std::string()) const;
  /// Begins a transaction and returns its id.
  std::string begin();
  TaskId submit(const CallerRequest &Request);
  /// Adds a live host.
  void addHost(const HostName &Name, const RegionName &Region);

  FakeDatabase &database(const DatabaseId &Id) { return Databases.at(Id); }
  FakeDatabase *primary();
  /// Connects or cuts off a database.
  void setIsolated(const DatabaseId &Id, bool Isolated);
  /// Stops serving the connections that are open now; new ones work.
  void stallConnections();
  void breakConnections(const DatabaseId &Id);
  std::size_t connectionsOf(const DatabaseId &Id) const;
  /// The engine gets no input and no time until then.
  void pause(Milliseconds Span) { PausedUntil_ = Now + Span; }

  std::unique_ptr<Engine> Host;
  TimePoint Now = TimePoint(std::chrono::hours(1));
  std::map<DatabaseId, FakeDatabase> Databases;
  std::map<TaskId, CallerAnswer> Answers;
  std::vector<Forwarded> Forwards;
  /// All requests that were sent to databases.
  std::vector<SentRequest> Sent;
  std::size_t PeakConnections = 0;

  /// Service answers that are lost together with their connection.
  std::size_t AnswersToLose = 0;
  /// Requests that arrive so much later.
  Milliseconds RequestDelay{0};
  Milliseconds ServiceTime{1};
  /// A connection was used while it owed an answer, or a task was answered
  /// twice.
  std::string Violation;

private:
  void schedule(TimePoint When, std::function<void()> Action);
  /// Delivers to the engine, after a pause if there is one.
  void deliver(Milliseconds Delay, std::function<void()> Action);
  void replicate();
  void poll(const DatabaseId &Id, std::uint64_t After, TimePoint Until,
            TimePoint SentAt);
  void control(const ControlRequest &Request);
  void open(ConnectionId Connection, const DatabaseId &Id);
  void close(ConnectionId Connection);
  void send(ConnectionId Connection, const DatabaseRequest &Request);
  void onRequestArrival(ConnectionId Connection, const DatabaseId &Id,
                        const DatabaseRequest &Request);
  void failExchange(ConnectionId Connection, ExchangeId Exchange);

  std::multimap<TimePoint, std::function<void()>> Events_;
  std::map<ConnectionId, DatabaseId> Connections_;
  std::map<ConnectionId, ExchangeId> PendingExchanges_;
  std::set<ConnectionId> Stalled_;
  TimePoint PausedUntil_;
  std::uint64_t LastIdentifier_ = 0;
  TaskId LastTask_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_CORE_ENGINEFIXTURE_H
