#ifndef NUTMEGLOOM_SESSIONS_LEADERSHIPCHECK_H
#define NUTMEGLOOM_SESSIONS_LEADERSHIPCHECK_H

#include "sessions/databasetable.h"
#include "sessions/hosttable.h"
#include "sessions/leaderauthority.h"

namespace nutmegloom {

/// Confirms leaderships by asking the databases, when neither the store nor
/// another host has confirmed them lately.
///
/// Unless all hosts are known to use the claim for a new leader, a promotion
/// first pauses the group's databases, and is requested only when
/// LeadershipValidity has passed after that. So if the leader reports that it
/// is the primary, and all other databases of the group report no later term
/// and no pause for one, no promotion takes effect within LeadershipValidity
/// after the earliest report.
class LeadershipCheck {
public:
  using Ask =
      std::function<void(const DatabaseListing &, const DatabaseCommand &)>;

  LeadershipCheck(const DatabaseTable &Table, const HostTable &Hosts,
                  const LeaderAuthority &Authority, Ask AskHook);

  /// Asks the databases of groups whose leadership was not confirmed lately.
  void tick(TimePoint Now);
  /// Handles a database's report. Returns the time for which the reports
  /// confirm the leadership of the database's group, if they do.
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
