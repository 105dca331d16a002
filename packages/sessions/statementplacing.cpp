#include "sessions/statementplacing.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// Added to the cost of a database in another region, whose link is narrow.
constexpr double OtherRegionCostMilliseconds = 20;

} // namespace

const PositionHistory *StatementPlacing::historyOf(const GroupId &Group) const {
  auto Found = Histories_.find(Group);
  return Found == Histories_.end() ? nullptr : &Found->second;
}

void StatementPlacing::onPosition(const DatabaseId &Database, Position Log,
                                  TimePoint BegunAt, TimePoint Now) {
  const DatabaseView *View = Table_.find(Database);
  if (View && Authority_.mayAcknowledge(View->Listing.Group, Database, Now))
    Histories_[View->Listing.Group].add(Log, BegunAt);
}

void StatementPlacing::onLeaderPosition(const GroupId &Group, Position Log,
                                        TimePoint BegunAt) {
  Histories_[Group].add(Log, BegunAt);
}

std::optional<Position>
StatementPlacing::minimumPositionOf(const PlacingNeeds &Needs,
                                    TimePoint Now) const {
  const PositionHistory *History = historyOf(Needs.Group);
  if (!History)
    return std::nullopt;
  std::optional<Position> MinimumPosition =
      History->minimumPositionFor(Needs.MaximumAge, Now);
  if (MinimumPosition && Needs.LastWrite)
    return std::max(*MinimumPosition, *Needs.LastWrite);
  return MinimumPosition;
}

/// The leader needs no floor: it has every commit. The others must hold the
/// floor, and are left out for a while after they lacked one.
std::vector<Place>
StatementPlacing::placesFor(const PlacingNeeds &Needs,
                            const std::set<DatabaseId> &Avoided,
                            TimePoint Now) const {
  std::vector<Place> Places;
  std::optional<DatabaseId> Leader =
      Authority_.leaderForSending(Needs.Group, Now);
  if (Leader) {
    const DatabaseView *View = Table_.find(*Leader);
    if (View && Now >= View->AvoidUntil && !Avoided.contains(*Leader))
      Places.push_back({*Leader, Needs.LastWrite});
  }
  if (Needs.Leader)
    return Places;
  std::optional<Position> MinimumPosition = minimumPositionOf(Needs, Now);
  if (!MinimumPosition)
    return Places;
  for (const DatabaseView *View : Table_.membersOf(Needs.Group)) {
    bool Usable = !View->Listing.Draining && Now >= View->AvoidUntil &&
                  View->Listing.Id != Leader &&
                  !Avoided.contains(View->Listing.Id);
    bool Holds = View->Log && *View->Log >= *MinimumPosition;
    if (Usable && (Holds || Now >= View->BehindUntil))
      Places.push_back({View->Listing.Id, MinimumPosition});
  }
  return Places;
}

double StatementPlacing::costOf(const Place &Where) const {
  const DatabaseView &View = *Table_.find(Where.Database);
  double Slots = std::max(1U, View.Listing.Slots);
  double Cost = static_cast<double>(roundTripOf(View.Away).count()) +
                View.ServiceMilliseconds * (1 + View.InFlight / Slots);
  if (View.Away == Distance::OtherRegion)
    Cost += OtherRegionCostMilliseconds;
  return Cost;
}

} // namespace nutmegloom
