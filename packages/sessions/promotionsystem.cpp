#include "sessions/promotionsystem.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <array>

namespace nutmegloom {

namespace {

/// A leader is replaced when it has not answered this host, and too few of the
/// other hosts, for this long.
constexpr Milliseconds SilenceTimeout{900};
/// Used instead of SilenceTimeout if connections are refused, since then no
/// process listens at the leader's address.
constexpr Milliseconds RefusalTimeout{250};
/// Older failures don't count: the leader may be reachable again.
constexpr Milliseconds MaximumFailureAge{700};
/// A host that could not reach the store replaces no leader as silent until the
/// store has answered for this long.
constexpr Milliseconds StabilizationDelay{1200};
/// A leader that is missing from the list may still answer. It is replaced only
/// if the list has been watched without interruption for this long.
constexpr Milliseconds MissingGrace{2500};
/// Additional delay of each host after the one ranked before it.
constexpr Milliseconds RankDelay{400};
constexpr Milliseconds CompareTimeout{300};
/// How long a database that has commits of the leader's term is waited for,
/// before one that lacks the whole term is promoted. A database that crashed is
/// usually back earlier.
constexpr Milliseconds MissingTermTimeout{15000};
/// The holder of a claim is expected to write the final record within this time
/// after the platform lists the new primary; then another host writes it.
constexpr Milliseconds CompletionDelay{250};
constexpr Milliseconds CompletionRankDelay{120};
/// Time for all hosts to confirm that they use a claim, before the databases
/// are paused and LeadershipValidity is waited for.
constexpr Milliseconds RecordPropagationTimeout{200};
/// Additional delay before a leader that the platform lists as a replica is
/// replaced. It starts again when the leader reports that it is the primary.
constexpr Milliseconds DemotionGrace{2000};
constexpr Milliseconds StatusInterval{80};
/// Used instead of HolderTimeout for a claim whose holder is live.
constexpr Milliseconds LiveClaimTimeout{6000};
/// Remaining validity that the lease must have when a claim is written.
constexpr Milliseconds LeaseReserve{1500};
/// Key by which hosts are ranked for the lease.
constexpr std::string_view LeaseRankingKey = "promotions";
constexpr Milliseconds CallRetryInterval{150};
/// A claim without a promotion request within this time is written again.
constexpr Milliseconds WaitTimeout{5000};
constexpr Milliseconds PauseTimeout{400};
/// Maximum age of the next leader's report of its pause.
constexpr Milliseconds MaximumPauseReportAge{400};
constexpr Milliseconds WriteTimeout{1500};
/// Maximum wait until the next leader has received all commits of a draining
/// one.
constexpr Milliseconds CatchUpTimeout{1200};
/// Typical time from the promotion request until the new leader can be used.
constexpr Milliseconds PromotionTime{700};
/// Typical time from a claim until all hosts use it.
constexpr Milliseconds RecordPropagationTime{100};
/// A promotion that has shown no effect for this long is requested again.
constexpr Milliseconds VerifyTimeout{4000};
/// Upper bound of the time that a promotion takes.
constexpr Milliseconds MaximumPromotionTime{1800};
/// Typical time to pause the group's databases.
constexpr Milliseconds PauseTime{100};
/// A promotion that takes longer than expected by this is overdue; callers are
/// then told to retry after OverdueRetry.
constexpr Milliseconds OverdueSlack{300};
constexpr Milliseconds OverdueRetry{1500};
/// Expected wait for a leader whose leadership is no longer confirmed.
constexpr Milliseconds UnconfirmedRetry{1000};

constexpr std::array<std::string_view, 6> ReasonNames{
    "none", "draining", "gone", "silent", "demoted", "record_lost"};
constexpr std::array<std::string_view, 7> StageNames{
    "watching",  "comparing", "claiming", "waiting",
    "promoting", "verifying", "settling"};

} // namespace

std::string_view nameOf(PromotionReason Reason) {
  return ReasonNames[static_cast<std::size_t>(Reason)];
}
std::string_view nameOf(PromotionStage Stage) {
  return StageNames[static_cast<std::size_t>(Stage)];
}

PromotionSystem::PromotionSystem(const DatabaseTable &Table,
                                 const HostTable &Hosts,
                                 LeaderAuthority &Authority, Hooks Callbacks)
    : Table_(Table), Hosts_(Hosts), Authority_(Authority),
      Hooks_(std::move(Callbacks)), Lease_(Hosts, Hooks_.WriteLease),
      Restored_(Authority) {}

void PromotionSystem::onRecordsListed(
    const std::vector<LeadershipRecord> &Records, std::uint64_t Era,
    TimePoint Now) {
  RecordsListed_ = true;
  Restored_.onListed(Records, Era, Now);
}

/// Revision of the group's record in the store, which a claim replaces.
StoreRevision PromotionSystem::replaceableRevision(const GroupId &Group) const {
  if (const LeadershipRecord *Restored = Restored_.find(Group))
    return Restored->Revision;
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  return Record ? Record->Revision : StoreRevision();
}

PromotionStage PromotionSystem::stageOf(const GroupId &Group) const {
  auto Found = Promotions_.find(Group);
  return Found == Promotions_.end() ? PromotionStage::Watching
                                    : Found->second.Stage;
}

void PromotionSystem::enter(const GroupId &Group, GroupPromotion &Promotion,
                            PromotionStage Stage, TimePoint Now,
                            std::string_view Detail) {
  Promotion.Stage = Stage;
  Promotion.StageSince = Now;
  Promotion.AskedAt.reset();
  Hooks_.Report({Group, Stage, Promotion.Reason, Promotion.NextLeader,
                 Lease_.lease().Token, Detail});
}

std::size_t PromotionSystem::rank(TimePoint Now) const {
  std::vector<HostName> Ranked =
      rankHosts(LeaseRankingKey, Hosts_.hostsReachingStore(Now));
  auto Found = std::find(Ranked.begin(), Ranked.end(), Hosts_.self());
  return static_cast<std::size_t>(Found - Ranked.begin());
}

void PromotionSystem::tick(TimePoint Now) {
  for (const GroupId &Group : Table_.groups()) {
    GroupPromotion &Promotion = Promotions_[Group];
    bool HasClaim = Promotion.Stage == PromotionStage::Waiting ||
                    Promotion.Stage == PromotionStage::Verifying;
    if (HasClaim && Restored_.find(Group))
      enter(Group, Promotion, PromotionStage::Watching, Now,
            "the store has lost the claim");
    switch (Promotion.Stage) {
    case PromotionStage::Watching:
      watch(Group, Promotion, Now);
      break;
    case PromotionStage::Comparing:
      compare(Group, Promotion, Now);
      break;
    case PromotionStage::Claiming:
    case PromotionStage::Settling:
      if (Now - Promotion.StageSince > WriteTimeout)
        enter(Group, Promotion, PromotionStage::Watching, Now, "no answer");
      break;
    case PromotionStage::Waiting:
      waitForOldLeaderExpiry(Group, Promotion, Now);
      break;
    case PromotionStage::Promoting:
      break;
    case PromotionStage::Verifying:
      verify(Group, Promotion, Now);
      break;
    }
  }
}

void PromotionSystem::watch(const GroupId &Group, GroupPromotion &Promotion,
                            TimePoint Now) {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (Restored_.find(Group)) {
    watchRestored(Group, Promotion, Now);
    return;
  }
  if (!Record) {
    if (RecordsListed_)
      createFirstRecord(Group, Promotion, Now);
    return;
  }
  if (Record->Revision != Promotion.SeenRevision) {
    Promotion.SeenRevision = Record->Revision;
    Promotion.SeenAt = Now;
    Promotion.SuspectedAt.reset();
    if (Record->Phase == LeadershipPhase::Settled) {
      Promotion.LeaderLog = {};
      Promotion.TermMissingSince.reset();
    }
  }
  // A claim must replace a record that was confirmed lately.
  std::optional<TimePoint> Confirmed = Authority_.confirmedAt(Group);
  if (!Confirmed || Now - *Confirmed > LeadershipValidity)
    return;
  if (Record->Phase == LeadershipPhase::Promoting) {
    watchClaim(Group, *Record, Promotion, Now);
    return;
  }
  PromotionReason Reason = reasonToReplace(Group, *Record, Now);
  if (Reason == PromotionReason::None) {
    Promotion.SuspectedAt.reset();
    Promotion.TermMissingSince.reset();
    return;
  }
  if (!Promotion.SuspectedAt)
    Promotion.SuspectedAt = Now;
  Milliseconds RankWait = RankDelay * rank(Now);
  if (Reason == PromotionReason::Demoted)
    RankWait += DemotionGrace;
  if (Now - *Promotion.SuspectedAt < RankWait)
    return;
  Promotion.OldLeader = Record->Leader;
  beginComparing(Group, Promotion, Reason, Now);
}

/// Handles a claim in the store that this host is not working on. Its own claim
/// is continued, as the answer to its write was lost. A claim of another host
/// is completed or replaced if that host does not finish it in time.
void PromotionSystem::watchClaim(const GroupId &Group,
                                 const LeadershipRecord &Claim,
                                 GroupPromotion &Promotion, TimePoint Now) {
  if (isOwnClaim(Claim, Promotion)) {
    beginWaiting(Group, Promotion, Claim.Revision, Now);
    return;
  }
  if (mayCompleteForHolder(Claim, Promotion, Now)) {
    Promotion.NextLeader = Claim.Leader;
    Promotion.ClaimRevision = Claim.Revision;
    Promotion.CompletingForHolder = true;
    Promotion.Accepted = false;
    Promotion.Reports.clear();
    enter(Group, Promotion, PromotionStage::Verifying, Now, "for the holder");
    return;
  }
  bool Live = Claim.Holder != Hosts_.self() && Hosts_.isLive(Claim.Holder, Now);
  Milliseconds Timeout = Live ? LiveClaimTimeout : HolderTimeout;
  if (Now - Promotion.SeenAt < Timeout + RankDelay * rank(Now))
    return;
  Promotion.OldLeader.clear();
  beginComparing(Group, Promotion, PromotionReason::Silent, Now);
}

/// Replaces what a store with lost content returned as the group's record. It
/// may name a former leader, so a claim is written as for a promotion, and the
/// databases' reports decide: if the group has a primary, it is the best
/// candidate and stays. A promotion that was begun before can't be requested
/// any more once the lease of that time has expired. Until then hosts use the
/// leader that they know, as while the store is unreachable.
void PromotionSystem::watchRestored(const GroupId &Group,
                                    GroupPromotion &Promotion, TimePoint Now) {
  if (!Lease_.mayAcquire(Now)) {
    Promotion.SuspectedAt.reset();
    return;
  }
  if (!Promotion.SuspectedAt)
    Promotion.SuspectedAt = Now;
  if (Now - *Promotion.SuspectedAt < RankDelay * rank(Now))
    return;
  Promotion.OldLeader.clear();
  PromotionReason Reason = PromotionReason::None;
  const LeadershipRecord *Known = Authority_.recordOf(Group);
  if (Known && Known->Phase == LeadershipPhase::Settled)
    Reason = reasonToReplace(Group, *Known, Now);
  if (Reason == PromotionReason::None)
    Reason = PromotionReason::RecordLost;
  else
    Promotion.OldLeader = Known->Leader;
  beginComparing(Group, Promotion, Reason, Now);
}

/// True if this process wrote the claim, and the answer to the write was lost.
bool PromotionSystem::isOwnClaim(const LeadershipRecord &Record,
                                 const GroupPromotion &Promotion) const {
  return Promotion.ClaimWritePending && Record.Holder == Hosts_.self() &&
         Record.Leader == Promotion.NextLeader &&
         Promotion.Reports.contains(Promotion.NextLeader);
}

/// True when the platform has listed the claimed leader as primary for a while
/// and the holder of the claim has not written the final record, so the holder
/// may have failed. It had waited as required before it requested the
/// promotion, so any host may complete the promotion.
bool PromotionSystem::mayCompleteForHolder(const LeadershipRecord &Record,
                                           GroupPromotion &Promotion,
                                           TimePoint Now) const {
  const DatabaseInfo *Next = Table_.find(Record.Leader);
  if (!Next || Next->Listing.Role != DatabaseRole::Primary) {
    Promotion.ListedPrimarySince.reset();
    return false;
  }
  if (!Promotion.ListedPrimarySince)
    Promotion.ListedPrimarySince = Now;
  return Now - *Promotion.ListedPrimarySince >=
         CompletionDelay + CompletionRankDelay * rank(Now);
}

/// Writes the first record of a group, with the database that the platform
/// lists as primary.
void PromotionSystem::createFirstRecord(const GroupId &Group,
                                        GroupPromotion &Promotion,
                                        TimePoint Now) {
  const DatabaseInfo *Primary = nullptr;
  for (const DatabaseInfo *Info : Table_.membersOf(Group))
    if (Info->Listing.Role == DatabaseRole::Primary)
      Primary = Info;
  if (!Primary)
    return;
  if (!Promotion.SuspectedAt)
    Promotion.SuspectedAt = Now;
  if (Now - *Promotion.SuspectedAt < RankDelay * rank(Now))
    return;
  Promotion.Reason = PromotionReason::None;
  Promotion.NextLeader = Primary->Listing.Id;
  LeadershipRecord First;
  First.Group = Group;
  First.Leader = Primary->Listing.Id;
  First.Term = Primary->Log ? Primary->Log->Term : 0;
  First.Holder = Hosts_.self();
  enter(Group, Promotion, PromotionStage::Settling, Now, "first record");
  Hooks_.Write(First, StoreRevision());
}

bool PromotionSystem::isUnreachable(const DatabaseInfo &Leader,
                                    TimePoint Now) const {
  bool Recent =
      Leader.FailingSince && Now - Leader.FailedAt < MaximumFailureAge;
  bool IsStable =
      StoreReachedSince_ && Now - *StoreReachedSince_ > StabilizationDelay;
  if (!Recent || !IsStable)
    return false;
  std::optional<TimePoint> Others =
      Hosts_.latestAnswerToOthers(Leader.Listing.Id, Now);
  Duration Failing = Now - *Leader.FailingSince;
  if (Leader.RefusesConnections && Leader.Failures >= 2 &&
      Failing > RefusalTimeout)
    return !Others || *Others < *Leader.FailingSince;
  if (Failing < SilenceTimeout || Leader.Failures < 2)
    return false;
  auto [Reached, Live] =
      Hosts_.countHostsReaching(Leader.Listing.Id, Now - SilenceTimeout, Now);
  return Reached * 3 < (Live + 1) * 2 - 1 || Reached == 0;
}

bool PromotionSystem::isListTrusted(TimePoint Now) const {
  return ListTrustedSince_ && Now - *ListTrustedSince_ > MissingGrace;
}

PromotionReason PromotionSystem::reasonToReplace(const GroupId &Group,
                                                 const LeadershipRecord &Record,
                                                 TimePoint Now) const {
  const DatabaseInfo *Leader = Table_.find(Record.Leader);
  if (!Leader)
    return isListTrusted(Now) ? PromotionReason::Gone : PromotionReason::None;
  if (Leader->Listing.Draining)
    return PromotionReason::Draining;
  if (isUnreachable(*Leader, Now))
    return PromotionReason::Silent;
  // Roles may be outdated if the list is not being watched.
  if (Leader->Listing.Role != DatabaseRole::Replica || !ListTrustedSince_)
    return PromotionReason::None;
  for (const DatabaseInfo *Info : Table_.membersOf(Group))
    if (Info->Listing.Role == DatabaseRole::Primary)
      return PromotionReason::Demoted;
  return PromotionReason::None;
}

void PromotionSystem::beginComparing(const GroupId &Group,
                                     GroupPromotion &Promotion,
                                     PromotionReason Reason, TimePoint Now) {
  Promotion.Reason = Reason;
  Promotion.SeenRevision = replaceableRevision(Group);
  Promotion.Reports.clear();
  Promotion.OldLeaderFailed = false;
  Promotion.ClaimWritePending = false;
  Promotion.CompletingForHolder = false;
  Promotion.ListedPrimarySince.reset();
  Promotion.NextLeader.clear();
  Promotion.LeadingTerm = 0;
  enter(Group, Promotion, PromotionStage::Comparing, Now);
  requestReports(Group, Promotion, StatusInterval, Now);
}

void PromotionSystem::requestReports(const GroupId &Group,
                                     GroupPromotion &Promotion,
                                     Milliseconds Interval, TimePoint Now) {
  if (Promotion.AskedAt && Now - *Promotion.AskedAt < Interval)
    return;
  Promotion.AskedAt = Now;
  DatabaseCommand Status;
  Status.Verb = CommandVerb::Status;
  for (const DatabaseInfo *Info : Table_.membersOf(Group)) {
    bool OnlyNext = Promotion.Stage == PromotionStage::Verifying;
    if (OnlyNext && Info->Listing.Id != Promotion.NextLeader)
      continue;
    Hooks_.Ask(Info->Listing, Status);
  }
}

void PromotionSystem::onReport(const DatabaseId &Database,
                               const std::optional<DatabaseReport> &Report,
                               TimePoint BegunAt, TimePoint Now) {
  (void)Now;
  const DatabaseInfo *Info = Table_.find(Database);
  if (!Info)
    return;
  auto Found = Promotions_.find(Info->Listing.Group);
  if (Found == Promotions_.end())
    return;
  GroupPromotion &Promotion = Found->second;
  if (Report)
    Promotion.Reports[Database] = {*Report, BegunAt};
  else if (Database == Promotion.OldLeader && BegunAt >= Promotion.StageSince)
    Promotion.OldLeaderFailed = true;
}

LogComparison
PromotionSystem::comparisonOf(const GroupId &Group,
                              const GroupPromotion &Promotion) const {
  auto Synchronous = SynchronousReplicas_.find(Group);
  LogComparison Comparison(Promotion.Reports);
  Comparison.Members = Table_.membersOf(Group);
  Comparison.OldLeader = Promotion.OldLeader;
  Comparison.OldLeaderDrains = Promotion.Reason == PromotionReason::Draining;
  if (Synchronous != SynchronousReplicas_.end())
    Comparison.SynchronousReplicas = Synchronous->second;
  return Comparison;
}

void PromotionSystem::onLeaderPosition(const GroupId &Group, Position Log) {
  Position &Known = Promotions_[Group].LeaderLog;
  Known = std::max(Known, Log);
}

/// Latest term in which commits may have been acknowledged. The record has it
/// even if every process was restarted; the term of a claim may not have begun.
std::uint64_t
PromotionSystem::begunTerm(const GroupId &Group,
                           const GroupPromotion &Promotion) const {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record)
    Record = Restored_.find(Group);
  std::uint64_t Recorded = Record ? Record->Term : 0;
  if (Record && Record->Phase == LeadershipPhase::Promoting && Recorded > 0)
    --Recorded;
  return std::max(Recorded, Promotion.LeaderLog.Term);
}

/// True while a candidate must not be promoted because it has no commit of the
/// leader's term, although there were some: it took no part in the term, and
/// its promotion would drop all of them. A database that has them, such as the
/// leader itself, may answer later.
bool PromotionSystem::mustWaitForTerm(const GroupId &Group,
                                      GroupPromotion &Promotion,
                                      const DatabaseId &Candidate,
                                      TimePoint Now) const {
  const DatabaseReport &Report = Promotion.Reports.at(Candidate).Report;
  if (Report.Received.Term >= begunTerm(Group, Promotion)) {
    Promotion.TermMissingSince.reset();
    return false;
  }
  if (!Promotion.TermMissingSince)
    Promotion.TermMissingSince = Now;
  return Now - *Promotion.TermMissingSince < MissingTermTimeout;
}

void PromotionSystem::compare(const GroupId &Group, GroupPromotion &Promotion,
                              TimePoint Now) {
  std::size_t Expected = 0;
  for (const DatabaseInfo *Info : Table_.membersOf(Group))
    Expected += Info->Listing.Id == Promotion.OldLeader ? 0 : 1;
  std::size_t Reported = Promotion.Reports.size();
  Reported -= Promotion.Reports.contains(Promotion.OldLeader) ? 1 : 0;
  // Wait for the old leader's report too, since it may answer after all.
  bool OldHeard = Promotion.OldLeaderFailed ||
                  Promotion.Reports.contains(Promotion.OldLeader) ||
                  !Table_.find(Promotion.OldLeader);
  bool Complete = Reported >= Expected && OldHeard;
  if (replaceableRevision(Group) != Promotion.SeenRevision) {
    enter(Group, Promotion, PromotionStage::Watching, Now,
          "the record has changed");
    return;
  }
  if (!Complete && Now - Promotion.StageSince < CompareTimeout) {
    requestReports(Group, Promotion, StatusInterval * 2, Now);
    return;
  }
  // The old leader is not replaced if it answers as primary.
  auto Old = Promotion.Reports.find(Promotion.OldLeader);
  if (Promotion.Reason == PromotionReason::Demoted &&
      Old != Promotion.Reports.end() &&
      Old->second.Report.Role == DatabaseRole::Primary) {
    Promotion.SuspectedAt = Now;
    enter(Group, Promotion, PromotionStage::Watching, Now, "the leader leads");
    return;
  }
  if (Promotion.Reason == PromotionReason::Silent &&
      Old != Promotion.Reports.end() &&
      Old->second.Report.Role == DatabaseRole::Primary &&
      Old->second.BegunAt >= Promotion.StageSince) {
    auto [Reached, Live] = Hosts_.countHostsReaching(Promotion.OldLeader,
                                                     Now - SilenceTimeout, Now);
    if (Reached * 2 >= Live) {
      Promotion.SuspectedAt.reset();
      enter(Group, Promotion, PromotionStage::Watching, Now,
            "the leader answers");
      return;
    }
  }
  LogComparison Comparison = comparisonOf(Group, Promotion);
  std::optional<DatabaseId> Best = Comparison.bestCandidate();
  if (!Best || !Comparison.hasEnoughReports(Promotion.StageSince) ||
      mustWaitForTerm(Group, Promotion, *Best, Now)) {
    requestReports(Group, Promotion, StatusInterval * 2, Now);
    if (Now - Promotion.StageSince > CompareTimeout * 4)
      enter(Group, Promotion, PromotionStage::Watching, Now, "no candidate");
    return;
  }
  if (!Lease_.isHeld(LeaseReserve, Now)) {
    Lease_.acquireOrRenew(Now);
    if (Now - Promotion.StageSince > HolderTimeout)
      enter(Group, Promotion, PromotionStage::Watching, Now, "no duty");
    return;
  }
  Promotion.NextLeader = *Best;
  Promotion.NextLeaderDrains = Table_.find(*Best)->Listing.Draining;
  claim(Group, Promotion, Now);
}

/// Term that the next leader must report before it may be used. A replaced
/// primary that does not know of its replacement reports an earlier one.
std::uint64_t
PromotionSystem::requiredTerm(const LeadershipRecord *Record,
                              const GroupPromotion &Promotion) const {
  bool Claimed = Record && Record->Phase == LeadershipPhase::Promoting;
  std::uint64_t Known = Record ? Record->Term : 0;
  const DatabaseReport &Next =
      Promotion.Reports.at(Promotion.NextLeader).Report;
  // A term has only one primary: a database that reports the record's term as
  // primary is the claimed leader, or the leader restarted under another id.
  if (Next.Role == DatabaseRole::Primary && Next.Term >= Known)
    return Next.Term;
  // The promotion of the current claim may not have taken effect, so its term
  // may not have begun.
  std::uint64_t Begun = Claimed ? Known - 1 : Known;
  for (const auto &[Id, Heard] : Promotion.Reports)
    Begun = std::max(Begun, Heard.Report.Term);
  return Begun + 1;
}

void PromotionSystem::claim(const GroupId &Group, GroupPromotion &Promotion,
                            TimePoint Now) {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record)
    Record = Restored_.find(Group);
  LeadershipRecord Claim;
  Claim.Group = Group;
  Claim.Leader = Promotion.NextLeader;
  Claim.Term = requiredTerm(Record, Promotion);
  Claim.Phase = LeadershipPhase::Promoting;
  Claim.Holder = Hosts_.self();
  Promotion.ClaimWritePending = true;
  enter(Group, Promotion, PromotionStage::Claiming, Now);
  Hooks_.Write(Claim, Promotion.SeenRevision);
}

void PromotionSystem::beginWaiting(const GroupId &Group,
                                   GroupPromotion &Promotion,
                                   StoreRevision ClaimRevision, TimePoint Now) {
  Restored_.onWritten(Group);
  Promotion.ClaimWritePending = false;
  Promotion.ClaimRevision = ClaimRevision;
  Promotion.ClaimedAt = Now;
  Promotion.PausedAt.reset();
  Promotion.AllHostsUpdatedAt.reset();
  Promotion.PlatformCalled = false;
  Hooks_.ListHosts();
  Hooks_.ListDatabases();
  enter(Group, Promotion, PromotionStage::Waiting, Now);
}

void PromotionSystem::onWritten(const GroupId &Group, WriteOutcome Outcome,
                                const LeadershipRecord &Current,
                                TimePoint Now) {
  GroupPromotion &Promotion = Promotions_[Group];
  if (Outcome != WriteOutcome::Unknown && Current.Revision.isSet())
    Authority_.confirm(Current, Promotion.StageSince);
  bool Settling = Promotion.Stage == PromotionStage::Settling;
  if (!Settling && Promotion.Stage != PromotionStage::Claiming)
    return;
  if (Outcome != WriteOutcome::Written) {
    Restored_.onWritten(Group);
    enter(Group, Promotion, PromotionStage::Watching, Now,
          Outcome == WriteOutcome::Conflict ? "another host was first"
                                            : "no answer");
    return;
  }
  if (Settling) {
    enter(Group, Promotion, PromotionStage::Watching, Now, "settled");
    return;
  }
  beginWaiting(Group, Promotion, Current.Revision, Now);
}

/// True when the next leader has received all that the draining leader had in
/// its log at a time (Stopped) from which no host used it.
bool PromotionSystem::isCaughtUp(const GroupPromotion &Promotion,
                                 TimePoint Stopped) const {
  auto Old = Promotion.Reports.find(Promotion.OldLeader);
  auto Next = Promotion.Reports.find(Promotion.NextLeader);
  if (Old == Promotion.Reports.end() || Next == Promotion.Reports.end())
    return false;
  return Old->second.BegunAt >= Stopped && Next->second.BegunAt >= Stopped &&
         Next->second.Report.Received >= Old->second.Report.Received;
}

/// True if the database has reported a pause after the claim. A primary can't
/// be paused and counts as paused: its report also keeps other hosts from
/// confirming the old leader.
bool PromotionSystem::isPaused(const GroupPromotion &Promotion,
                               const DatabaseId &Database) {
  auto Known = Promotion.Reports.find(Database);
  if (Known == Promotion.Reports.end())
    return false;
  const DatabaseReport &Report = Known->second.Report;
  return Report.Role == DatabaseRole::Primary ||
         (Report.PausedTerm > 0 &&
          Known->second.BegunAt >= Promotion.ClaimedAt);
}

/// Pauses the group's databases except the old leader, so that the report of
/// any of them keeps hosts from confirming the old leader. Returns true when
/// all of them are paused, or after a time-out if at least the next leader is.
bool PromotionSystem::pauseMembers(const GroupId &Group,
                                   GroupPromotion &Promotion, TimePoint Now) {
  std::uint64_t Highest = 0;
  for (const auto &[Id, Heard] : Promotion.Reports)
    Highest = std::max(Highest, Heard.Report.Term);
  DatabaseCommand Pause;
  Pause.Verb = CommandVerb::Pause;
  Pause.Term = Highest + 1;
  DatabaseCommand Status;
  Status.Verb = CommandVerb::Status;
  bool Asks = !Promotion.AskedAt || Now - *Promotion.AskedAt >= StatusInterval;
  bool All = true;
  for (const DatabaseInfo *Info : Table_.membersOf(Group)) {
    if (Info->Listing.Id == Promotion.OldLeader ||
        isPaused(Promotion, Info->Listing.Id))
      continue;
    All = false;
    if (!Asks)
      continue;
    // A database that was paused for an earlier claim refuses another pause.
    auto Known = Promotion.Reports.find(Info->Listing.Id);
    bool Unpaused = Known != Promotion.Reports.end() &&
                    Known->second.BegunAt >= Promotion.ClaimedAt &&
                    Known->second.Report.PausedTerm == 0;
    Hooks_.Ask(Info->Listing, Unpaused ? Pause : Status);
  }
  if (Asks)
    Promotion.AskedAt = Now;
  bool Tried =
      Now - Promotion.ClaimedAt >= RecordPropagationTimeout + PauseTimeout;
  return All || (Tried && isPaused(Promotion, Promotion.NextLeader));
}

/// Handles the stage Waiting once all hosts use the claim. In a planned change
/// the next leader gets some time to receive the old leader's last commits.
/// With synchronous replicas the logs are compared again: hosts may have
/// acknowledged commits of the old leader since the reports that the choice
/// rests on.
void PromotionSystem::promoteOnceCaughtUp(const GroupId &Group,
                                          GroupPromotion &Promotion,
                                          TimePoint Now) {
  if (!Promotion.AllHostsUpdatedAt)
    Promotion.AllHostsUpdatedAt = Now;
  TimePoint Stopped = *Promotion.AllHostsUpdatedAt;
  bool Planned = Promotion.Reason == PromotionReason::Draining;
  bool Complete = comparisonOf(Group, Promotion)
                      .hasAcknowledgedCommits(Promotion.NextLeader, Stopped);
  if (Complete && (!Planned || isCaughtUp(Promotion, Stopped))) {
    promote(Group, Promotion, Now);
    return;
  }
  if (Now - Stopped < CatchUpTimeout) {
    requestReports(Group, Promotion, StatusInterval / 2, Now);
    return;
  }
  if (Complete)
    promote(Group, Promotion, Now);
  else
    beginComparing(Group, Promotion, Promotion.Reason, Now);
}

/// True when every host that may use the old leader is known to use the claim.
/// The list of hosts may have been restored without some of them, which matters
/// unless the leader stays the same.
bool PromotionSystem::areHostsUpdated(const GroupId &Group,
                                      const GroupPromotion &Promotion,
                                      TimePoint Now) const {
  auto Next = Promotion.Reports.find(Promotion.NextLeader);
  bool Leads = Next != Promotion.Reports.end() &&
               Next->second.Report.Role == DatabaseRole::Primary;
  if (!Leads && Restored_.mayLackHosts(Now))
    return false;
  return Hosts_.allAtRevision(Group, Promotion.ClaimRevision,
                              Promotion.ClaimedAt);
}

/// A host may use the old leader until it uses the claim, or until its latest
/// confirmation expires. If all hosts use the claim, the promotion is requested
/// at once. Otherwise LeadershipValidity must pass after the other databases
/// were paused: hosts that can't reach the store confirm leaderships from the
/// databases' reports until then.
void PromotionSystem::waitForOldLeaderExpiry(const GroupId &Group,
                                             GroupPromotion &Promotion,
                                             TimePoint Now) {
  if (Now - Promotion.StageSince < CallRetryInterval &&
      Promotion.PlatformCalled)
    return;
  if (!Promotion.PausedAt && areHostsUpdated(Group, Promotion, Now)) {
    promoteOnceCaughtUp(Group, Promotion, Now);
    return;
  }
  // A host that is not live will not use the claim in time.
  if (Now - Promotion.ClaimedAt < RecordPropagationTimeout &&
      Hosts_.allListedLive(Now))
    return;
  if (Now - Promotion.ClaimedAt > WaitTimeout) {
    beginComparing(Group, Promotion, Promotion.Reason, Now);
    return;
  }
  if (!Promotion.PausedAt && !pauseMembers(Group, Promotion, Now))
    return;
  if (!Promotion.PausedAt) {
    Promotion.PausedAt = Now;
    return;
  }
  // A database that was restarted is no longer paused.
  if (hasUnpausedMember(Group, Promotion)) {
    Promotion.PausedAt.reset();
    return;
  }
  bool Fresh = Promotion.Reports.at(Promotion.NextLeader).BegunAt >=
               Now - MaximumPauseReportAge;
  TimePoint Expired = *Promotion.PausedAt + LeadershipValidity;
  bool Complete = comparisonOf(Group, Promotion)
                      .hasAcknowledgedCommits(Promotion.NextLeader, Expired);
  if (Fresh && Complete && Now >= Expired) {
    promote(Group, Promotion, Now);
    return;
  }
  if (!Complete && Now >= Expired + CatchUpTimeout) {
    // A paused database does not receive the commits that it lacks.
    resumePaused(Group, Promotion);
    beginComparing(Group, Promotion, Promotion.Reason, Now);
    return;
  }
  requestReports(Group, Promotion, StatusInterval * 2, Now);
}

bool PromotionSystem::hasUnpausedMember(const GroupId &Group,
                                        const GroupPromotion &Promotion) const {
  for (const DatabaseInfo *Info : Table_.membersOf(Group)) {
    auto Known = Promotion.Reports.find(Info->Listing.Id);
    if (Info->Listing.Id != Promotion.OldLeader &&
        Known != Promotion.Reports.end() &&
        Known->second.BegunAt >= *Promotion.PausedAt &&
        !isPaused(Promotion, Info->Listing.Id))
      return true;
  }
  return false;
}

/// Ends the pauses of the group's replicas.
void PromotionSystem::resumePaused(const GroupId &Group,
                                   const GroupPromotion &Promotion) {
  DatabaseCommand Resume;
  Resume.Verb = CommandVerb::Resume;
  for (const DatabaseInfo *Info : Table_.membersOf(Group)) {
    auto Known = Promotion.Reports.find(Info->Listing.Id);
    if (Known != Promotion.Reports.end() &&
        Known->second.Report.Role == DatabaseRole::Replica &&
        Known->second.Report.PausedTerm > 0)
      Hooks_.Ask(Info->Listing, Resume);
  }
}

/// True if the next leader began to drain, or left, after it was chosen.
bool PromotionSystem::hasNextLeaderLeft(const GroupPromotion &Promotion) const {
  const DatabaseInfo *Next = Table_.find(Promotion.NextLeader);
  return !Next || (Next->Listing.Draining && !Promotion.NextLeaderDrains);
}

/// The host's list of databases may be older than its claim, if the store has
/// turned the host away for a while. It is read again before the promotion:
/// statements must not be sent to a database that leaves.
void PromotionSystem::promote(const GroupId &Group, GroupPromotion &Promotion,
                              TimePoint Now) {
  bool Listed =
      DatabasesListedAt_ && *DatabasesListedAt_ >= Promotion.ClaimedAt;
  if (!Listed && Now - Promotion.ClaimedAt <= WaitTimeout)
    return;
  if (!Listed || hasNextLeaderLeft(Promotion)) {
    beginComparing(Group, Promotion, Promotion.Reason, Now);
    return;
  }
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Record->Revision != Promotion.ClaimRevision ||
      !Lease_.mayAcquire(Now)) {
    enter(Group, Promotion, PromotionStage::Watching, Now,
          "taken by another host");
    return;
  }
  if (!Lease_.isHeld(Milliseconds{0}, Now)) {
    Lease_.acquireOrRenew(Now);
    return;
  }
  Promotion.PlatformCalled = true;
  enter(Group, Promotion, PromotionStage::Promoting, Now);
  Hooks_.Promote(Group, Promotion.NextLeader, Lease_.lease().Token);
}

bool PromotionSystem::mayRequest(const GroupId &Group, std::uint64_t Token,
                                 TimePoint Now) const {
  auto Found = Promotions_.find(Group);
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  return Found != Promotions_.end() && Record &&
         Found->second.Stage == PromotionStage::Promoting &&
         Record->Revision == Found->second.ClaimRevision &&
         Lease_.lease().Token == Token && Lease_.isHeld(Milliseconds{0}, Now);
}

void PromotionSystem::onPromoted(const GroupId &Group, PromotionOutcome Outcome,
                                 TimePoint Now) {
  GroupPromotion &Promotion = Promotions_[Group];
  if (Promotion.Stage != PromotionStage::Promoting)
    return;
  switch (Outcome) {
  case PromotionOutcome::Accepted:
  case PromotionOutcome::Unknown:
    Promotion.Accepted = Outcome == PromotionOutcome::Accepted;
    Promotion.Reports.erase(Promotion.NextLeader);
    enter(Group, Promotion, PromotionStage::Verifying, Now);
    return;
  case PromotionOutcome::NotRunning:
    beginComparing(Group, Promotion, Promotion.Reason, Now);
    return;
  case PromotionOutcome::Refused:
    // Requested again after CallRetryInterval, until WaitTimeout after the
    // claim.
    enter(Group, Promotion, PromotionStage::Waiting, Now, "refused");
    return;
  }
}

/// True when the next leader reports that it is the primary of the required
/// term. If the platform accepted the request long ago and the database is the
/// primary of the newest known term, it was the primary already, and the
/// request had no effect.
bool PromotionSystem::isLeading(const GroupId &Group,
                                const GroupPromotion &Promotion,
                                TimePoint Now) const {
  auto Heard = Promotion.Reports.find(Promotion.NextLeader);
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Heard == Promotion.Reports.end() ||
      Heard->second.Report.Role != DatabaseRole::Primary)
    return false;
  std::uint64_t Term = Heard->second.Report.Term;
  if (Term >= Record->Term)
    return true;
  bool Newest = std::all_of(
      Promotion.Reports.begin(), Promotion.Reports.end(),
      [&](const auto &Entry) { return Entry.second.Report.Term <= Term; });
  return Newest && Promotion.Accepted &&
         Now - Promotion.StageSince > MaximumPromotionTime;
}

void PromotionSystem::verify(const GroupId &Group, GroupPromotion &Promotion,
                             TimePoint Now) {
  if (isLeading(Group, Promotion, Now)) {
    Promotion.LeadingTerm =
        Promotion.Reports.at(Promotion.NextLeader).Report.Term;
    settle(Group, Promotion, Now);
    return;
  }
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (Promotion.CompletingForHolder &&
      (!Record || Record->Revision != Promotion.ClaimRevision)) {
    enter(Group, Promotion, PromotionStage::Watching, Now,
          "the record has changed");
    return;
  }
  if (Now - Promotion.StageSince > VerifyTimeout) {
    if (Promotion.CompletingForHolder)
      enter(Group, Promotion, PromotionStage::Watching, Now,
            "it does not lead");
    else
      promote(Group, Promotion, Now);
    return;
  }
  requestReports(Group, Promotion, StatusInterval, Now);
}

void PromotionSystem::settle(const GroupId &Group, GroupPromotion &Promotion,
                             TimePoint Now) {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Record->Revision != Promotion.ClaimRevision) {
    enter(Group, Promotion, PromotionStage::Watching, Now,
          "claimed by another");
    return;
  }
  LeadershipRecord Settled = *Record;
  Settled.Phase = LeadershipPhase::Settled;
  Settled.Term = Promotion.LeadingTerm;
  Settled.Holder = Hosts_.self();
  resumePaused(Group, Promotion);
  enter(Group, Promotion, PromotionStage::Settling, Now);
  Hooks_.Write(Settled, Record->Revision);
}

std::optional<Milliseconds>
PromotionSystem::leaderExpectedIn(const GroupId &Group, TimePoint Now) const {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record)
    return std::nullopt;
  auto Found = Promotions_.find(Group);
  if (Found != Promotions_.end() && Found->second.TermMissingSince)
    return OverdueRetry;
  if (Record->Phase == LeadershipPhase::Promoting) {
    TimePoint Since = Found == Promotions_.end() ? Now : Found->second.SeenAt;
    if (Found != Promotions_.end() &&
        Found->second.SeenRevision != Record->Revision)
      Since = Now;
    // If a listed host is not live, LeadershipValidity is waited for.
    Milliseconds Wait = Hosts_.allListedLive(Now)
                            ? RecordPropagationTime
                            : PauseTime + LeadershipValidity;
    TimePoint Expected = Since + Wait + PromotionTime;
    if (Now > Expected + OverdueSlack)
      return OverdueRetry;
    return std::max(Milliseconds{100},
                    std::chrono::duration_cast<Milliseconds>(Expected - Now));
  }
  std::optional<TimePoint> Confirmed = Authority_.confirmedAt(Group);
  if (!Confirmed || Now - *Confirmed > LeadershipValidity * 3 / 2)
    return UnconfirmedRetry;
  const DatabaseInfo *Leader = Table_.find(Record->Leader);
  // The entry of a leader that expired while the store was away may be back at
  // any moment.
  if (!Leader && !isListTrusted(Now))
    return std::nullopt;
  if (!Leader || (Leader->FailingSince && Leader->Failures >= 2))
    return SilenceTimeout + RecordPropagationTime + PromotionTime;
  return std::nullopt;
}

} // namespace nutmegloom
