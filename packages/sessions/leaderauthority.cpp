#include "sessions/leaderauthority.h"

namespace nutmegloom {

namespace {

/// Reserved for a statement's way to the database and its answer's way back.
constexpr Milliseconds SendingMargin{150};

} // namespace

bool LeaderAuthority::confirm(const LeadershipRecord &Record,
                              TimePoint Moment) {
  LeadershipRecord &Known = Records_[Record.Group];
  if (Record.Revision < Known.Revision)
    return false;
  TimePoint &Confirmed = Confirmed_[Record.Group];
  if (Record.Revision == Known.Revision) {
    Confirmed = std::max(Confirmed, Moment);
    return false;
  }
  bool Changed = Known.Leader != Record.Leader || Known.Phase != Record.Phase;
  Known = Record;
  Confirmed = Moment;
  return Changed;
}

const LeadershipRecord *LeaderAuthority::recordOf(const GroupId &Group) const {
  auto Found = Records_.find(Group);
  return Found == Records_.end() ? nullptr : &Found->second;
}

std::optional<DatabaseId>
LeaderAuthority::leaderForSending(const GroupId &Group, TimePoint Now) const {
  const LeadershipRecord *Record = recordOf(Group);
  if (!Record || Record->Phase != LeadershipPhase::Settled)
    return std::nullopt;
  if (Now > Confirmed_.at(Group) + LeadershipValidity - SendingMargin)
    return std::nullopt;
  return Record->Leader;
}

bool LeaderAuthority::mayAcknowledge(const GroupId &Group,
                                     const DatabaseId &Database,
                                     TimePoint Now) const {
  const LeadershipRecord *Record = recordOf(Group);
  if (!Record || Record->Phase != LeadershipPhase::Settled)
    return false;
  return Record->Leader == Database &&
         Now <= Confirmed_.at(Group) + LeadershipValidity;
}

std::optional<TimePoint>
LeaderAuthority::confirmedAt(const GroupId &Group) const {
  auto Found = Confirmed_.find(Group);
  if (Found == Confirmed_.end())
    return std::nullopt;
  return Found->second;
}

} // namespace nutmegloom
