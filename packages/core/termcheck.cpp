#include "core/termcheck.h"

#include "core/freshness.h"

#include <algorithm>
#include <functional>

namespace nutmegloom {

static const GroupEntity *findGroup(const Tables &Data, const GroupId &Group) {
  const auto Found = Data.Groups.find(Group);
  return Found == Data.Groups.end() ? nullptr : &Found->second;
}

/// Calls Visit for each member of the group that has reported a status.
static void forEachReportedMember(
    const Tables &Data, const GroupEntity &Group,
    const std::function<void(const DatabaseEntity &)> &Visit) {
  for (const DatabaseId &Member : Group.Members) {
    const auto Found = Data.Databases.find(Member);
    if (Found != Data.Databases.end() && Found->second.StatusSentAt)
      Visit(Found->second);
  }
}

static bool isMajority(std::size_t Count, const GroupEntity &Group) {
  return Count * 2 > Group.Members.size();
}

/// True if the member's log counts for confirmations under Term. A member that
/// has promised another term may already have granted the promotion of a log
/// without these entries, and a log that ends in another term may be discarded
/// in favor of one that ends in a higher term.
static bool canConfirm(const DatabaseEntity &Member, std::uint64_t Term) {
  return Member.Status.Term == Term && Member.Status.LogTerm == Term;
}

TermCheck::TermCheck(const Tables &Data, const Policy &Limits)
    : Data_(Data), Limits_(Limits) {}

bool TermCheck::hasRecentMajority(const GroupId &Group, std::uint64_t Term,
                                  TimePoint Now) const {
  const GroupEntity *Entity = findGroup(Data_, Group);
  if (!Entity)
    return false;
  std::size_t Count = 0;
  forEachReportedMember(Data_, *Entity, [&](const DatabaseEntity &Member) {
    if (Member.Status.Term == Term &&
        *Member.StatusSentAt >= Now - Limits_.TermValidity)
      ++Count;
  });
  return isMajority(Count, *Entity);
}

bool TermCheck::hasHigherTerm(const GroupId &Group, std::uint64_t Term) const {
  const GroupEntity *Entity = findGroup(Data_, Group);
  if (!Entity)
    return false;
  bool Replaced = Entity->Term > Term;
  forEachReportedMember(Data_, *Entity, [&](const DatabaseEntity &Member) {
    Replaced = Replaced || Member.Status.Term > Term;
  });
  return Replaced;
}

bool TermCheck::isConfirmed(const GroupId &Group, std::uint64_t Term,
                            const Position &Wanted) const {
  const GroupEntity *Entity = findGroup(Data_, Group);
  if (!Entity)
    return false;
  std::size_t Count = 0;
  forEachReportedMember(Data_, *Entity, [&](const DatabaseEntity &Member) {
    const DatabaseStatus &Status = Member.Status;
    if (canConfirm(Member, Term) &&
        containsPosition(Wanted, Status.LogTerm, Status.Received, Status.Terms))
      ++Count;
  });
  return isMajority(Count, *Entity);
}

std::uint64_t TermCheck::confirmedIndex(const GroupId &Group) const {
  const GroupEntity *Entity = findGroup(Data_, Group);
  if (!Entity)
    return 0;
  std::vector<std::uint64_t> Received;
  forEachReportedMember(Data_, *Entity, [&](const DatabaseEntity &Member) {
    if (canConfirm(Member, Entity->Term))
      Received.push_back(Member.Status.Received);
  });
  const std::size_t Majority = Entity->Members.size() / 2 + 1;
  if (Received.size() < Majority)
    return 0;
  std::sort(Received.begin(), Received.end(), std::greater<>());
  return Received[Majority - 1];
}

} // namespace nutmegloom
