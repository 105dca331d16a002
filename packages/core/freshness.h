#ifndef NUTMEGLOOM_CORE_FRESHNESS_H
#define NUTMEGLOOM_CORE_FRESHNESS_H

#include "core/types.h"

namespace nutmegloom {

enum class Freshness {
  /// The database has applied the position.
  Fresh,
  /// The database has not applied the position yet.
  Stale,
  /// The log continues in a later term without the position, so the write at
  /// this position is lost.
  Lost,
};

/// Compares the position that a session requires with the state from which a
/// database answered: the last term of its log, the index applied and the log's
/// term history.
Freshness checkFreshness(const Position &Required, std::uint64_t LogTerm,
                         std::uint64_t Applied, const TermHistory &Terms);

/// True if a log with the given last term, last index and term history contains
/// Wanted.
bool containsPosition(const Position &Wanted, std::uint64_t LogTerm,
                      std::uint64_t Received, const TermHistory &Terms);

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_FRESHNESS_H
