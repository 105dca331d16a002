#ifndef NUTMEGLOOM_CORE_FRESHNESS_H
#define NUTMEGLOOM_CORE_FRESHNESS_H

#include "core/types.h"

namespace nutmegloom {

enum class Freshness {
  /// The state holds the position.
  Fresh,
  /// The state doesn't hold the position yet.
  Stale,
  /// The log went on without the position: the write it names is lost.
  Lost,
};

/// Compares the position that a session requires with the state that a
/// database answered from: the term of its log, the index that its reads see
/// and the terms of its log.
Freshness checkFreshness(const Position &Required, std::uint64_t LogTerm,
                         std::uint64_t Applied, const TermHistory &Terms);

/// True when a log with the given last position and terms holds Wanted.
bool containsPosition(const Position &Wanted, std::uint64_t LogTerm,
                      std::uint64_t Received, const TermHistory &Terms);

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_FRESHNESS_H
