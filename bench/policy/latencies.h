#ifndef NUTMEGLOOM_BENCH_POLICY_LATENCIES_H
#define NUTMEGLOOM_BENCH_POLICY_LATENCIES_H

#include <memory>

namespace nutmegloom {

/// A histogram of times in milliseconds, with 1% steps.
class Latencies {
public:
  Latencies();
  ~Latencies();
  Latencies(Latencies &&) noexcept;

  void add(double Milliseconds);
  /// Upper bound of the bin that holds the quantile; 0 when there is none.
  double quantile(double Part) const;
  double count() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_LATENCIES_H
