#ifndef NUTMEGLOOM_CORE_CONCURRENCYLIMIT_H
#define NUTMEGLOOM_CORE_CONCURRENCYLIMIT_H

#include <cstdint>
#include <vector>

namespace nutmegloom {

/// Adaptive limit of the statements that run concurrently at a database,
/// derived from the service times measured at each level of concurrency. The
/// number of slots alone does not determine it, because other hosts or other
/// users of the database may hold some of them.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(std::uint32_t Slots);

  void setSlots(std::uint32_t Slots);

  /// Adds the service time of a statement that started when Concurrency
  /// statements (itself included) were running. Ratio is this time divided by
  /// the mean of the statement's digest.
  void add(std::uint32_t Concurrency, double Ratio);

  /// Number of statements that may run concurrently.
  std::uint32_t limit() const { return Limit_; }

private:
  struct Level {
    double Ratio = 1.0;
    std::uint32_t Samples = 0;
  };

  void startTrial();
  void endTrial();
  double throughputAt(std::uint32_t Concurrency) const;

  std::vector<Level> Levels_;
  std::uint32_t Limit_ = 1;
  /// Limit before the current trial; zero if no trial is in progress.
  std::uint32_t LimitBeforeTrial_ = 0;
  bool NextTrialIsLower_ = true;
  std::uint32_t SamplesSinceTrial_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_CONCURRENCYLIMIT_H
