#ifndef NUTMEGLOOM_BENCH_POLICY_WORKLOAD_H
#define NUTMEGLOOM_BENCH_POLICY_WORKLOAD_H

#include "core/tables.h"

#include <random>

namespace nutmegloom {

/// Sizes of a deployment, from the examples.
struct DeploymentSize {
  std::string Name;
  std::uint32_t Groups = 3;
  std::uint32_t Slots = 5;
  std::uint32_t ConnectionCap = 35;
  Milliseconds ConnectionCost{12};
  /// One way, between availability zones.
  Milliseconds ZoneLatency{1};
  std::vector<Policy::WorkClass> Classes;
  /// Part of the requests of each class, and part of them that write.
  struct ClassMix {
    double Part = 0;
    double Writes = 0;
    /// Stated age of the reads; zero: the session's own writes decide alone.
    Milliseconds MaximumAge{0};
    Milliseconds Timeout{2000};
  };
  std::vector<ClassMix> Mix;
};

DeploymentSize onss();
DeploymentSize harlowRidge();

/// What varies between runs.
struct WorkloadOptions {
  std::uint64_t Seed = 1;
  /// Demand as a part of the capacity of all databases.
  double Demand = 0.5;
  Milliseconds ApplyLag{0};
  double StragglerPart = 0;
  double StragglerFactor = 50;
  Milliseconds Length{20000};
  /// Requests that arrive before this time are not counted.
  Milliseconds WarmUp{4000};
};

constexpr double ReadMilliseconds = 4.0;
constexpr double WriteMilliseconds = 6.0;
constexpr std::uint64_t ReadShape = 1;
constexpr std::uint64_t WriteShape = 2;
constexpr std::uint64_t StragglerShape = 3;

/// One request of the workload.
struct WorkItem {
  TimePoint Arrival;
  std::uint32_t Group = 0;
  std::uint32_t Session = 0;
  std::size_t ClassIndex = 0;
  StatementKind Kind = StatementKind::Read;
  bool Straggler = false;
  std::optional<Milliseconds> MaximumAge;
  Milliseconds Timeout{0};
  /// Time in a slot.
  double WorkMilliseconds = 0;
};

/// All requests of a run, in the order of their arrival. The same seed gives
/// the same requests to every policy.
std::vector<WorkItem> makeWorkload(const DeploymentSize &Size,
                                   const WorkloadOptions &Options,
                                   TimePoint Start);

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_WORKLOAD_H
