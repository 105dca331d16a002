#ifndef NUTMEGLOOM_CORE_CONCURRENCYLIMIT_H
#define NUTMEGLOOM_CORE_CONCURRENCYLIMIT_H

#include <cstdint>
#include <vector>

namespace nutmegloom {

/// Finds how many statements a database gains from having under way at once,
/// from the service times measured at each level. Another owner or another
/// user of the database may hold some of its slots.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(std::uint32_t Slots);

  void setSlots(std::uint32_t Slots);

  /// A statement started when Concurrency statements (itself included) were
  /// under way. Ratio is its service time divided by the mean of its shape.
  void add(std::uint32_t Concurrency, double Ratio);

  /// Statements to have under way at once.
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
  /// Limit before the trial that is under way; 0: none is.
  std::uint32_t LimitBeforeTrial_ = 0;
  bool NextTrialIsLower_ = true;
  std::uint32_t SamplesSinceTrial_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_CONCURRENCYLIMIT_H
