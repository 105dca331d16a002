#ifndef NUTMEGLOOM_SESSIONS_LEADERSHIPCHECK_H
#define NUTMEGLOOM_SESSIONS_LEADERSHIPCHECK_H

#include "sessions/databasetable.h"
#include "sessions/hosttable.h"
#include "sessions/leaderauthority.h"

namespace nutmegloom {

/// Confirms leaderships from the databases themselves while neither the store
/// nor another host does.
///
/// A promoter that can't be sure of every host pauses the members that it
/// reaches and then waits one validity. So while the leader reports that it
/// leads, and every other database of the group reports a term no later and no
/// pause, no promotion can take effect within one validity of the earliest
/// report.
class LeadershipCheck {
public:
  using Ask =
      std::function<void(const DatabaseListing &, const DatabaseCommand &)>;

  LeadershipCheck(const DatabaseTable &Table, const HostTable &Hosts,
                  const LeaderAuthority &Authority, Ask AskHook);

  /// Asks the databases of groups whose leadership nobody confirms.
  void tick(TimePoint Now);
  /// Takes a report. Returns the moment for which it completes a confirmation
  /// of the group's record.
  std::optional<TimePoint> onReport(const DatabaseId &Database,
                                    const DatabaseReport &Report,
                                    TimePoint BegunAt, TimePoint Now);

private:
  struct TimedReport {
    DatabaseReport Report;
    TimePoint BegunAt;
  };

  std::optional<TimePoint> confirmationOf(const GroupId &Group,
                                          TimePoint Now) const;

  const DatabaseTable &Table_;
  const HostTable &Hosts_;
  const LeaderAuthority &Authority_;
  Ask Ask_;
  std::map<GroupId, TimePoint> AskedAt_;
  std::map<DatabaseId, TimedReport> Reports_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_LEADERSHIPCHECK_H
