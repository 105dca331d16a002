#include "sessions/leadershipcheck.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// The databases are asked when the latest confirmation is older than this.
constexpr Milliseconds CheckAge{720};
/// Additional delay of each host after the one before it in the order of names,
/// so that one host asks and informs the others.
constexpr Milliseconds OrderDelay{60};
constexpr std::size_t MaximumOrder = 4;
constexpr Milliseconds AskInterval{300};

} // namespace

LeadershipCheck::LeadershipCheck(const DatabaseTable &Table,
                                 const HostTable &Hosts,
                                 const LeaderAuthority &Authority, Ask AskHook)
    : Table_(Table), Hosts_(Hosts), Authority_(Authority),
      Ask_(std::move(AskHook)) {}

void LeadershipCheck::tick(TimePoint Now) {
  std::vector<HostName> Live = Hosts_.liveHosts(Now);
  auto Self = std::find(Live.begin(), Live.end(), Hosts_.self());
  auto Order = std::min<std::size_t>(
      MaximumOrder, static_cast<std::size_t>(Self - Live.begin()));
  DatabaseCommand Status;
  Status.Verb = CommandVerb::Status;
  for (const auto &[Group, Record] : Authority_.records()) {
    std::optional<TimePoint> Confirmed = Authority_.confirmedAt(Group);
    if (Record.Phase != LeadershipPhase::Settled || !Confirmed ||
        Now - *Confirmed < CheckAge + OrderDelay * Order)
      continue;
    TimePoint &Asked = AskedAt_[Group];
    if (Now - Asked < AskInterval)
      continue;
    Asked = Now;
    for (const DatabaseInfo *Info : Table_.membersOf(Group))
      Ask_(Info->Listing, Status);
  }
}

std::optional<TimePoint> LeadershipCheck::onReport(const DatabaseId &Database,
                                                   const DatabaseReport &Report,
                                                   TimePoint BegunAt,
                                                   TimePoint Now) {
  Reports_[Database] = {Report, BegunAt};
  const DatabaseInfo *Info = Table_.find(Database);
  if (!Info)
    return std::nullopt;
  return confirmationOf(Info->Listing.Group, Now);
}

std::optional<TimePoint> LeadershipCheck::confirmationOf(const GroupId &Group,
                                                         TimePoint Now) const {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Record->Phase != LeadershipPhase::Settled)
    return std::nullopt;
  auto Leader = Reports_.find(Record->Leader);
  if (Leader == Reports_.end() || !Table_.find(Record->Leader) ||
      Leader->second.Report.Role != DatabaseRole::Primary ||
      Leader->second.Report.Term < Record->Term)
    return std::nullopt;
  std::uint64_t Term = Leader->second.Report.Term;
  TimePoint Earliest = Leader->second.BegunAt;
  // The leader's own report is no confirmation: another database is needed.
  std::size_t Others = 0;
  for (const DatabaseInfo *Info : Table_.membersOf(Group)) {
    auto Heard = Reports_.find(Info->Listing.Id);
    if (Heard == Reports_.end())
      return std::nullopt;
    const DatabaseReport &Report = Heard->second.Report;
    bool IsLeader = Info->Listing.Id == Record->Leader;
    if (!IsLeader && (Report.Role != DatabaseRole::Replica ||
                      Report.Term > Term || Report.PausedTerm > Term))
      return std::nullopt;
    Others += IsLeader ? 0 : 1;
    Earliest = std::min(Earliest, Heard->second.BegunAt);
  }
  if (Others == 0 || Now - Earliest > LeadershipValidity)
    return std::nullopt;
  return Earliest;
}

} // namespace nutmegloom
