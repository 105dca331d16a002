#include "core/freshness.h"

#include <algorithm>
#include <iterator>

namespace nutmegloom {

Freshness checkFreshness(const Position &Required, std::uint64_t LogTerm,
                         std::uint64_t Applied, const TermHistory &Terms) {
  // A later term may have truncated the log before the required entry. A
  // comparison of the index alone would then accept the entry of the later term
  // at this index.
  const auto Next =
      std::find_if(Terms.begin(), Terms.end(), [&](const TermStart &Entry) {
        return Entry.Term > Required.Term;
      });
  if (Next != Terms.end() && Required.Index > Next->Start)
    return Freshness::Lost;
  // A log in which an earlier term is directly followed by a later one has
  // never contained the required term: its entry at the required index belongs
  // to the earlier term.
  if (Next != Terms.end() && Next != Terms.begin() && Required.Index > 0 &&
      std::prev(Next)->Term < Required.Term)
    return Freshness::Lost;
  if (LogTerm < Required.Term || Applied < Required.Index)
    return Freshness::Stale;
  return Freshness::Fresh;
}

bool containsPosition(const Position &Wanted, std::uint64_t LogTerm,
                      std::uint64_t Received, const TermHistory &Terms) {
  return checkFreshness(Wanted, LogTerm, Received, Terms) == Freshness::Fresh;
}

} // namespace nutmegloom
