#ifndef NUTMEGLOOM_CORE_TERMCHECK_H
#define NUTMEGLOOM_CORE_TERMCHECK_H

#include "core/tables.h"

namespace nutmegloom {

/// Determines from the statuses of a group's members whether the term of its
/// primary is current and which log positions a majority holds.
class TermCheck {
public:
  TermCheck(const Tables &Data, const Policy &Limits);

  /// True if a majority of the members reported this term in answer to requests
  /// that were sent within Policy::TermValidity before Now.
  bool hasRecentMajority(const GroupId &Group, std::uint64_t Term,
                         TimePoint Now) const;

  /// True if the group or one of its members is known to have a higher term.
  bool hasHigherTerm(const GroupId &Group, std::uint64_t Term) const;

  /// True if a majority of the members hold the position and have Term as both
  /// their promised term and their last log term.
  bool isConfirmed(const GroupId &Group, std::uint64_t Term,
                   const Position &Wanted) const;

  /// Highest index that a majority of the members, counted as in isConfirmed(),
  /// hold under the group's current term; zero if there is none.
  std::uint64_t confirmedIndex(const GroupId &Group) const;

private:
  const Tables &Data_;
  const Policy &Limits_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TERMCHECK_H
