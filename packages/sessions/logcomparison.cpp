#include "sessions/logcomparison.h"

#include <algorithm>

namespace nutmegloom {

const TimedReport *LogComparison::reportOf(const DatabaseId &Database) const {
  auto Found = Reports_.find(Database);
  return Found == Reports_.end() ? nullptr : &Found->second;
}

std::optional<DatabaseId> LogComparison::bestCandidate() const {
  // A draining replica counts for the acknowledgement of commits, so it may be
  // the only one that has them.
  bool DrainingAllowed = SynchronousReplicas > 0;
  std::uint64_t NewestTerm = 0;
  for (const auto &[Id, Heard] : Reports_)
    NewestTerm = std::max(NewestTerm, Heard.Report.Term);
  const DatabaseInfo *Best = nullptr;
  Position BestLog;
  std::optional<DatabaseId> Leading;
  for (const DatabaseInfo *Info : Members) {
    const DatabaseListing &Listing = Info->Listing;
    const TimedReport *Heard = reportOf(Listing.Id);
    if (!Heard || Listing.Id == OldLeader ||
        (Listing.Draining && !DrainingAllowed))
      continue;
    const DatabaseReport &Report = Heard->Report;
    // A promotion requested by another host may have taken effect. A primary of
    // an earlier term has been replaced, even if it does not know.
    if (Report.Role == DatabaseRole::Primary && Report.Term == NewestTerm &&
        !Listing.Draining)
      Leading = Listing.Id;
    bool IsBetter = !Best || BestLog < Report.Received ||
                    (BestLog == Report.Received && Best->Listing.Draining);
    if (!IsBetter)
      continue;
    Best = Info;
    BestLog = Report.Received;
  }
  if (Leading || !Best)
    return Leading;
  return Best->Listing.Id;
}

/// With synchronous replicas, enough replicas must have reported that at least
/// one of them has every acknowledged commit.
bool LogComparison::hasEnoughReports(TimePoint Since) const {
  if (SynchronousReplicas == 0)
    return true;
  std::size_t Replicas = 0;
  std::size_t Reported = 0;
  for (const DatabaseInfo *Info : Members) {
    if (Info->Listing.Id == OldLeader)
      continue;
    ++Replicas;
    const TimedReport *Heard = reportOf(Info->Listing.Id);
    if (Heard && Heard->BegunAt >= Since)
      ++Reported;
  }
  return Reported + SynchronousReplicas > Replicas;
}

/// True when the old leader has no commit of an earlier term that the next
/// leader lacks. Commits of its own term were acknowledged by the present
/// replicas. Those of earlier terms may have been acknowledged by databases
/// that are gone, so the old leader may be the only one that still has them.
static bool hasEarlierTermsOf(const DatabaseReport &Old,
                              const DatabaseReport &Next) {
  return Next.Received.Term >= Old.Term || Next.Received >= Old.Received;
}

bool LogComparison::hasAcknowledgedCommits(const DatabaseId &NextLeader,
                                           TimePoint Since) const {
  if (SynchronousReplicas == 0)
    return true;
  const TimedReport *Next = reportOf(NextLeader);
  if (!Next || Next->BegunAt < Since)
    return false;
  for (const auto &[Id, Heard] : Reports_) {
    bool IsOld = Id == OldLeader;
    if (IsOld && OldLeaderDrains &&
        !hasEarlierTermsOf(Heard.Report, Next->Report))
      return false;
    if (!IsOld && Next->Report.Received < Heard.Report.Received)
      return false;
  }
  return hasEnoughReports(Since);
}

} // namespace nutmegloom
