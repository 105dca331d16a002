#include "core/readvalidator.h"

#include "core/termcheck.h"

#include <algorithm>
#include <tuple>

namespace nutmegloom {

std::uint64_t termAt(const TermHistory &Terms, std::uint64_t Index) {
  std::uint64_t Term = 0;
  for (const TermStart &Entry : Terms)
    if (Entry.Start < Index)
      Term = Entry.Term;
  return Term;
}

Position laterOf(const std::optional<Position> &Required,
                 const Position &Seen) {
  if (!Required || std::tie(Required->Term, Required->Index) <
                       std::tie(Seen.Term, Seen.Index))
    return Seen;
  return *Required;
}

bool isOnDiscardedBranch(const GroupEntity &Group, std::uint64_t LogTerm,
                         std::uint64_t Applied) {
  if (Group.Terms.empty() || LogTerm >= Group.Terms.back().Term)
    return false;
  const auto Own = std::find_if(
      Group.Terms.begin(), Group.Terms.end(),
      [&](const TermStart &Entry) { return Entry.Term == LogTerm; });
  // Entries of a term that is not in the group's history were all discarded.
  if (Own == Group.Terms.end())
    return true;
  const auto Next = std::next(Own);
  return Next != Group.Terms.end() && Applied > Next->Start;
}

bool ReadValidator::isPositionLost(const Position &Required,
                                   const GroupEntity &Group,
                                   TimePoint Now) const {
  if (Group.Terms.empty())
    return false;
  const TermStart &Last = Group.Terms.back();
  if (Last.Term != Group.Term ||
      checkFreshness(Required, Last.Term, Required.Index, Group.Terms) !=
          Freshness::Lost)
    return false;
  // Until a majority holds the first entry of the current term, a later
  // promotion may still choose a log that contains the required entry.
  return Terms_.isConfirmed(Group.Id, Group.Term,
                            Position{Group.Term, Last.Start + 1}) &&
         Terms_.hasRecentMajority(Group.Id, Group.Term, Now);
}

Freshness ReadValidator::validate(const CallerRequest &Request,
                                  const DatabaseAnswer &Answer,
                                  const GroupEntity &Group,
                                  TimePoint Now) const {
  if (Request.Required && isPositionLost(*Request.Required, Group, Now))
    return Freshness::Lost;
  if (isOnDiscardedBranch(Group, Answer.LogTerm, Answer.Index))
    return Freshness::Stale;
  if (Request.MaximumAge && Answer.Age > *Request.MaximumAge)
    return Freshness::Stale;
  if (!Request.Required)
    return Freshness::Fresh;
  const Freshness Verdict = checkFreshness(*Request.Required, Answer.LogTerm,
                                           Answer.Index, Answer.Terms);
  // The history of one database does not prove the loss, because its own log
  // may be the one that is discarded.
  return Verdict == Freshness::Lost ? Freshness::Stale : Verdict;
}

std::optional<Position> ReadValidator::seen(const CallerRequest &Request,
                                            const DatabaseAnswer &Answer,
                                            const GroupEntity &Group) const {
  // A position above the confirmed index may be lost in a failover. The session
  // would then get the error for a lost write, although it made no write.
  const std::uint64_t Index =
      std::min(Answer.Index, Terms_.confirmedIndex(Group.Id));
  const Position Read{termAt(Answer.Terms, Index), Index};
  if (Read.Term == 0)
    return Request.Required;
  return laterOf(Request.Required, Read);
}

} // namespace nutmegloom
