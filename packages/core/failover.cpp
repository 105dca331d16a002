#include "core/failover.h"

#include "core/ownership.h"

#include <algorithm>
#include <set>

namespace nutmegloom {

/// If replicas still hear a primary that this host cannot reach or does not
/// know, the failover starts after 2.5 times PrimarySilence: hosts cannot use
/// such a primary even if it is alive. The constant counts halves of
/// PrimarySilence.
static constexpr int UnresponsiveSilenceHalves = 5;
/// Additional delay per rank before a host acts in place of the hosts with
/// lower ranks, in halves of PrimarySilence (1.5 s for a silence of 1 s).
static constexpr int RankDelaySilenceHalves = 3;
/// Delay between the fencing of a majority and the promotion, in tenths of
/// TermValidity. The tenth above the validity allows for host clocks that run
/// at different rates.
static constexpr int FenceWaitTenths = 11;
/// Fences and promotions without a reply are repeated until the attempt is
/// aborted after this multiple of PrimarySilence.
static constexpr int AttemptTimeoutSilences = 3;
/// A minority of members that have promised a term without a primary is
/// tolerated for this multiple of PrimarySilence, since a change of the group's
/// term is necessary to bring them back.
static constexpr int StrandedMemberDelaySilences = 5;
/// Delay between two attempts to replace a leaving primary, as a multiple of
/// PrimarySilence.
static constexpr int PlannedChangePauseSilences = 5;

std::string_view nameOf(FailoverPhase Phase) {
  switch (Phase) {
  case FailoverPhase::Idle:
    return "idle";
  case FailoverPhase::Fencing:
    return "fencing";
  case FailoverPhase::Waiting:
    return "waiting";
  case FailoverPhase::Promoting:
    return "promoting";
  }
  return "invalid";
}

struct FailoverSystem::Attempt {
  FailoverPhase Phase = FailoverPhase::Idle;
  /// Term of the last attempt. It is kept after the end of the attempt, because
  /// a term in which a promotion may have been sent must never be used for
  /// another one.
  std::uint64_t Term = 0;
  TimePoint StartedAt;
  TimePoint SentAt;
  TimePoint MajorityAt;
  /// Status of each member when it granted the fence.
  std::map<DatabaseId, DatabaseStatus> Granted;
  std::set<DatabaseId> Refused;
  DatabaseId Candidate;
  /// No attempt starts before this time.
  std::optional<TimePoint> RetryAt;
  /// When the current reason for a failover was first observed.
  std::optional<TimePoint> ReasonSince;
  std::string Reason;
  /// When the members that should follow the primary but do not were last sent
  /// a Follow command.
  std::map<DatabaseId, TimePoint> FollowSentAt;
};

struct FailoverSystem::Poll {
  std::optional<TimePoint> SentAt;
  std::optional<TimePoint> NextAt;
};

FailoverSystem::FailoverSystem(Tables &Data, const Policy &Limits,
                               const OwnershipSystem &Owners,
                               std::string Promoter, Hooks Callbacks)
    : Data_(Data), Limits_(Limits), Owners_(Owners),
      Promoter_(std::move(Promoter)), Hooks_(std::move(Callbacks)) {}

FailoverSystem::~FailoverSystem() = default;

static std::size_t majorityOf(const GroupEntity &Group) {
  return Group.Members.size() / 2 + 1;
}

/// Last position of a log. The log with the greater one is the more recent.
static std::pair<std::uint64_t, std::uint64_t>
logEndOf(const DatabaseStatus &Status) {
  return {Status.LogTerm, Status.Received};
}

static const DatabaseEntity *findDatabase(const Tables &Data,
                                          const DatabaseId &Id) {
  const auto Found = Data.Databases.find(Id);
  return Found == Data.Databases.end() ? nullptr : &Found->second;
}

/// Members whose last status was requested at Earliest or later.
static std::vector<const DatabaseEntity *>
respondingMembers(const Tables &Data, const GroupEntity &Group,
                  TimePoint Earliest) {
  std::vector<const DatabaseEntity *> Responding;
  for (const DatabaseId &Member : Group.Members)
    if (const DatabaseEntity *Database = findDatabase(Data, Member);
        Database && Database->StatusSentAt &&
        *Database->StatusSentAt >= Earliest)
      Responding.push_back(Database);
  return Responding;
}

Duration FailoverSystem::jitter(Duration Bound) const {
  const auto Range = static_cast<std::uint64_t>(Bound.count());
  return Duration(
      static_cast<Duration::rep>(Range == 0 ? 0 : Hooks_.Random() % Range));
}

void FailoverSystem::updateGroup(const DatabaseEntity &Database) {
  const auto Found = Data_.Groups.find(Database.Group);
  if (Found == Data_.Groups.end())
    return;
  GroupEntity &Group = Found->second;
  const DatabaseStatus &Status = Database.Status;
  if (Status.Role != DatabaseRole::Primary) {
    if (Group.Primary == Database.Id && Status.Term >= Group.Term)
      Group.Primary.reset();
    return;
  }
  if (Status.Term < Group.Term)
    return;
  Group.Term = Status.Term;
  Group.Primary = Database.Id;
  Group.Terms = Status.Terms;
}

void FailoverSystem::onStatus(const DatabaseStatus &Status, TimePoint SentAt,
                              TimePoint Now) {
  const auto Found = Data_.Databases.find(Status.Database);
  if (Found == Data_.Databases.end())
    return;
  DatabaseEntity &Database = Found->second;
  if (const auto MemberPoll = Polls_.find(Database.Id);
      MemberPoll != Polls_.end() && MemberPoll->second.SentAt &&
      *MemberPoll->second.SentAt <= SentAt) {
    MemberPoll->second.SentAt.reset();
    MemberPoll->second.NextAt = Now;
  }
  // Replies to overlapping requests may arrive in any order.
  if (Database.StatusSentAt && SentAt < *Database.StatusSentAt)
    return;
  Database.Status = Status;
  Database.StatusSentAt = SentAt;
  Database.StatusReceivedAt = Now;
  Database.FailingSince.reset();
  Database.Leaving = Database.LeavingInList || Status.Leaving;
  updateGroup(Database);
}

void FailoverSystem::onStatusFailed(const DatabaseId &Database, TimePoint Now) {
  const auto Found = Data_.Databases.find(Database);
  if (Found == Data_.Databases.end())
    return;
  if (!Found->second.FailingSince)
    Found->second.FailingSince = Now;
  Poll &MemberPoll = Polls_[Database];
  MemberPoll.SentAt.reset();
  MemberPoll.NextAt = Now + Limits_.StatusInterval;
}

void FailoverSystem::onControlGranted(const ControlRequest &Request,
                                      const DatabaseStatus &Status,
                                      TimePoint SentAt, TimePoint Now) {
  onStatus(Status, SentAt, Now);
  const DatabaseEntity *Database = findDatabase(Data_, Request.Database);
  if (!Database || Status.Database != Request.Database)
    return;
  const auto Group = Data_.Groups.find(Database->Group);
  const auto Found = Attempts_.find(Database->Group);
  if (Group == Data_.Groups.end() || Found == Attempts_.end())
    return;
  Attempt &State = Found->second;
  if (Request.Term != State.Term || Request.Promoter != Promoter_ ||
      Status.Term != State.Term)
    return;
  if (Request.Command == ControlCommand::Fence &&
      (State.Phase == FailoverPhase::Fencing ||
       State.Phase == FailoverPhase::Waiting)) {
    State.Granted.emplace(Request.Database, Status);
    State.Refused.erase(Request.Database);
    if (State.Phase == FailoverPhase::Fencing &&
        State.Granted.size() >= majorityOf(Group->second)) {
      State.MajorityAt = Now;
      setPhase(Group->first, State, FailoverPhase::Waiting,
               std::to_string(State.Granted.size()) + " members fenced");
    }
  }
  if (Request.Command == ControlCommand::Promote &&
      State.Phase == FailoverPhase::Promoting)
    completeAttempt(Group->second, State, Now);
}

void FailoverSystem::completeAttempt(const GroupEntity &Group, Attempt &State,
                                     TimePoint Now) {
  State.ReasonSince.reset();
  setPhase(Group.Id, State, FailoverPhase::Idle,
           State.Candidate + " is primary");
  for (const DatabaseId &Member : Group.Members)
    if (Member != State.Candidate) {
      State.FollowSentAt[Member] = Now;
      sendFollow(Group, Member);
    }
}

void FailoverSystem::onControlRefused(const ControlRequest &Request,
                                      std::uint64_t Term, TimePoint Now) {
  // The last status of the member is out of date.
  if (const auto MemberPoll = Polls_.find(Request.Database);
      MemberPoll != Polls_.end())
    MemberPoll->second.NextAt = Now;
  const DatabaseEntity *Database = findDatabase(Data_, Request.Database);
  if (!Database)
    return;
  const auto Group = Data_.Groups.find(Database->Group);
  const auto Found = Attempts_.find(Database->Group);
  if (Group == Data_.Groups.end() || Found == Attempts_.end())
    return;
  Attempt &State = Found->second;
  if (Request.Term != State.Term || Request.Promoter != Promoter_)
    return;
  const Duration Pause = Limits_.PrimarySilence / 2;
  if (Request.Command == ControlCommand::Promote &&
      State.Phase == FailoverPhase::Promoting) {
    abortAttempt(Group->first, State, Pause, Now,
                 Request.Database + " has promised term " +
                     std::to_string(Term));
    return;
  }
  if (Request.Command != ControlCommand::Fence ||
      State.Phase != FailoverPhase::Fencing)
    return;
  State.Refused.insert(Request.Database);
  // Another promoter has a higher term, or enough grants to prevent a majority
  // for this one.
  if (Term > State.Term || Group->second.Members.size() - State.Refused.size() <
                               majorityOf(Group->second))
    abortAttempt(Group->first, State, Pause, Now,
                 Request.Database + " has promised term " +
                     std::to_string(Term));
}

void FailoverSystem::onControlFailed(const ControlRequest &, TimePoint) {
  // Lost commands and replies are repeated by advanceAttempt() and
  // repairFollowers().
}

void FailoverSystem::setPhase(const GroupId &Group, Attempt &State,
                              FailoverPhase Phase, const std::string &Detail) {
  State.Phase = Phase;
  if (Hooks_.Report)
    Hooks_.Report(Group, Phase, State.Term, Detail);
}

void FailoverSystem::abortAttempt(const GroupId &Group, Attempt &State,
                                  Duration Pause, TimePoint Now,
                                  const std::string &Reason) {
  // The jitter prevents several promoters from blocking each other repeatedly.
  State.RetryAt = Now + Pause + jitter(Limits_.PrimarySilence);
  setPhase(Group, State, FailoverPhase::Idle, Reason);
}

void FailoverSystem::startAttempt(const GroupEntity &Group, Attempt &State,
                                  TimePoint Now, const std::string &Reason) {
  std::uint64_t Highest = std::max(Group.Term, State.Term);
  for (const DatabaseId &Member : Group.Members)
    if (const DatabaseEntity *Database = findDatabase(Data_, Member))
      Highest = std::max(Highest, Database->Status.Term);
  State.Term = Highest + 1;
  State.StartedAt = Now;
  State.Candidate.clear();
  State.Granted.clear();
  State.Refused.clear();
  setPhase(Group.Id, State, FailoverPhase::Fencing, Reason);
  sendFences(Group, State, Now);
}

void FailoverSystem::sendFences(const GroupEntity &Group, Attempt &State,
                                TimePoint Now) {
  State.SentAt = Now;
  for (const DatabaseId &Member : Group.Members)
    if (!State.Granted.contains(Member) && !State.Refused.contains(Member))
      Hooks_.SendControl(
          {ControlCommand::Fence, Member, State.Term, Promoter_, {}});
}

void FailoverSystem::sendPromote(const GroupEntity &Group, Attempt &State,
                                 TimePoint Now) {
  // The log of a candidate must be at least as recent as the logs of a
  // majority, because each confirmed entry is in one of these. Among such
  // candidates, members that are not leaving are preferred, then the most
  // recent log, then the former primary, since the replicas already hold most
  // of its log.
  const auto IsSafe = [&](const DatabaseStatus &Candidate) {
    const auto Behind = std::count_if(
        State.Granted.begin(), State.Granted.end(), [&](const auto &Other) {
          return logEndOf(Other.second) <= logEndOf(Candidate);
        });
    return static_cast<std::size_t>(Behind) >= majorityOf(Group);
  };
  const auto Preference = [&](const DatabaseId &Id,
                              const DatabaseStatus &Status) {
    const DatabaseEntity *Database = findDatabase(Data_, Id);
    return std::tuple(Database && !Database->Leaving, logEndOf(Status),
                      Group.Primary == Id);
  };
  const DatabaseId *Best = nullptr;
  for (const auto &[Id, Status] : State.Granted)
    if (IsSafe(Status) &&
        (!Best ||
         Preference(Id, Status) > Preference(*Best, State.Granted.at(*Best))))
      Best = &Id;
  if (!Best) {
    abortAttempt(Group.Id, State, Limits_.PrimarySilence, Now,
                 "no fenced member may be promoted");
    return;
  }
  State.Candidate = *Best;
  State.SentAt = State.StartedAt = Now;
  setPhase(Group.Id, State, FailoverPhase::Promoting, State.Candidate);
  Hooks_.SendControl(
      {ControlCommand::Promote, State.Candidate, State.Term, Promoter_, {}});
}

void FailoverSystem::advanceAttempt(const GroupEntity &Group, Attempt &State,
                                    TimePoint Now) {
  if (Group.Term >= State.Term && Group.Primary) {
    if (Group.Term == State.Term && *Group.Primary == State.Candidate)
      completeAttempt(Group, State, Now);
    else
      abortAttempt(Group.Id, State, Duration(0), Now,
                   *Group.Primary + " is primary of term " +
                       std::to_string(Group.Term));
    return;
  }
  if (State.Phase == FailoverPhase::Waiting) {
    // A host that still uses the previous term has statuses of a majority in
    // this term, and at least one of them is from a member that is fenced by
    // now. Once TermValidity has passed, the host no longer accepts that
    // status.
    if (Now >= State.MajorityAt + Limits_.TermValidity * FenceWaitTenths / 10)
      sendPromote(Group, State, Now);
    return;
  }
  if (Now - State.StartedAt >=
      AttemptTimeoutSilences * Limits_.PrimarySilence) {
    abortAttempt(Group.Id, State, Duration(0), Now, "no reply in time");
    return;
  }
  if (Now - State.SentAt < Limits_.PrimarySilence / 2)
    return;
  if (State.Phase == FailoverPhase::Fencing) {
    sendFences(Group, State, Now);
    return;
  }
  State.SentAt = Now;
  Hooks_.SendControl(
      {ControlCommand::Promote, State.Candidate, State.Term, Promoter_, {}});
}

void FailoverSystem::checkForFailure(const GroupEntity &Group, Attempt &State,
                                     std::size_t Rank, TimePoint Now) {
  const Duration Silence = Limits_.PrimarySilence;
  const auto Responding = respondingMembers(Data_, Group, Now - Silence);
  const bool HasMajority = Responding.size() >= majorityOf(Group);
  const DatabaseEntity *Primary =
      Group.Primary ? findDatabase(Data_, *Group.Primary) : nullptr;

  std::string Reason;
  Duration Wait{0};
  const auto HasHigherTerm = [&](const DatabaseEntity *Member) {
    return Member->Status.Term > Group.Term;
  };
  const auto InHigherTerm = static_cast<std::size_t>(
      std::count_if(Responding.begin(), Responding.end(), HasHigherTerm));
  const auto MissesPrimary = [&](const DatabaseEntity *Member) {
    return Member->Status.Role != DatabaseRole::Replica ||
           Member->Status.PrimaryContact + (Now - *Member->StatusReceivedAt) >=
               Silence;
  };
  const bool AllMissPrimary =
      std::all_of(Responding.begin(), Responding.end(), MissesPrimary);
  if (Primary && Now - Primary->StatusReceivedAt.value_or(Now) >= Silence) {
    Reason = "the primary does not respond";
    Wait = AllMissPrimary ? Duration(0)
                          : Silence * (UnresponsiveSilenceHalves - 2) / 2;
  } else if (!Primary) {
    Reason = "no primary";
    Wait = AllMissPrimary ? Duration(Silence)
                          : Silence * UnresponsiveSilenceHalves / 2;
  } else if (InHigherTerm >= majorityOf(Group)) {
    Reason = "a majority has promised a term without a primary";
    Wait = Silence;
  } else if (InHigherTerm > 0) {
    Reason = "a member has promised a term without a primary";
    Wait = Silence * StrandedMemberDelaySilences;
  } else if (Primary->Leaving &&
             std::any_of(Responding.begin(), Responding.end(),
                         [&](const DatabaseEntity *Member) {
                           return !Member->Leaving &&
                                  Member->Status.LogTerm ==
                                      Primary->Status.LogTerm;
                         })) {
    Reason = "the primary is leaving";
  }
  if (Reason.empty() || !HasMajority) {
    State.ReasonSince.reset();
    return;
  }
  if (!State.ReasonSince || State.Reason != Reason) {
    State.ReasonSince = Now;
    State.Reason = Reason;
  }
  Wait += static_cast<int>(Rank) * Silence * RankDelaySilenceHalves / 2;
  if (Now - *State.ReasonSince < Wait ||
      (State.RetryAt && Now < *State.RetryAt))
    return;
  if (Primary && Primary->Leaving)
    State.RetryAt = Now + Silence * PlannedChangePauseSilences;
  startAttempt(Group, State, Now, Reason);
}

void FailoverSystem::sendFollow(const GroupEntity &Group,
                                const DatabaseId &Member) {
  const DatabaseEntity *Primary =
      Group.Primary ? findDatabase(Data_, *Group.Primary) : nullptr;
  if (Primary)
    Hooks_.SendControl({ControlCommand::Follow, Member, Group.Term, Promoter_,
                        Primary->ControlAddress});
}

void FailoverSystem::repairFollowers(const GroupEntity &Group, Attempt &State,
                                     std::size_t Rank, TimePoint Now) {
  if (!Group.Primary)
    return;
  const Duration Silence = Limits_.PrimarySilence;
  for (const DatabaseEntity *Member :
       respondingMembers(Data_, Group, Now - Silence)) {
    const DatabaseStatus &Status = Member->Status;
    const bool Follows =
        Member->Id == *Group.Primary || Status.Term > Group.Term ||
        (Status.Term == Group.Term && Status.Role == DatabaseRole::Replica);
    if (Follows) {
      State.FollowSentAt.erase(Member->Id);
      continue;
    }
    // When a host with a higher rank first observes the member, it only records
    // the time and leaves the command to the coordinator for a while.
    const auto [Sent, Inserted] =
        State.FollowSentAt.try_emplace(Member->Id, Now);
    const Duration Wait = Silence / 2 + static_cast<int>(Rank) * Silence *
                                            RankDelaySilenceHalves / 2;
    if ((Inserted && Rank > 0) || (!Inserted && Now - Sent->second < Wait))
      continue;
    Sent->second = Now;
    sendFollow(Group, Member->Id);
  }
}

void FailoverSystem::pollMembers(const GroupEntity &Group, TimePoint Now) {
  // A status counts from the time its request was sent. If the database may
  // delay its reply by W, the last status is up to 2 W and two round trips old
  // just before the next one arrives. The two delays take three quarters of
  // TermValidity; the rest is for the network.
  const Milliseconds Wait =
      std::min(Limits_.StatusInterval, Limits_.TermValidity * 3 / 8);
  for (const DatabaseId &Member : Group.Members) {
    const DatabaseEntity *Database = findDatabase(Data_, Member);
    if (!Database)
      continue;
    Poll &MemberPoll = Polls_[Member];
    // A request whose result never arrives must not stop further requests.
    if (MemberPoll.SentAt &&
        Now - *MemberPoll.SentAt >=
            Limits_.StatusInterval + Limits_.PrimarySilence)
      onStatusFailed(Member, Now);
    if (MemberPoll.SentAt || (MemberPoll.NextAt && Now < *MemberPoll.NextAt))
      continue;
    MemberPoll.SentAt = Now;
    Hooks_.PollStatus(
        Member, Database->StatusSentAt ? Database->Status.Received : 0, Wait);
  }
}

void FailoverSystem::tick(TimePoint Now) {
  for (const auto &[Id, Group] : Data_.Groups) {
    const std::optional<std::size_t> Rank = Owners_.coordinatorRank(Id);
    if (!Rank && !Group.Active)
      continue;
    pollMembers(Group, Now);
    Attempt &State = Attempts_[Id];
    if (State.Phase != FailoverPhase::Idle)
      advanceAttempt(Group, State, Now);
    else if (Rank) {
      checkForFailure(Group, State, *Rank, Now);
      repairFollowers(Group, State, *Rank, Now);
    }
  }
  std::erase_if(Polls_, [this](const auto &Entry) {
    return !Data_.Databases.contains(Entry.first);
  });
}

FailoverPhase FailoverSystem::phaseOf(const GroupId &Group) const {
  const auto Found = Attempts_.find(Group);
  return Found == Attempts_.end() ? FailoverPhase::Idle : Found->second.Phase;
}

} // namespace nutmegloom
