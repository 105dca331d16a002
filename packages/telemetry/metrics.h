#ifndef NUTMEGLOOM_TELEMETRY_METRICS_H
#define NUTMEGLOOM_TELEMETRY_METRICS_H

#include "core/engine.h"

#include <memory>
#include <string>
#include <string_view>

namespace nutmegloom {

/// State of a host at the time of a scrape. Counters are totals since its
/// start.
struct MetricsSnapshot {
  EngineCounters Engine;
  std::uint64_t ConfigurationVersion = 0;
  bool Ready = false;
  std::size_t CallerConnections = 0;
  std::size_t DatabaseConnections = 0;
  /// Callers' requests without an answer, waiting or running.
  std::size_t RequestsInProgress = 0;
  /// Tasks forwarded by other hosts that have no answer yet.
  std::size_t ForwardedInProgress = 0;
  std::uint64_t ConnectionsAccepted = 0;
  std::uint64_t ConnectionsRefused = 0;
  std::uint64_t RequestsMalformed = 0;
  std::uint64_t RequestsTimedOut = 0;
  std::uint64_t CallersGone = 0;

  struct Group {
    GroupId Id;
    std::uint64_t Term = 0;
    bool HasPrimary = false;
    bool Active = false;
    /// Tasks that wait for a primary or in the queue of a database.
    std::size_t Waiting = 0;
  };
  std::vector<Group> Groups;
  struct Database {
    DatabaseId Id;
    Milliseconds Age{0};
    bool Reachable = false;
  };
  std::vector<Database> Databases;
};

/// Metrics of a host in the Prometheus text format. Not thread-safe.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// Records an answered request. Kind is the kind of the statement, or the
  /// step of a transaction.
  void observeRequest(std::string_view Kind, std::string_view WorkClass,
                      Duration Time);
  /// Counts a request that was answered with an error.
  void countError(std::string_view Code);
  /// Records an exchange with a database.
  void observeDatabaseExchange(std::string_view Operation, Duration Time);
  /// Counts a message to another host, to the control port of a database or to
  /// the platform. Bytes is the size of its payload without framing.
  void countControlMessage(std::string_view Kind, std::size_t Bytes);

  std::string serialize(const MetricsSnapshot &Snapshot);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_METRICS_H
