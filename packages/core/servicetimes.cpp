#include "core/servicetimes.h"

#include <algorithm>

namespace nutmegloom {

/// Weight of a new sample in a moving average.
static constexpr double SampleWeight = 0.1;
/// A statement is long if it takes at least this multiple of the mean of short
/// statements.
static constexpr double LongFactor = 8.0;
/// Maximum number of digests in the table. Callers choose the statements, so
/// the number of digests has no other bound.
static constexpr std::size_t MaximumDigests = 4096;

void ServiceTimes::add(std::uint64_t StatementDigest, double Sample) {
  const auto Found = Means_.find(StatementDigest);
  if (Found != Means_.end())
    Found->second += SampleWeight * (Sample - Found->second);
  else if (Means_.size() < MaximumDigests)
    Means_.emplace(StatementDigest, Sample);

  if (!HasShortMean_) {
    HasShortMean_ = true;
    ShortMean_ = Sample;
    return;
  }
  // The first sample may be from a long statement, so a much lower sample
  // replaces the mean at once. Samples of long statements are left out.
  if (Sample * LongFactor < ShortMean_)
    ShortMean_ = Sample;
  else if (Sample < ShortMean_ * LongFactor)
    ShortMean_ += SampleWeight * (Sample - ShortMean_);
}

double ServiceTimes::meanOf(std::uint64_t StatementDigest) const {
  const auto Found = Means_.find(StatementDigest);
  return Found == Means_.end() ? ShortMean_ : Found->second;
}

bool ServiceTimes::isLong(std::uint64_t StatementDigest) const {
  const auto Found = Means_.find(StatementDigest);
  return Found != Means_.end() && Found->second >= ShortMean_ * LongFactor;
}

bool ServiceTimes::isLongAge(double AgeMilliseconds) const {
  return AgeMilliseconds >= ShortMean_ * LongFactor;
}

} // namespace nutmegloom
