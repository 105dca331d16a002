#ifndef NUTMEGLOOM_SESSIONS_LOGCOMPARISON_H
#define NUTMEGLOOM_SESSIONS_LOGCOMPARISON_H

#include "sessions/databasetable.h"

namespace nutmegloom {

/// Report of a database and the start of the exchange that returned it.
struct TimedReport {
  DatabaseReport Report;
  TimePoint BegunAt;
};

/// Compares the logs that a group's databases have reported, to choose the next
/// leader and to tell whether it has every acknowledged commit. Used for one
/// decision: it refers to the reports and to the table of databases.
class LogComparison {
public:
  using Reports = std::map<DatabaseId, TimedReport>;
  explicit LogComparison(const Reports &Latest) : Reports_(Latest) {}

  /// The group's databases, sorted by id.
  std::vector<const DatabaseInfo *> Members;
  /// The leader to replace; empty if it isn't known.
  DatabaseId OldLeader;
  /// The leader is replaced because it drains, and may still answer.
  bool OldLeaderDrains = false;
  /// Number of replicas that must have received a commit before it is
  /// acknowledged.
  std::uint32_t SynchronousReplicas = 0;

  /// The database to promote, if one has reported.
  std::optional<DatabaseId> bestCandidate() const;
  /// Only reports of exchanges that began at or after Since count.
  bool hasEnoughReports(TimePoint Since) const;
  /// With synchronous replicas: true when the next leader is known to have all
  /// commits that were acknowledged before Since, a time from which no host
  /// acknowledges commits of the old leader.
  bool hasAcknowledgedCommits(const DatabaseId &NextLeader,
                              TimePoint Since) const;

private:
  const TimedReport *reportOf(const DatabaseId &Database) const;

  const Reports &Reports_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_LOGCOMPARISON_H
