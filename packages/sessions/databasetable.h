#ifndef NUTMEGLOOM_SESSIONS_DATABASETABLE_H
#define NUTMEGLOOM_SESSIONS_DATABASETABLE_H

#include "sessions/sessiontypes.h"

#include <functional>

namespace nutmegloom {

/// State of a database as this host knows it.
struct DatabaseInfo {
  DatabaseListing Listing;
  Distance HostDistance = Distance::SameZone;
  /// Position of its log that the database reported last.
  std::optional<Position> Log;
  /// Start time of the most recently started exchange that the database has
  /// answered.
  std::optional<TimePoint> LastAnsweredStart;
  /// Time of the first failure since the latest answer.
  std::optional<TimePoint> FailingSince;
  /// Time of the last failure.
  TimePoint FailedAt;
  /// Number of failures since the latest answer.
  std::uint32_t Failures = 0;
  /// The latest connection attempt was refused: no process listens at the
  /// address.
  bool RefusesConnections = false;
  /// No statement is sent to the database before this time.
  TimePoint AvoidUntil;
  /// Until this time, reads that require a log position are sent only if the
  /// database is known to have reached that position.
  TimePoint LaggingUntil;
  /// Number of consecutive statements that the database refused because its log
  /// had not reached the required position.
  std::uint32_t LaggingCount = 0;
  /// Moving average of the time from a statement to its answer, without the
  /// network round trip.
  double ServiceMilliseconds = 10;
  /// Number of this host's statements in progress at the database.
  std::uint32_t InFlight = 0;
};

/// The databases of all groups, with their state as shown by their answers.
class DatabaseTable {
public:
  /// Returns the distance from this host to an availability zone.
  using DistanceFunction = std::function<Distance(const ZoneName &)>;
  explicit DatabaseTable(DistanceFunction DistanceOf)
      : DistanceOf_(std::move(DistanceOf)) {}

  struct Change {
    std::vector<DatabaseId> Removed;
    /// Databases whose process was restarted or whose address changed.
    std::vector<DatabaseId> Restarted;
    /// Groups in which a database was added, removed or changed.
    std::vector<GroupId> Groups;
  };
  /// Replaces the list of databases. The state of a database is kept unless its
  /// process was restarted or its address changed.
  Change apply(const std::vector<DatabaseListing> &All);

  const DatabaseInfo *find(const DatabaseId &Database) const;
  DatabaseInfo *find(const DatabaseId &Database);
  /// Databases of a group, sorted by id.
  std::vector<const DatabaseInfo *> membersOf(const GroupId &Group) const;
  std::vector<GroupId> groups() const;

  /// Counts a statement that was sent to the database.
  void onSent(const DatabaseId &Database);
  /// Counts the end of a statement that was sent, with or without an answer.
  void onEnded(const DatabaseId &Database);
  /// Handles the answer to an exchange that began at BegunAt. Log: position of
  /// the database's log, if the answer contains it.
  void onAnswer(const DatabaseId &Database, std::optional<Position> Log,
                TimePoint BegunAt);
  /// Handles the time-out of an exchange that began at BegunAt. It counts as a
  /// failure of the database, unless the database has answered an exchange that
  /// began at the same time or later: then only this exchange is slow.
  void onTimeout(const DatabaseId &Database, TimePoint BegunAt, TimePoint Now);
  /// Records the time from a statement to its answer.
  void onServiceTime(const DatabaseId &Database, Duration Time);
  /// Handles a refusal by the database because its log has not reached the
  /// required position.
  void onLagging(const DatabaseId &Database, TimePoint Now);
  /// Handles a connection that could not be opened or broke, or a missing
  /// answer. Refused: no process listens at the address.
  void onFailure(const DatabaseId &Database, bool Refused, TimePoint Now);
  /// Handles a failed probe. UnansweredSince: start of the oldest exchange that
  /// the database has not answered, which may be the probe.
  void onProbeFailed(const DatabaseId &Database, TimePoint UnansweredSince,
                     TimePoint Now);

private:
  DistanceFunction DistanceOf_;
  std::map<DatabaseId, DatabaseInfo> Databases_;
};

/// Estimated network round trip to a database.
Milliseconds roundTripOf(Distance HostDistance);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_DATABASETABLE_H
