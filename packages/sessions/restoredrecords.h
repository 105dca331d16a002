#ifndef NUTMEGLOOM_SESSIONS_RESTOREDRECORDS_H
#define NUTMEGLOOM_SESSIONS_RESTOREDRECORDS_H

#include "sessions/leaderauthority.h"

namespace nutmegloom {

/// The groups whose leadership record must be replaced because the store came
/// back from a copy: the copy contains a record of an earlier era, or none.
///
/// Such a record may name a former leader, so LeaderAuthority does not get it.
class RestoredRecords {
public:
  explicit RestoredRecords(const LeaderAuthority &Authority)
      : Authority_(Authority) {}

  /// Handles a list of all records in the store. Era: of the store when it
  /// answered.
  void onListed(const std::vector<LeadershipRecord> &Records, std::uint64_t Era,
                TimePoint Now);
  /// The write of a new record has ended. The next list shows whether the
  /// group's record is still to be replaced.
  void onWritten(const GroupId &Group) { Records_.erase(Group); }

  /// The record that is to be replaced, without a revision if the store has
  /// none; null if the group is known to have a record of the present era.
  const LeadershipRecord *find(const GroupId &Group) const;
  /// True while the store's list of hosts may lack some, which were listed only
  /// after the copy was made.
  bool mayLackHosts(TimePoint Now) const;

private:
  const LeaderAuthority &Authority_;
  std::map<GroupId, LeadershipRecord> Records_;
  /// Era of the latest list, and when this host first saw it.
  std::uint64_t Era_ = 0;
  std::optional<TimePoint> EraSeenAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_RESTOREDRECORDS_H
