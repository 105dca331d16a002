#ifndef NUTMEGLOOM_TESTING_LOADTOOL_WORKLOAD_H
#define NUTMEGLOOM_TESTING_LOADTOOL_WORKLOAD_H

#include "core/types.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace nutmegloom::testing {

struct WorkloadOptions {
  std::uint64_t Seed = 1;
  std::uint64_t Groups = 1;
  std::uint64_t Sessions = 50;
  std::uint64_t Keys = 1000;
  /// Shares of all requests, from 0 to 1.
  double WriteShare = 0.2;
  double StatedAgeShare = 0;
  double StragglerShare = 0;
  /// Share of requests before which the session moves to another host.
  double MoveShare = 0;
  std::uint64_t MaximumAgeMs = 1000;
  /// Time for which a statement holds a slot.
  std::uint64_t WorkMs = 0;
  std::uint64_t StragglerMs = 0;
  /// Classes of work, chosen with equal probability. Empty: no class is sent.
  std::vector<std::string> Classes;
};

struct LoadRequest {
  std::uint64_t Number = 0;
  std::size_t Session = 0;
  std::uint64_t Group = 0;
  StatementKind Kind = StatementKind::Read;
  std::optional<std::uint64_t> MaximumAgeMs;
  std::string WorkClass;
  /// JSON text.
  std::string Statement;
  std::string Key;
  bool Straggler = false;
  bool MovesHost = false;
};

/// Generates the same requests and arrival times for the same seed.
class Workload {
public:
  explicit Workload(WorkloadOptions Options);

  LoadRequest next();
  /// Time to the next arrival of a Poisson process, in seconds.
  double nextGap(double RequestsPerSecond);

private:
  bool happens(double Share);
  std::uint64_t below(std::uint64_t Limit);

  WorkloadOptions Options_;
  std::mt19937_64 Random_;
  std::uint64_t Number_ = 0;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_LOADTOOL_WORKLOAD_H
