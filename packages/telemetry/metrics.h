#ifndef NUTMEGLOOM_TELEMETRY_METRICS_H
#define NUTMEGLOOM_TELEMETRY_METRICS_H

#include "core/engine.h"

#include <memory>
#include <string>
#include <string_view>

namespace nutmegloom {

/// State of a host at the time of a scrape.
struct MetricsSnapshot {
  EngineCounters Engine;
  std::uint64_t ConfigurationVersion = 0;
  bool Ready = false;
  std::size_t CallerConnections = 0;
  std::size_t DatabaseConnections = 0;
  /// Callers' requests that have no answer yet: waiting and running.
  std::size_t RequestsInProgress = 0;
  /// Tasks of other hosts that have no answer yet.
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
    /// Work that waits for a primary or in the queue of a database.
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

/// The metrics of a host in the text format of Prometheus. One thread uses it.
class Metrics {
public:
  Metrics();
  ~Metrics();

  /// An answered request. Kind is the kind of its statement or its step.
  void observeRequest(std::string_view Kind, std::string_view WorkClass,
                      Duration Time);
  void countError(std::string_view Code);
  /// An exchange with a database.
  void observeDatabaseExchange(std::string_view Operation, Duration Time);
  /// A message between hosts, to a control port or to the platform. Bytes
  /// counts the payload only.
  void countControlMessage(std::string_view Kind, std::size_t Bytes);

  std::string serialize(const MetricsSnapshot &Snapshot);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_METRICS_H
