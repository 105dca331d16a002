#ifndef NUTMEGLOOM_SESSIONS_LEADERAUTHORITY_H
#define NUTMEGLOOM_SESSIONS_LEADERAUTHORITY_H

#include "sessions/sessiontypes.h"

namespace nutmegloom {

/// How long a confirmed leadership may be relied on after the moment for which
/// it was confirmed. A promoter waits at least this long before the promoted
/// database can lead.
constexpr Milliseconds LeadershipValidity{1000};

/// Which database this host may use as the primary of each group, and until
/// when.
///
/// A leadership is confirmed for a moment by a linearizable read of the
/// group's record that began at that moment, directly or through another host.
/// It lapses without a new confirmation, so a host that is cut off or paused
/// stops using a primary before another one can lead.
class LeaderAuthority {
public:
  /// The store, or a host that read it, gave the record as of Moment. Returns
  /// true when the leadership of the group changed.
  bool confirm(const LeadershipRecord &Record, TimePoint Moment);

  /// All records that are not in Names are absent from the store.
  const LeadershipRecord *recordOf(const GroupId &Group) const;

  /// The database that may be sent work for the primary now.
  std::optional<DatabaseId> leaderForSending(const GroupId &Group,
                                             TimePoint Now) const;
  /// True while an answer of the database as the primary may be passed on.
  bool mayAcknowledge(const GroupId &Group, const DatabaseId &Database,
                      TimePoint Now) const;
  /// Moment for which the leadership was last confirmed.
  std::optional<TimePoint> confirmedAt(const GroupId &Group) const;

  const std::map<GroupId, LeadershipRecord> &records() const {
    return Records_;
  }

private:
  std::map<GroupId, LeadershipRecord> Records_;
  std::map<GroupId, TimePoint> Confirmed_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_LEADERAUTHORITY_H
