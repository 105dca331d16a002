#ifndef NUTMEGLOOM_CORE_SERVICETIMES_H
#define NUTMEGLOOM_CORE_SERVICETIMES_H

#include "core/types.h"

#include <unordered_map>

namespace nutmegloom {

/// Learned service times of statement shapes at one database, in milliseconds.
class ServiceTimes {
public:
  void add(std::uint64_t StatementDigest, double Sample);

  /// Mean of the shape, or the mean of all when the shape is not known.
  double meanOf(std::uint64_t StatementDigest) const;
  /// Mean over all statements that are not long.
  double shortMean() const { return ShortMean_; }
  /// True when the shape takes many times longer than short statements.
  bool isLong(std::uint64_t StatementDigest) const;
  /// True when a statement that has run for this long counts as long,
  /// whatever its shape.
  bool isLongAge(double AgeMilliseconds) const;

private:
  std::unordered_map<std::uint64_t, double> Means_;
  double ShortMean_ = 5.0;
  bool HasShortMean_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_SERVICETIMES_H
