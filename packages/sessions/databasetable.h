#ifndef NUTMEGLOOM_SESSIONS_DATABASETABLE_H
#define NUTMEGLOOM_SESSIONS_DATABASETABLE_H

#include "sessions/sessiontypes.h"

#include <functional>

namespace nutmegloom {

/// What this host knows of one database.
struct DatabaseInfo {
  DatabaseListing Listing;
  Distance Proximity = Distance::SameZone;
  /// Latest position that the database reported of its log.
  std::optional<Position> Log;
  /// Start of the latest exchange that the database answered.
  std::optional<TimePoint> AnsweredAt;
  /// First failure since the latest answer.
  std::optional<TimePoint> FailingSince;
  /// Latest failure since the latest answer.
  TimePoint FailedAt;
  /// Failures since the latest answer.
  std::uint32_t Failures = 0;
  /// The database refuses connections outright, so its process is gone.
  bool RefusesConnections = false;
  /// No work is sent before this moment.
  TimePoint AvoidUntil;
  /// A replica that was behind a required position is left out until then.
  TimePoint BehindUntil;
  /// Times in a row that it was behind.
  std::uint32_t BehindCount = 0;
  /// Smoothed time from a statement to its answer, without the network.
  double ServiceMilliseconds = 10;
  /// Statements of this host under way.
  std::uint32_t InFlight = 0;
};

/// The databases of all groups, with what answers have shown of them.
class DatabaseTable {
public:
  /// Tells how far a database's zone is from this host.
  using DistanceFunction = std::function<Distance(const ZoneName &)>;
  explicit DatabaseTable(DistanceFunction DistanceOf)
      : DistanceOf_(std::move(DistanceOf)) {}

  struct Change {
    std::vector<DatabaseId> Removed;
    std::vector<DatabaseId> Restarted;
    /// Groups with a change of any kind.
    std::vector<GroupId> Groups;
  };
  /// Takes the list of all databases.
  Change apply(const std::vector<DatabaseListing> &All);

  const DatabaseInfo *find(const DatabaseId &Database) const;
  DatabaseInfo *find(const DatabaseId &Database);
  /// Databases of a group, in the order of their ids.
  std::vector<const DatabaseInfo *> membersOf(const GroupId &Group) const;
  std::vector<GroupId> groups() const;

  /// A statement was sent.
  void onSent(const DatabaseId &Database);
  /// A statement that was sent ended, with or without an answer.
  void onEnded(const DatabaseId &Database);
  /// An exchange that began at BegunAt was answered.
  void onAnswer(const DatabaseId &Database, std::optional<Position> Log,
                TimePoint BegunAt);
  /// An exchange that began at BegunAt has no answer in time. Counts as a
  /// failure unless the database has answered a later one: then it is only
  /// slow.
  void onTimeout(const DatabaseId &Database, TimePoint BegunAt, TimePoint Now);
  /// Time that a statement took at the database.
  void onServiceTime(const DatabaseId &Database, Duration Time);
  /// The database's log lacked a required position.
  void onBehind(const DatabaseId &Database, TimePoint Now);
  /// A connection could not be opened or broke, or an answer did not come.
  void onFailure(const DatabaseId &Database, bool Refused, TimePoint Now);
  /// A probe failed while exchanges since Since have no answer.
  void onProbeFailed(const DatabaseId &Database, TimePoint UnansweredSince,
                     TimePoint Now);

private:
  DistanceFunction DistanceOf_;
  std::map<DatabaseId, DatabaseInfo> Databases_;
};

/// Round trip to a database by its distance.
Milliseconds roundTripOf(Distance Proximity);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_DATABASETABLE_H
