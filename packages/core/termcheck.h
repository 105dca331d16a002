#ifndef NUTMEGLOOM_CORE_TERMCHECK_H
#define NUTMEGLOOM_CORE_TERMCHECK_H

#include "core/tables.h"

namespace nutmegloom {

/// Answers, from the statuses of a group's members, whether a primary may
/// still be trusted and which log positions are safe.
class TermCheck {
public:
  TermCheck(const Tables &Data, const Policy &Limits);

  /// True when a majority of the members stated this term in exchanges that
  /// were sent no earlier than Now minus the validity.
  bool hasRecentMajority(const GroupId &Group, std::uint64_t Term,
                         TimePoint Now) const;

  /// True when some member has promised a term above this one.
  bool hasHigherTerm(const GroupId &Group, std::uint64_t Term) const;

  /// True when a majority of the members hold the position under the term.
  bool isConfirmed(const GroupId &Group, std::uint64_t Term,
                   const Position &Wanted) const;

  /// Greatest index that a majority of the members hold under the group's
  /// current term.
  std::uint64_t confirmedIndex(const GroupId &Group) const;

private:
  const Tables &Data_;
  const Policy &Limits_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TERMCHECK_H
