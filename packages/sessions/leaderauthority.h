#ifndef NUTMEGLOOM_SESSIONS_LEADERAUTHORITY_H
#define NUTMEGLOOM_SESSIONS_LEADERAUTHORITY_H

#include "sessions/sessiontypes.h"

namespace nutmegloom {

/// How long a leadership is valid after the time for which it was confirmed.
/// Unless all hosts are known to use the claim for a new leader, its promotion
/// is requested only after this time, so that no host uses the old leader when
/// the new one can lead.
constexpr Milliseconds LeadershipValidity{1000};

/// Determines which database this host may use as the primary of each group,
/// and until when.
///
/// A leadership is confirmed for a moment by a linearizable read of the group's
/// record that began at that moment, by this host or another one, or by the
/// databases' reports (see LeadershipCheck). Without a new confirmation it
/// expires, so a host that is disconnected or suspended stops using a primary
/// before another one can lead.
class LeaderAuthority {
public:
  /// Handles a record that was read from the store, here or by another host,
  /// and is confirmed for Moment. Returns true if the group's leader or phase
  /// changed.
  bool confirm(const LeadershipRecord &Record, TimePoint Moment);

  /// Returns null if no record of the group is known.
  const LeadershipRecord *recordOf(const GroupId &Group) const;

  /// The database to which statements for the group's primary may be sent now;
  /// nothing if none may be used.
  std::optional<DatabaseId> leaderForSending(const GroupId &Group,
                                             TimePoint Now) const;
  /// True while an answer of the database as the group's primary may be
  /// returned to the caller.
  bool mayAcknowledge(const GroupId &Group, const DatabaseId &Database,
                      TimePoint Now) const;
  /// Latest time for which the group's leadership was confirmed.
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
