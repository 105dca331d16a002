#include "bench/policy/latencies.h"

#include <boost/histogram.hpp>

#include <algorithm>

namespace nutmegloom {

static constexpr double LowestMilliseconds = 0.01;
static constexpr double HighestMilliseconds = 100000;
/// 1620 logarithmic bins over seven decades are steps of 1%.
static constexpr unsigned Bins = 1620;

using LogAxis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

struct Latencies::State {
  decltype(boost::histogram::make_histogram(
      LogAxis(Bins, LowestMilliseconds, HighestMilliseconds))) Histogram =
      boost::histogram::make_histogram(
          LogAxis(Bins, LowestMilliseconds, HighestMilliseconds));
  double Count = 0;
};

Latencies::Latencies() : State_(std::make_unique<State>()) {}
Latencies::~Latencies() = default;
Latencies::Latencies(Latencies &&) noexcept = default;

void Latencies::add(double Milliseconds) {
  State_->Histogram(
      std::clamp(Milliseconds, LowestMilliseconds, HighestMilliseconds * 0.99));
  ++State_->Count;
}

double Latencies::count() const { return State_->Count; }

double Latencies::quantile(double Part) const {
  double Seen = 0;
  for (const auto &Bin : boost::histogram::indexed(State_->Histogram)) {
    Seen += *Bin;
    if (Seen >= Part * State_->Count && Seen > 0)
      return Bin.bin().upper();
  }
  return 0;
}

} // namespace nutmegloom
