#include "sessions/statementplacement.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// Added to the cost of a database in another region, whose link is narrow.
constexpr double OtherRegionCostMilliseconds = 20;

} // namespace

const PositionHistory *
StatementPlacement::historyOf(const GroupId &Group) const {
  auto Found = Histories_.find(Group);
  return Found == Histories_.end() ? nullptr : &Found->second;
}

void StatementPlacement::onPosition(const DatabaseId &Database, Position Log,
                                    TimePoint BegunAt, TimePoint Now) {
  const DatabaseView *View = Table_.find(Database);
  if (View && Authority_.mayAcknowledge(View->Listing.Group, Database, Now))
    Histories_[View->Listing.Group].add(Log, BegunAt);
}

void StatementPlacement::onLeaderPosition(const GroupId &Group, Position Log,
                                          TimePoint BegunAt) {
  Histories_[Group].add(Log, BegunAt);
}

std::optional<Position>
StatementPlacement::minimumPositionOf(const PlacementConstraints &Constraints,
                                      TimePoint Now) const {
  const PositionHistory *History = historyOf(Constraints.Group);
  if (!History)
    return std::nullopt;
  std::optional<Position> MinimumPosition =
      History->minimumPositionFor(Constraints.MaximumAge, Now);
  if (MinimumPosition && Constraints.LastWrite)
    return std::max(*MinimumPosition, *Constraints.LastWrite);
  return MinimumPosition;
}

/// The leader needs no floor: it has every commit. The others must hold the
/// floor, and are left out for a while after they lacked one.
std::vector<PlacementCandidate>
StatementPlacement::candidatesFor(const PlacementConstraints &Constraints,
                                  const std::set<DatabaseId> &Avoided,
                                  TimePoint Now) const {
  std::vector<PlacementCandidate> Candidates;
  std::optional<DatabaseId> Leader =
      Authority_.leaderForSending(Constraints.Group, Now);
  if (Leader) {
    const DatabaseView *View = Table_.find(*Leader);
    if (View && Now >= View->AvoidUntil && !Avoided.contains(*Leader))
      Candidates.push_back({*Leader, Constraints.LastWrite});
  }
  if (Constraints.Leader)
    return Candidates;
  std::optional<Position> MinimumPosition = minimumPositionOf(Constraints, Now);
  if (!MinimumPosition)
    return Candidates;
  for (const DatabaseView *View : Table_.membersOf(Constraints.Group)) {
    bool Usable = !View->Listing.Draining && Now >= View->AvoidUntil &&
                  View->Listing.Id != Leader &&
                  !Avoided.contains(View->Listing.Id);
    bool Holds = View->Log && *View->Log >= *MinimumPosition;
    if (Usable && (Holds || Now >= View->BehindUntil))
      Candidates.push_back({View->Listing.Id, MinimumPosition});
  }
  return Candidates;
}

double StatementPlacement::costOf(const PlacementCandidate &Where) const {
  const DatabaseView &View = *Table_.find(Where.Database);
  double Slots = std::max(1U, View.Listing.Slots);
  double Cost = static_cast<double>(roundTripOf(View.Away).count()) +
                View.ServiceMilliseconds * (1 + View.InFlight / Slots);
  if (View.Away == Distance::OtherRegion)
    Cost += OtherRegionCostMilliseconds;
  return Cost;
}

} // namespace nutmegloom
