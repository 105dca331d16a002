#ifndef NUTMEGLOOM_BENCH_POLICY_RUN_H
#define NUTMEGLOOM_BENCH_POLICY_RUN_H

#include "bench/policy/latencies.h"
#include "bench/policy/system.h"

namespace nutmegloom {

/// Figures of one run.
struct RunFigures {
  std::uint64_t Requests = 0;
  std::uint64_t Refused = 0;
  /// Answered within the deadline.
  std::uint64_t Good = 0;
  /// Work of the good answers, as a part of the capacity of all slots.
  double Goodput = 0;
  std::uint64_t Reads = 0;
  std::uint64_t ReplicaReads = 0;
  /// Reads for which a replica was fresh enough when they arrived.
  std::uint64_t AllowedReads = 0;
  /// Those that a replica served.
  std::uint64_t AllowedFromReplica = 0;
  std::uint64_t Violations = 0;
  /// Response times of answered requests by class.
  std::vector<Latencies> ByClass;
  /// Time beyond the work itself of answered requests that are no stragglers.
  Latencies ShortWait;
  /// Response times of stragglers.
  Latencies Straggler;
};

RunFigures runPolicy(SystemKind Kind, const DeploymentSize &Size,
                     const WorkloadOptions &Options);

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_RUN_H
