#ifndef NUTMEGLOOM_SESSIONS_STOREREVISION_H
#define NUTMEGLOOM_SESSIONS_STOREREVISION_H

#include <compare>
#include <cstdint>

namespace nutmegloom {

/// Version of an object or of a list in the platform's store. Numbers increase
/// within an era. A store that returns with an older copy of its content begins
/// a new era, in which it may give out the same numbers again.
struct StoreRevision {
  /// Era zero: the store does not report eras.
  constexpr StoreRevision(std::uint64_t Number = 0, std::uint64_t Era = 0)
      : Era(Era), Number(Number) {}

  std::uint64_t Era;
  /// Zero: the object does not exist, or is not known.
  std::uint64_t Number;

  constexpr bool isSet() const { return Number > 0; }
  auto operator<=>(const StoreRevision &) const = default; // NOLINT
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STOREREVISION_H
