#ifndef NUTMEGLOOM_TESTING_LOADTOOL_LOADREPORT_H
#define NUTMEGLOOM_TESTING_LOADTOOL_LOADREPORT_H

#include "testing/loadtool/latencystatistics.h"
#include "testing/loadtool/loadtarget.h"

#include <map>
#include <string>

namespace nutmegloom::testing {

/// Collects the results of a run by kind and class of work.
class LoadReport {
public:
  void record(const LoadRequest &Request, const LoadResult &Result,
              double Milliseconds);
  /// The report as JSON text. Seconds is the measured part of the run.
  std::string toJson(std::uint64_t Seed, double Seconds) const;

private:
  struct Part {
    LatencyStatistics Latency;
    std::map<std::string, std::uint64_t> Errors;
  };

  std::map<std::string, Part> Parts_;
  std::map<std::string, std::uint64_t> Databases_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_LOADTOOL_LOADREPORT_H
