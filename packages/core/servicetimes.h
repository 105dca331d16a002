#ifndef NUTMEGLOOM_CORE_SERVICETIMES_H
#define NUTMEGLOOM_CORE_SERVICETIMES_H

#include "core/types.h"

#include <unordered_map>

namespace nutmegloom {

/// Moving averages of the service times of statement digests at one database,
/// in milliseconds.
class ServiceTimes {
public:
  void add(std::uint64_t StatementDigest, double Sample);

  /// Mean of the digest, or of short statements if the digest is unknown.
  double meanOf(std::uint64_t StatementDigest) const;
  /// Mean of the statements that are not long.
  double shortMean() const { return ShortMean_; }
  /// True if the digest takes many times longer than short statements.
  bool isLong(std::uint64_t StatementDigest) const;
  /// True if a statement that has run for this time counts as long, whatever
  /// its digest.
  bool isLongAge(double AgeMilliseconds) const;

private:
  std::unordered_map<std::uint64_t, double> Means_;
  double ShortMean_ = 5.0;
  bool HasShortMean_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_SERVICETIMES_H
