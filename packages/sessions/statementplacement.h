#ifndef NUTMEGLOOM_SESSIONS_STATEMENTPLACEMENT_H
#define NUTMEGLOOM_SESSIONS_STATEMENTPLACEMENT_H

#include "sessions/databasetable.h"
#include "sessions/leaderauthority.h"
#include "sessions/positionhistory.h"

#include <set>

namespace nutmegloom {

/// What a statement needs of the database that runs it.
struct PlacementConstraints {
  GroupId Group;
  /// Only the leader may run it.
  bool Leader = false;
  /// Oldest data that it accepts, when it doesn't need the leader.
  Milliseconds MaximumAge{0};
  /// Position of the session's own last write.
  std::optional<Position> LastWrite;
};

/// A database that may run a statement.
struct PlacementCandidate {
  DatabaseId Database;
  /// Position that its log must hold.
  std::optional<Position> MinimumPosition;
};

/// Where statements may run, and at what cost. It answers the load of reads
/// that replicas can serve: the leader's slots are kept for what needs it, and
/// the narrow links between regions for what no near database can serve.
class StatementPlacement {
public:
  StatementPlacement(const DatabaseTable &Table,
                     const LeaderAuthority &Authority)
      : Table_(Table), Authority_(Authority) {}

  /// Databases that may run the statement now.
  std::vector<PlacementCandidate>
  candidatesFor(const PlacementConstraints &Constraints,
                const std::set<DatabaseId> &Avoided, TimePoint Now) const;
  /// Expected time from sending a statement to its answer, in milliseconds,
  /// with the price of distance.
  double costOf(const PlacementCandidate &Where) const;

  /// A database reported its log in an exchange that began at BegunAt.
  void onPosition(const DatabaseId &Database, Position Log, TimePoint BegunAt,
                  TimePoint Now);
  /// Another host's sample of the leader's log.
  void onLeaderPosition(const GroupId &Group, Position Log, TimePoint BegunAt);
  /// Forgets what was known of the leader's log.
  void onLeaderChanged(const GroupId &Group) { Histories_[Group].clear(); }
  const PositionHistory *historyOf(const GroupId &Group) const;

private:
  std::optional<Position>
  minimumPositionOf(const PlacementConstraints &Constraints,
                    TimePoint Now) const;

  const DatabaseTable &Table_;
  const LeaderAuthority &Authority_;
  std::map<GroupId, PositionHistory> Histories_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTPLACEMENT_H
