#ifndef NUTMEGLOOM_SESSIONS_STATEMENTPLACEMENT_H
#define NUTMEGLOOM_SESSIONS_STATEMENTPLACEMENT_H

#include "sessions/databasetable.h"
#include "sessions/leaderauthority.h"
#include "sessions/positionhistory.h"

#include <set>

namespace nutmegloom {

/// Requirements of a statement for the database that runs it.
struct PlacementConstraints {
  GroupId Group;
  /// Only the leader may run the statement.
  bool Leader = false;
  /// Maximum age of the data that a read accepts, if it doesn't need the
  /// leader.
  Milliseconds MaximumAge{0};
  /// Log position of the session's last write, if the statement must see it.
  std::optional<Position> LastWrite;
};

/// A database that may run a statement.
struct PlacementCandidate {
  DatabaseId Database;
  /// Position that the database's log must have reached.
  std::optional<Position> MinimumPosition;
};

/// Determines which databases may run a statement and at what cost. Reads are
/// spread over the replicas, so that the leader's slots stay free for
/// statements that need the leader, and the low bandwidth between regions is
/// used only when no database of the region can serve a read.
class StatementPlacement {
public:
  StatementPlacement(const DatabaseTable &Table,
                     const LeaderAuthority &Authority)
      : Table_(Table), Authority_(Authority) {}

  /// Databases that may run the statement now.
  std::vector<PlacementCandidate>
  candidatesFor(const PlacementConstraints &Constraints,
                const std::set<DatabaseId> &Avoided, TimePoint Now) const;
  /// Expected time in milliseconds from sending a statement to its answer, with
  /// a penalty for databases in other regions.
  double costOf(const PlacementCandidate &Where) const;

  /// Handles the log position that a database reported in an exchange that
  /// began at BegunAt. It is kept only if the database is the confirmed leader.
  void onPosition(const DatabaseId &Database, Position Log, TimePoint BegunAt,
                  TimePoint Now);
  /// Handles the leader's log position as reported to another host.
  void onLeaderPosition(const GroupId &Group, Position Log, TimePoint BegunAt);
  /// Discards the known log positions of the group's former leader.
  void onLeaderChanged(const GroupId &Group) { Histories_[Group].clear(); }
  /// Returns null if no position of the group's leader is known.
  const PositionHistory *historyOf(const GroupId &Group) const;

private:
  /// Position that a replica must have reached; nothing: unknown, so that no
  /// replica may run the statement.
  std::optional<Position>
  minimumPositionOf(const PlacementConstraints &Constraints,
                    TimePoint Now) const;

  const DatabaseTable &Table_;
  const LeaderAuthority &Authority_;
  std::map<GroupId, PositionHistory> Histories_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTPLACEMENT_H
