#ifndef NUTMEGLOOM_TESTING_LOADTOOL_LATENCYSTATISTICS_H
#define NUTMEGLOOM_TESTING_LOADTOOL_LATENCYSTATISTICS_H

#include <cstdint>
#include <memory>

namespace nutmegloom::testing {

/// Percentiles of latencies, with a relative error below 1%.
class LatencyStatistics {
public:
  LatencyStatistics();
  ~LatencyStatistics();
  LatencyStatistics(LatencyStatistics &&) noexcept;

  void record(double Milliseconds);
  std::uint64_t count() const { return Count_; }
  double greatest() const { return Greatest_; }
  /// Latency in milliseconds below which the share (0 to 1) of them lies.
  double percentile(double Share) const;

private:
  struct Histogram;
  std::unique_ptr<Histogram> Histogram_;
  std::uint64_t Count_ = 0;
  double Greatest_ = 0;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_LOADTOOL_LATENCYSTATISTICS_H
