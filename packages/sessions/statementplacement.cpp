#include "sessions/statementplacement.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// Added to the cost of a database in another region, since the bandwidth
/// between regions is low.
constexpr double OtherRegionCostMilliseconds = 20;

} // namespace

const PositionHistory *
StatementPlacement::historyOf(const GroupId &Group) const {
  auto Found = Histories_.find(Group);
  return Found == Histories_.end() ? nullptr : &Found->second;
}

void StatementPlacement::onPosition(const DatabaseId &Database, Position Log,
                                    TimePoint BegunAt, TimePoint Now) {
  const DatabaseInfo *Info = Table_.find(Database);
  if (Info && Authority_.mayAcknowledge(Info->Listing.Group, Database, Now))
    Histories_[Info->Listing.Group].add(Log, BegunAt);
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

/// The leader has every commit, so only the session's last write is required of
/// it. Replicas must have reached the minimum position; one that had not is
/// excluded for a while, unless it is known to have reached it since.
std::vector<PlacementCandidate>
StatementPlacement::candidatesFor(const PlacementConstraints &Constraints,
                                  const std::set<DatabaseId> &Avoided,
                                  TimePoint Now) const {
  std::vector<PlacementCandidate> Candidates;
  std::optional<DatabaseId> Leader =
      Authority_.leaderForSending(Constraints.Group, Now);
  if (Leader) {
    const DatabaseInfo *Info = Table_.find(*Leader);
    if (Info && Now >= Info->AvoidUntil && !Avoided.contains(*Leader))
      Candidates.push_back({*Leader, Constraints.LastWrite});
  }
  if (Constraints.Leader)
    return Candidates;
  std::optional<Position> MinimumPosition = minimumPositionOf(Constraints, Now);
  if (!MinimumPosition)
    return Candidates;
  for (const DatabaseInfo *Info : Table_.membersOf(Constraints.Group)) {
    bool Usable = !Info->Listing.Draining && Now >= Info->AvoidUntil &&
                  Info->Listing.Id != Leader &&
                  !Avoided.contains(Info->Listing.Id);
    bool Holds = Info->Log && *Info->Log >= *MinimumPosition;
    if (Usable && (Holds || Now >= Info->LaggingUntil))
      Candidates.push_back({Info->Listing.Id, MinimumPosition});
  }
  return Candidates;
}

double StatementPlacement::costOf(const PlacementCandidate &Where) const {
  const DatabaseInfo &Info = *Table_.find(Where.Database);
  double Slots = std::max(1U, Info.Listing.Slots);
  double Cost = static_cast<double>(roundTripOf(Info.HostDistance).count()) +
                Info.ServiceMilliseconds * (1 + Info.InFlight / Slots);
  if (Info.HostDistance == Distance::OtherRegion)
    Cost += OtherRegionCostMilliseconds;
  return Cost;
}

} // namespace nutmegloom
