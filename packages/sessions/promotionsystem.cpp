#include "sessions/promotionsystem.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <array>

namespace nutmegloom {

namespace {

/// A leader that answers no host for this long is replaced.
constexpr Milliseconds SilenceLimit{900};
/// A leader whose machine refuses connections has no process.
constexpr Milliseconds RefusalLimit{250};
/// Older failures say nothing about a leader: the way to it may work again.
constexpr Milliseconds FailureMemory{700};
/// A host that was cut off judges leaders only after this time.
constexpr Milliseconds SettlingIn{1200};
/// A leader that is missing from the list but still answers.
constexpr Milliseconds MissingGrace{2500};
/// Each host waits longer by this than the one ranked before it.
constexpr Milliseconds RankDelay{400};
constexpr Milliseconds CompareTimeout{300};
/// The holder of a claim writes the end of its promotion within this time.
constexpr Milliseconds HelpDelay{250};
constexpr Milliseconds HelpRankDelay{120};
/// Hosts that follow the claim within this time need not be waited out.
constexpr Milliseconds FollowTimeout{200};
/// After a database that was thought to be demoted reports that it leads.
constexpr Milliseconds DemotionGrace{2000};
constexpr Milliseconds AskInterval{80};
/// The same as HolderTimeout, for a claim whose holder is still heard from.
constexpr Milliseconds LiveClaimTimeout{6000};
/// Left of the duty's validity when a promotion is begun.
constexpr Milliseconds LeaseReserve{1500};
/// Name by which hosts are ranked for the duty.
constexpr std::string_view LeaseRankingKey = "promotions";
constexpr Milliseconds CallRetryInterval{150};
/// A claim that is not followed by a call within this time is made anew.
constexpr Milliseconds WaitTimeout{5000};
constexpr Milliseconds PauseTimeout{400};
/// The next leader must have reported its pause within this time.
constexpr Milliseconds PauseReportAge{400};
constexpr Milliseconds WriteTimeout{1500};
/// Wait for the next leader to receive the last commits of one that drains.
constexpr Milliseconds CatchUpTimeout{1200};
/// Typical time from the platform's acceptance to the new leader.
constexpr Milliseconds PromotionTime{700};
/// Typical time from a claim to the call, when all hosts follow.
constexpr Milliseconds FollowTime{100};
/// After it an accepted promotion that shows no effect is asked for again.
constexpr Milliseconds VerifyTimeout{4000};
/// Longer than any promotion takes.
constexpr Milliseconds UnchangedDelay{1800};
/// Typical time to pause the members.
constexpr Milliseconds PauseTime{100};
/// A promotion that takes longer than expected by this is in trouble.
constexpr Milliseconds OverdueSlack{300};
constexpr Milliseconds OverdueRetry{1500};
/// A leadership that is not confirmed for lack of a store.
constexpr Milliseconds UnconfirmedRetry{1000};

constexpr std::array<std::string_view, 5> ReasonNames{
    "none", "draining", "gone", "silent", "demoted"};
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
                                 LeaderAuthority &Authority, Hooks Functions)
    : Table_(Table), Hosts_(Hosts), Authority_(Authority),
      Functions_(std::move(Functions)), Lease_(Hosts, Functions_.WriteLease) {}

void PromotionSystem::onRecordsListed(TimePoint Now) {
  (void)Now;
  RecordsListed_ = true;
}

PromotionStage PromotionSystem::stageOf(const GroupId &Group) const {
  auto Found = Efforts_.find(Group);
  return Found == Efforts_.end() ? PromotionStage::Watching
                                 : Found->second.Stage;
}

void PromotionSystem::enter(const GroupId &Group, Effort &Work,
                            PromotionStage Stage, TimePoint Now,
                            std::string_view Detail) {
  Work.Stage = Stage;
  Work.StageSince = Now;
  Work.AskedAt.reset();
  Functions_.Report(
      {Group, Stage, Work.Reason, Work.Next, Lease_.lease().Token, Detail});
}

std::size_t PromotionSystem::rank(TimePoint Now) const {
  std::vector<HostName> Ranked =
      rankHosts(LeaseRankingKey, Hosts_.hostsReachingStore(Now));
  auto Found = std::find(Ranked.begin(), Ranked.end(), Hosts_.self());
  return static_cast<std::size_t>(Found - Ranked.begin());
}

void PromotionSystem::tick(TimePoint Now) {
  for (const GroupId &Group : Table_.groups()) {
    Effort &Work = Efforts_[Group];
    switch (Work.Stage) {
    case PromotionStage::Watching:
      watch(Group, Work, Now);
      break;
    case PromotionStage::Comparing:
      compare(Group, Work, Now);
      break;
    case PromotionStage::Claiming:
    case PromotionStage::Settling:
      if (Now - Work.StageSince > WriteTimeout)
        enter(Group, Work, PromotionStage::Watching, Now, "no answer");
      break;
    case PromotionStage::Waiting:
      waitForLapse(Group, Work, Now);
      break;
    case PromotionStage::Promoting:
      break;
    case PromotionStage::Verifying:
      verify(Group, Work, Now);
      break;
    }
  }
}

void PromotionSystem::watch(const GroupId &Group, Effort &Work, TimePoint Now) {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record) {
    if (RecordsListed_)
      watchAbsent(Group, Work, Now);
    return;
  }
  if (Record->Revision != Work.SeenRevision) {
    Work.SeenRevision = Record->Revision;
    Work.SeenAt = Now;
    Work.SuspectedAt.reset();
  }
  // A claim counts only against a record that the store has shown lately.
  std::optional<TimePoint> Confirmed = Authority_.confirmedAt(Group);
  if (!Confirmed || Now - *Confirmed > LeadershipValidity)
    return;
  if (Record->Phase == LeadershipPhase::Promoting) {
    watchClaim(Group, *Record, Work, Now);
    return;
  }
  PromotionReason Reason = reasonToReplace(Group, *Record, Now);
  if (Reason == PromotionReason::None) {
    Work.SuspectedAt.reset();
    return;
  }
  if (!Work.SuspectedAt)
    Work.SuspectedAt = Now;
  Milliseconds RankWait = RankDelay * rank(Now);
  if (Reason == PromotionReason::Demoted)
    RankWait += DemotionGrace;
  if (Now - *Work.SuspectedAt < RankWait)
    return;
  Work.OldLeader = Record->Leader;
  beginComparing(Group, Work, Reason, Now);
}

/// A claim that is not being carried out by this host: its answer was lost, or
/// its holder may be.
void PromotionSystem::watchClaim(const GroupId &Group,
                                 const LeadershipRecord &Claim, Effort &Work,
                                 TimePoint Now) {
  if (isOwnClaim(Claim, Work)) {
    beginWaiting(Group, Work, Claim.Revision, Now);
    return;
  }
  if (maySettleForHolder(Claim, Work, Now)) {
    Work.Next = Claim.Leader;
    Work.Claim = Claim.Revision;
    Work.Helping = true;
    Work.Accepted = false;
    Work.Reports.clear();
    enter(Group, Work, PromotionStage::Verifying, Now, "for the holder");
    return;
  }
  bool Live = Claim.Holder != Hosts_.self() && Hosts_.isLive(Claim.Holder, Now);
  Milliseconds Timeout = Live ? LiveClaimTimeout : HolderTimeout;
  if (Now - Work.SeenAt < Timeout + RankDelay * rank(Now))
    return;
  Work.OldLeader.clear();
  beginComparing(Group, Work, PromotionReason::Silent, Now);
}

/// True for a claim of this process whose answer was lost.
bool PromotionSystem::isOwnClaim(const LeadershipRecord &Record,
                                 const Effort &Work) const {
  return Work.Claiming && Record.Holder == Hosts_.self() &&
         Record.Leader == Work.Next && Work.Reports.contains(Work.Next);
}

/// True when the platform lists the claimed leader as primary and the holder of
/// the claim has not said so: it may be lost. What the holder had to wait for
/// was over before it called, so any host may write the end of its promotion.
bool PromotionSystem::maySettleForHolder(const LeadershipRecord &Record,
                                         Effort &Work, TimePoint Now) const {
  const DatabaseView *Next = Table_.find(Record.Leader);
  if (!Next || Next->Listing.Role != DatabaseRole::Primary) {
    Work.LeadsSince.reset();
    return false;
  }
  if (!Work.LeadsSince)
    Work.LeadsSince = Now;
  return Now - *Work.LeadsSince >= HelpDelay + HelpRankDelay * rank(Now);
}

/// The first record names the database that the platform lists as primary.
void PromotionSystem::watchAbsent(const GroupId &Group, Effort &Work,
                                  TimePoint Now) {
  const DatabaseView *Primary = nullptr;
  for (const DatabaseView *View : Table_.membersOf(Group))
    if (View->Listing.Role == DatabaseRole::Primary)
      Primary = View;
  if (!Primary)
    return;
  if (!Work.SuspectedAt)
    Work.SuspectedAt = Now;
  if (Now - *Work.SuspectedAt < RankDelay * rank(Now))
    return;
  Work.Reason = PromotionReason::None;
  Work.Next = Primary->Listing.Id;
  LeadershipRecord First;
  First.Group = Group;
  First.Leader = Primary->Listing.Id;
  First.Term = Primary->Log ? Primary->Log->Term : 0;
  First.Holder = Hosts_.self();
  enter(Group, Work, PromotionStage::Settling, Now, "first record");
  Functions_.Write(First, 0);
}

bool PromotionSystem::isUnreachable(const DatabaseView &Leader,
                                    TimePoint Now) const {
  bool Recent = Leader.FailingSince && Now - Leader.FailedAt < FailureMemory;
  bool SettledIn = StoreReachedSince_ && Now - *StoreReachedSince_ > SettlingIn;
  if (!Recent || !SettledIn)
    return false;
  std::optional<TimePoint> Others =
      Hosts_.latestAnswerToOthers(Leader.Listing.Id, Now);
  Duration Failing = Now - *Leader.FailingSince;
  if (Leader.RefusesConnections && Leader.Failures >= 2 &&
      Failing > RefusalLimit)
    return !Others || *Others < *Leader.FailingSince;
  if (Failing < SilenceLimit || Leader.Failures < 2)
    return false;
  auto [Reached, Live] =
      Hosts_.countHostsReaching(Leader.Listing.Id, Now - SilenceLimit, Now);
  return Reached * 3 < (Live + 1) * 2 - 1 || Reached == 0;
}

PromotionReason PromotionSystem::reasonToReplace(const GroupId &Group,
                                                 const LeadershipRecord &Record,
                                                 TimePoint Now) const {
  const DatabaseView *Leader = Table_.find(Record.Leader);
  if (!Leader) {
    bool Trusted = ListTrustedSince_ && Now - *ListTrustedSince_ > MissingGrace;
    return Trusted ? PromotionReason::Gone : PromotionReason::None;
  }
  if (Leader->Listing.Draining)
    return PromotionReason::Draining;
  if (isUnreachable(*Leader, Now))
    return PromotionReason::Silent;
  // Roles in a list that is no longer followed may be old.
  if (Leader->Listing.Role != DatabaseRole::Replica || !ListTrustedSince_)
    return PromotionReason::None;
  for (const DatabaseView *View : Table_.membersOf(Group))
    if (View->Listing.Role == DatabaseRole::Primary)
      return PromotionReason::Demoted;
  return PromotionReason::None;
}

void PromotionSystem::beginComparing(const GroupId &Group, Effort &Work,
                                     PromotionReason Reason, TimePoint Now) {
  Work.Reason = Reason;
  if (const LeadershipRecord *Record = Authority_.recordOf(Group))
    Work.SeenRevision = Record->Revision;
  Work.Reports.clear();
  Work.OldLeaderFailed = false;
  Work.Claiming = false;
  Work.Helping = false;
  Work.LeadsSince.reset();
  Work.Next.clear();
  Work.LeadingTerm = 0;
  enter(Group, Work, PromotionStage::Comparing, Now);
  askAgain(Group, Work, AskInterval, Now);
}

void PromotionSystem::askAgain(const GroupId &Group, Effort &Work,
                               Milliseconds Interval, TimePoint Now) {
  if (Work.AskedAt && Now - *Work.AskedAt < Interval)
    return;
  Work.AskedAt = Now;
  DatabaseCommand Status;
  Status.Verb = CommandVerb::Status;
  for (const DatabaseView *View : Table_.membersOf(Group)) {
    bool OnlyNext = Work.Stage == PromotionStage::Verifying;
    if (OnlyNext && View->Listing.Id != Work.Next)
      continue;
    Functions_.Ask(View->Listing, Status);
  }
}

void PromotionSystem::onReport(const DatabaseId &Database,
                               const std::optional<DatabaseReport> &Report,
                               TimePoint BegunAt, TimePoint Now) {
  (void)Now;
  const DatabaseView *View = Table_.find(Database);
  if (!View)
    return;
  auto Found = Efforts_.find(View->Listing.Group);
  if (Found == Efforts_.end())
    return;
  Effort &Work = Found->second;
  if (Report)
    Work.Reports[Database] = {*Report, BegunAt};
  else if (Database == Work.OldLeader && BegunAt >= Work.StageSince)
    Work.OldLeaderFailed = true;
}

/// With synchronous replicas, one that holds every acknowledged commit must be
/// among those that reported.
bool PromotionSystem::hasEnoughReports(const GroupId &Group,
                                       const Effort &Work) const {
  auto Synchronous = SynchronousReplicas_.find(Group);
  if (Synchronous == SynchronousReplicas_.end() || Synchronous->second == 0)
    return true;
  std::size_t Replicas = 0;
  std::size_t Reported = 0;
  for (const DatabaseView *View : Table_.membersOf(Group)) {
    if (View->Listing.Id == Work.OldLeader)
      continue;
    ++Replicas;
    Reported += Work.Reports.contains(View->Listing.Id) ? 1 : 0;
  }
  return Reported + Synchronous->second > Replicas;
}

std::optional<DatabaseId>
PromotionSystem::bestCandidate(const GroupId &Group, const Effort &Work) const {
  std::uint64_t Newest = 0;
  for (const auto &[Id, Heard] : Work.Reports)
    Newest = std::max(Newest, Heard.Report.Term);
  std::optional<DatabaseId> Best;
  std::optional<DatabaseId> Leading;
  for (const DatabaseView *View : Table_.membersOf(Group)) {
    const DatabaseId &Id = View->Listing.Id;
    auto Found = Work.Reports.find(Id);
    if (Found == Work.Reports.end() || View->Listing.Draining ||
        Id == Work.OldLeader)
      continue;
    const DatabaseReport &Report = Found->second.Report;
    // A promotion that was begun by another host may have taken effect. A
    // primary of an earlier term is a replaced one, whatever it says.
    if (Report.Role == DatabaseRole::Primary && Report.Term == Newest)
      Leading = Id;
    if (!Best || Work.Reports.at(*Best).Report.Received < Report.Received)
      Best = Id;
  }
  return Leading ? Leading : Best;
}

void PromotionSystem::compare(const GroupId &Group, Effort &Work,
                              TimePoint Now) {
  std::size_t Expected = 0;
  for (const DatabaseView *View : Table_.membersOf(Group))
    Expected += View->Listing.Id == Work.OldLeader ? 0 : 1;
  std::size_t Reported = Work.Reports.size();
  Reported -= Work.Reports.contains(Work.OldLeader) ? 1 : 0;
  // A leader that answers after all is heard before it is replaced.
  bool OldHeard = Work.OldLeaderFailed ||
                  Work.Reports.contains(Work.OldLeader) ||
                  !Table_.find(Work.OldLeader);
  bool Complete = Reported >= Expected && OldHeard;
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Record->Revision != Work.SeenRevision) {
    enter(Group, Work, PromotionStage::Watching, Now, "the record has changed");
    return;
  }
  if (!Complete && Now - Work.StageSince < CompareTimeout) {
    askAgain(Group, Work, AskInterval * 2, Now);
    return;
  }
  // The old leader has answered after all.
  auto Old = Work.Reports.find(Work.OldLeader);
  if (Work.Reason == PromotionReason::Demoted && Old != Work.Reports.end() &&
      Old->second.Report.Role == DatabaseRole::Primary) {
    Work.SuspectedAt = Now;
    enter(Group, Work, PromotionStage::Watching, Now, "the leader leads");
    return;
  }
  if (Work.Reason == PromotionReason::Silent && Old != Work.Reports.end() &&
      Old->second.Report.Role == DatabaseRole::Primary &&
      Old->second.BegunAt >= Work.StageSince) {
    auto [Reached, Live] =
        Hosts_.countHostsReaching(Work.OldLeader, Now - SilenceLimit, Now);
    if (Reached * 2 >= Live) {
      Work.SuspectedAt.reset();
      enter(Group, Work, PromotionStage::Watching, Now, "the leader answers");
      return;
    }
  }
  std::optional<DatabaseId> Best = bestCandidate(Group, Work);
  if (!Best || !hasEnoughReports(Group, Work)) {
    askAgain(Group, Work, AskInterval * 2, Now);
    if (Now - Work.StageSince > CompareTimeout * 4)
      enter(Group, Work, PromotionStage::Watching, Now, "no candidate");
    return;
  }
  if (!Lease_.isHeld(LeaseReserve, Now)) {
    Lease_.request(Now);
    if (Now - Work.StageSince > HolderTimeout)
      enter(Group, Work, PromotionStage::Watching, Now, "no duty");
    return;
  }
  Work.Next = *Best;
  claim(Group, Work, Now);
}

/// Term that the next leader must report before it may be used. A replaced
/// primary that has not heard of it reports an earlier one.
std::uint64_t PromotionSystem::termToLead(const LeadershipRecord *Record,
                                          const Effort &Work) const {
  bool Claimed = Record && Record->Phase == LeadershipPhase::Promoting;
  std::uint64_t Known = Record ? Record->Term : 0;
  const DatabaseReport &Next = Work.Reports.at(Work.Next).Report;
  // A term has one primary only: one that reports the record's term is the
  // leader that was claimed, or the leader under the id of a new start.
  if (Next.Role == DatabaseRole::Primary && Next.Term >= Known)
    return Next.Term;
  // The term of a claim may not have begun yet.
  std::uint64_t Begun = Claimed ? Known - 1 : Known;
  for (const auto &[Id, Heard] : Work.Reports)
    Begun = std::max(Begun, Heard.Report.Term);
  return Begun + 1;
}

void PromotionSystem::claim(const GroupId &Group, Effort &Work, TimePoint Now) {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  LeadershipRecord Claim;
  Claim.Group = Group;
  Claim.Leader = Work.Next;
  Claim.Term = termToLead(Record, Work);
  Claim.Phase = LeadershipPhase::Promoting;
  Claim.Holder = Hosts_.self();
  Work.Claiming = true;
  enter(Group, Work, PromotionStage::Claiming, Now);
  Functions_.Write(Claim, Record ? Record->Revision : 0);
}

void PromotionSystem::beginWaiting(const GroupId &Group, Effort &Work,
                                   std::uint64_t Claim, TimePoint Now) {
  Work.Claiming = false;
  Work.Claim = Claim;
  Work.ClaimedAt = Now;
  Work.PausedAt.reset();
  Work.FollowedAt.reset();
  Work.Called = false;
  Functions_.ListHosts();
  enter(Group, Work, PromotionStage::Waiting, Now);
}

void PromotionSystem::onWritten(const GroupId &Group, WriteOutcome Outcome,
                                const LeadershipRecord &Current,
                                TimePoint Now) {
  Effort &Work = Efforts_[Group];
  if (Outcome != WriteOutcome::Unknown && Current.Revision > 0)
    Authority_.confirm(Current, Work.StageSince);
  bool Settling = Work.Stage == PromotionStage::Settling;
  if (!Settling && Work.Stage != PromotionStage::Claiming)
    return;
  if (Outcome != WriteOutcome::Written) {
    enter(Group, Work, PromotionStage::Watching, Now,
          Outcome == WriteOutcome::Conflict ? "another host was first"
                                            : "no answer");
    return;
  }
  if (Settling) {
    enter(Group, Work, PromotionStage::Watching, Now, "settled");
    return;
  }
  beginWaiting(Group, Work, Current.Revision, Now);
}

/// True when the next leader has received what the draining one had written
/// when no host used it any more.
bool PromotionSystem::isCaughtUp(const Effort &Work, TimePoint Stopped) const {
  auto Old = Work.Reports.find(Work.OldLeader);
  auto Next = Work.Reports.find(Work.Next);
  if (Old == Work.Reports.end() || Next == Work.Reports.end())
    return false;
  return Old->second.BegunAt >= Stopped && Next->second.BegunAt >= Stopped &&
         Next->second.Report.Received >= Old->second.Report.Received;
}

/// A member that leads can't be paused: what it reports already shows hosts
/// that the old leader is not alone.
bool PromotionSystem::isPaused(const Effort &Work, const DatabaseId &Database) {
  auto Known = Work.Reports.find(Database);
  if (Known == Work.Reports.end())
    return false;
  const DatabaseReport &Report = Known->second.Report;
  return Report.Role == DatabaseRole::Primary ||
         (Report.PausedTerm > 0 && Known->second.BegunAt >= Work.ClaimedAt);
}

/// Pauses all members but the old leader, so that a host sees it at whichever
/// of them it knows. Returns true once that is done as far as it can be.
bool PromotionSystem::pauseMembers(const GroupId &Group, Effort &Work,
                                   TimePoint Now) {
  std::uint64_t Highest = 0;
  for (const auto &[Id, Heard] : Work.Reports)
    Highest = std::max(Highest, Heard.Report.Term);
  DatabaseCommand Pause;
  Pause.Verb = CommandVerb::Pause;
  Pause.Term = Highest + 1;
  DatabaseCommand Status;
  Status.Verb = CommandVerb::Status;
  bool Asks = !Work.AskedAt || Now - *Work.AskedAt >= AskInterval;
  bool All = true;
  for (const DatabaseView *View : Table_.membersOf(Group)) {
    if (View->Listing.Id == Work.OldLeader || isPaused(Work, View->Listing.Id))
      continue;
    All = false;
    if (!Asks)
      continue;
    // A member that an earlier claim has paused refuses another pause.
    auto Known = Work.Reports.find(View->Listing.Id);
    bool Unpaused = Known != Work.Reports.end() &&
                    Known->second.BegunAt >= Work.ClaimedAt &&
                    Known->second.Report.PausedTerm == 0;
    Functions_.Ask(View->Listing, Unpaused ? Pause : Status);
  }
  if (Asks)
    Work.AskedAt = Now;
  bool Tried = Now - Work.ClaimedAt >= FollowTimeout + PauseTimeout;
  return All || (Tried && isPaused(Work, Work.Next));
}

/// A host may use the old leader until it goes by the claim, or until its last
/// confirmation lapses. If all hosts go by the claim, nothing is waited for.
/// Otherwise one validity passes, counted from the pause of the other members
/// as well: hosts without the store go by what the databases report.
void PromotionSystem::waitForLapse(const GroupId &Group, Effort &Work,
                                   TimePoint Now) {
  if (Now - Work.StageSince < CallRetryInterval && Work.Called)
    return;
  bool Followed = Hosts_.allAtRevision(Group, Work.Claim, Work.ClaimedAt);
  bool Planned = Work.Reason == PromotionReason::Draining;
  if (Followed && !Work.PausedAt) {
    if (!Work.FollowedAt)
      Work.FollowedAt = Now;
    if (Planned && !isCaughtUp(Work, *Work.FollowedAt) &&
        Now - *Work.FollowedAt < CatchUpTimeout) {
      askAgain(Group, Work, AskInterval / 2, Now);
      return;
    }
    promote(Group, Work, Now);
    return;
  }
  // One that is not heard from will not follow in time.
  if (Now - Work.ClaimedAt < FollowTimeout && Hosts_.allListedLive(Now))
    return;
  if (Now - Work.ClaimedAt > WaitTimeout) {
    beginComparing(Group, Work, Work.Reason, Now);
    return;
  }
  if (!Work.PausedAt && !pauseMembers(Group, Work, Now))
    return;
  if (!Work.PausedAt) {
    Work.PausedAt = Now;
    return;
  }
  // A member that restarts forgets its pause.
  if (hasUnpausedMember(Group, Work)) {
    Work.PausedAt.reset();
    return;
  }
  bool Fresh = Work.Reports.at(Work.Next).BegunAt >= Now - PauseReportAge;
  if (Fresh && Now - *Work.PausedAt >= LeadershipValidity) {
    promote(Group, Work, Now);
    return;
  }
  askAgain(Group, Work, AskInterval * 2, Now);
}

bool PromotionSystem::hasUnpausedMember(const GroupId &Group,
                                        const Effort &Work) const {
  for (const DatabaseView *View : Table_.membersOf(Group)) {
    auto Known = Work.Reports.find(View->Listing.Id);
    if (View->Listing.Id != Work.OldLeader && Known != Work.Reports.end() &&
        Known->second.BegunAt >= *Work.PausedAt &&
        !isPaused(Work, View->Listing.Id))
      return true;
  }
  return false;
}

/// Takes back pauses of earlier attempts.
void PromotionSystem::resumeOthers(const GroupId &Group, const Effort &Work) {
  DatabaseCommand Resume;
  Resume.Verb = CommandVerb::Resume;
  for (const DatabaseView *View : Table_.membersOf(Group)) {
    auto Known = Work.Reports.find(View->Listing.Id);
    if (Known == Work.Reports.end() || View->Listing.Id == Work.Next ||
        Known->second.Report.PausedTerm == 0)
      continue;
    Functions_.Ask(View->Listing, Resume);
  }
}

void PromotionSystem::promote(const GroupId &Group, Effort &Work,
                              TimePoint Now) {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Record->Revision != Work.Claim || !Lease_.mayTake(Now)) {
    enter(Group, Work, PromotionStage::Watching, Now, "taken by another host");
    return;
  }
  if (!Lease_.isHeld(Milliseconds{0}, Now)) {
    Lease_.request(Now);
    return;
  }
  Work.Called = true;
  enter(Group, Work, PromotionStage::Promoting, Now);
  Functions_.Promote(Group, Work.Next, Lease_.lease().Token);
}

void PromotionSystem::onPromoted(const GroupId &Group, PromotionOutcome Outcome,
                                 TimePoint Now) {
  Effort &Work = Efforts_[Group];
  if (Work.Stage != PromotionStage::Promoting)
    return;
  switch (Outcome) {
  case PromotionOutcome::Accepted:
  case PromotionOutcome::Unknown:
    Work.Accepted = Outcome == PromotionOutcome::Accepted;
    Work.Reports.erase(Work.Next);
    enter(Group, Work, PromotionStage::Verifying, Now);
    return;
  case PromotionOutcome::NotRunning:
    beginComparing(Group, Work, Work.Reason, Now);
    return;
  case PromotionOutcome::Refused:
    // Asked for again after a pause, while the claim is young enough.
    enter(Group, Work, PromotionStage::Waiting, Now, "refused");
    return;
  }
}

/// True when the next leader leads. One that leads the newest term long after
/// the platform accepted the call was the primary all the while, and the call
/// has changed nothing.
bool PromotionSystem::leads(const GroupId &Group, const Effort &Work,
                            TimePoint Now) const {
  auto Heard = Work.Reports.find(Work.Next);
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Heard == Work.Reports.end() ||
      Heard->second.Report.Role != DatabaseRole::Primary)
    return false;
  std::uint64_t Term = Heard->second.Report.Term;
  if (Term >= Record->Term)
    return true;
  bool Newest = std::all_of(
      Work.Reports.begin(), Work.Reports.end(),
      [&](const auto &Entry) { return Entry.second.Report.Term <= Term; });
  return Newest && Work.Accepted && Now - Work.StageSince > UnchangedDelay;
}

void PromotionSystem::verify(const GroupId &Group, Effort &Work,
                             TimePoint Now) {
  if (leads(Group, Work, Now)) {
    Work.LeadingTerm = Work.Reports.at(Work.Next).Report.Term;
    settle(Group, Work, Now);
    return;
  }
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (Work.Helping && (!Record || Record->Revision != Work.Claim)) {
    enter(Group, Work, PromotionStage::Watching, Now, "the record has changed");
    return;
  }
  if (Now - Work.StageSince > VerifyTimeout) {
    if (Work.Helping)
      enter(Group, Work, PromotionStage::Watching, Now, "it does not lead");
    else
      promote(Group, Work, Now);
    return;
  }
  askAgain(Group, Work, AskInterval, Now);
}

void PromotionSystem::settle(const GroupId &Group, Effort &Work,
                             TimePoint Now) {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Record->Revision != Work.Claim) {
    enter(Group, Work, PromotionStage::Watching, Now, "claimed by another");
    return;
  }
  LeadershipRecord Settled = *Record;
  Settled.Phase = LeadershipPhase::Settled;
  Settled.Term = Work.LeadingTerm;
  Settled.Holder = Hosts_.self();
  resumeOthers(Group, Work);
  enter(Group, Work, PromotionStage::Settling, Now);
  Functions_.Write(Settled, Record->Revision);
}

std::optional<Milliseconds>
PromotionSystem::leaderExpectedIn(const GroupId &Group, TimePoint Now) const {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record)
    return std::nullopt;
  if (Record->Phase == LeadershipPhase::Promoting) {
    auto Found = Efforts_.find(Group);
    TimePoint Since = Found == Efforts_.end() ? Now : Found->second.SeenAt;
    if (Found != Efforts_.end() &&
        Found->second.SeenRevision != Record->Revision)
      Since = Now;
    // A host that is listed but not heard from has to be waited out.
    Milliseconds Wait =
        Hosts_.allListedLive(Now) ? FollowTime : PauseTime + LeadershipValidity;
    TimePoint Expected = Since + Wait + PromotionTime;
    if (Now > Expected + OverdueSlack)
      return OverdueRetry;
    return std::max(Milliseconds{100},
                    std::chrono::duration_cast<Milliseconds>(Expected - Now));
  }
  std::optional<TimePoint> Confirmed = Authority_.confirmedAt(Group);
  if (!Confirmed || Now - *Confirmed > LeadershipValidity * 3 / 2)
    return UnconfirmedRetry;
  const DatabaseView *Leader = Table_.find(Record->Leader);
  if (!Leader || (Leader->FailingSince && Leader->Failures >= 2))
    return SilenceLimit + FollowTime + PromotionTime;
  return std::nullopt;
}

} // namespace nutmegloom
