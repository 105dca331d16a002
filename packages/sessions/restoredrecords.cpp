#include "sessions/restoredrecords.h"

namespace nutmegloom {

namespace {

/// Time for hosts to be listed again after the store has come back from a copy
/// without them.
constexpr Milliseconds HostListRestoreTime{6000};

} // namespace

void RestoredRecords::onListed(const std::vector<LeadershipRecord> &Records,
                               std::uint64_t Era, TimePoint Now) {
  if (!EraSeenAt_ || Era > Era_)
    EraSeenAt_ = Now;
  Era_ = Era;
  Records_.clear();
  for (const auto &[Group, Known] : Authority_.records()) {
    if (Known.Revision.Era >= Era)
      continue;
    LeadershipRecord &None = Records_[Group];
    None.Group = Group;
    None.Revision = StoreRevision(0, Era);
  }
  for (const LeadershipRecord &Record : Records)
    if (Record.isRestored())
      Records_[Record.Group] = Record;
}

const LeadershipRecord *RestoredRecords::find(const GroupId &Group) const {
  auto Found = Records_.find(Group);
  if (Found == Records_.end())
    return nullptr;
  // Another host may have told of a new record since the latest list.
  const LeadershipRecord *Known = Authority_.recordOf(Group);
  bool IsReplaced = Known && Known->Revision.Era >= Found->second.Revision.Era;
  return IsReplaced ? nullptr : &Found->second;
}

bool RestoredRecords::mayLackHosts(TimePoint Now) const {
  return Era_ > 0 && EraSeenAt_ && Now - *EraSeenAt_ < HostListRestoreTime;
}

} // namespace nutmegloom
