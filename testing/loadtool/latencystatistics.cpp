#include "testing/loadtool/latencystatistics.h"

#include <boost/histogram.hpp>

#include <algorithm>

namespace nutmegloom::testing {

namespace histogram = boost::histogram;

static constexpr double LeastMilliseconds = 0.01;
static constexpr double MostMilliseconds = 120000;
// 16.3 e-folds in 2000 bins: each bin is 0.8% wide.
static constexpr unsigned Bins = 2000;

using LogarithmicAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;

struct LatencyStatistics::Histogram {
  decltype(histogram::make_histogram(
      LogarithmicAxis(Bins, LeastMilliseconds, MostMilliseconds))) Counts =
      histogram::make_histogram(
          LogarithmicAxis(Bins, LeastMilliseconds, MostMilliseconds));
};

LatencyStatistics::LatencyStatistics()
    : Histogram_(std::make_unique<Histogram>()) {}
LatencyStatistics::~LatencyStatistics() = default;
LatencyStatistics::LatencyStatistics(LatencyStatistics &&) noexcept = default;

void LatencyStatistics::record(double Milliseconds) {
  Histogram_->Counts(
      std::clamp(Milliseconds, LeastMilliseconds, MostMilliseconds * 0.999));
  ++Count_;
  Greatest_ = std::max(Greatest_, Milliseconds);
}

double LatencyStatistics::percentile(double Share) const {
  const double Wanted = Share * static_cast<double>(Count_);
  double Seen = 0;
  for (const auto &Bin : histogram::indexed(Histogram_->Counts)) {
    Seen += *Bin;
    if (Seen >= Wanted && Seen > 0)
      return Bin.bin().center();
  }
  return 0;
}

} // namespace nutmegloom::testing
