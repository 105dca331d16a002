#include "sessions/sessionengine.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// How long databases stay in use after they are removed from the list. Entries
/// that expired while the store was unavailable reappear within about two
/// seconds of its return.
constexpr Milliseconds MissingRetention{2500};
/// A database is probed when it has left exchanges unanswered for this long.
constexpr Milliseconds ProbeDelay{350};
constexpr Milliseconds ProbeInterval{300};
constexpr Milliseconds ConfigurationAskInterval{600};
/// Time for a configuration to arrive while the connection on which it was
/// requested works.
constexpr Milliseconds ConfigurationTransferTimeout{5000};
/// How long an added member leaves the quotas to the others, unless all of them
/// are known to count it. Members read their list every 10 s.
constexpr Milliseconds AddedMemberDelay{12000};

Milliseconds ageOf(TimePoint Moment, TimePoint Now) {
  return std::chrono::ceil<Milliseconds>(Now - Moment);
}

} // namespace

SessionEngine::SessionEngine(HostName Self, std::uint64_t Incarnation,
                             ListedHost Location,
                             DatabaseTable::DistanceFunction DistanceOf,
                             Hooks Callbacks)
    : Location_(std::move(Location)), Hooks_(std::move(Callbacks)),
      Table_(std::move(DistanceOf)), Hosts_(std::move(Self), Incarnation),
      Runner_(Table_, Authority_, Hooks_.Connections,
              {Hooks_.Send,
               [this](CallerSessionId Session, StatementResult Result,
                      TimePoint Now) {
                 if (RelayedSessions::isRelayed(Session))
                   Relayed_.onFinished(Session, std::move(Result));
                 else
                   Proxy_.onFinished(Session, std::move(Result), Now);
               },
               [this](CallerSessionId Session) {
                 if (RelayedSessions::isRelayed(Session))
                   Relayed_.onTransactionLost(Session);
                 else
                   Proxy_.onTransactionLost(Session);
               },
               [this](const GroupId &Group, TimePoint Now) {
                 return Promotions_.leaderExpectedIn(Group, Now);
               },
               Hooks_.ReachabilityChanged, Hooks_.StatementPrepared}),
      Admission_(admissionHooks()),
      Relayed_(Runner_, Admission_,
               {Hooks_.AnswerHost, Hooks_.CloseLink,
                [this]() -> const SessionConfiguration & {
                  return Proxy_.configuration();
                },
                [this](TimePoint Now) {
                  return Freshness_.ageOf(Proxy_.configuration().Version, Now);
                }}),
      Router_(
          Runner_, Admission_, Table_, Authority_, Hosts_,
          {Hooks_.AskHost, Hooks_.CloseRelay,
           [this](CallerSessionId Session, StatementResult Result,
                  TimePoint Now) {
             Proxy_.onFinished(Session, std::move(Result), Now);
           },
           [this](CallerSessionId Session) {
             Proxy_.onTransactionLost(Session);
           },
           [this](const HostName &Host, std::uint64_t Version, TimePoint Now) {
             onConfigurationSeen(Host, Version, Now);
           },
           [this](std::uint64_t Version, TimePoint Moment) {
             Freshness_.confirm(Version, Moment);
           }}),
      Proxy_(Router_, Freshness_, Hooks_.Sessions),
      Promotions_(Table_, Hosts_, Authority_, Hooks_.Promotions),
      Check_(Table_, Hosts_, Authority_, Hooks_.Promotions.Ask) {
  Router_.setLocation(Location_.Zone, Location_.Region);
}

QuotaAdmission::Hooks SessionEngine::admissionHooks() {
  QuotaAdmission::Hooks Hooks;
  Hooks.Admitted = [this](StatementWork Work, TimePoint Now) {
    if (RelayedSessions::isRelayed(Work.Session))
      Runner_.submit(std::move(Work), Now);
    else
      Router_.onAdmitted(std::move(Work), Now);
  };
  Hooks.Refused = [this](const StatementWork &Work, Milliseconds RetryAfter,
                         TimePoint Now) {
    refuseBeyondQuota(Work, RetryAfter, Now);
  };
  Hooks.Ask = [this](const HostName &Host, const QuotaRequest &Request) {
    Hooks_.AskHost(Host, Request);
  };
  Hooks.Members = [this](TimePoint Now) { return membersToAsk(Now); };
  return Hooks;
}

void SessionEngine::refuseBeyondQuota(const StatementWork &Work,
                                      Milliseconds RetryAfter, TimePoint Now) {
  if (Hooks_.QuotaRefused)
    Hooks_.QuotaRefused(Work.Account, RetryAfter);
  StatementResult Result;
  Result.Answer.Code = StatementCode::Busy;
  Result.Answer.Detail = "over the account's rate limit, not run";
  Result.RetryAfter = RetryAfter;
  if (RelayedSessions::isRelayed(Work.Session))
    Relayed_.onFinished(Work.Session, std::move(Result));
  else
    Proxy_.onFinished(Work.Session, std::move(Result), Now);
}

/// The live members of this region, and those of the others.
std::vector<std::vector<HostName>>
SessionEngine::membersToAsk(TimePoint Now) const {
  std::vector<std::vector<HostName>> Groups(2);
  for (const auto &[Name, Peer] : Hosts_.peers())
    if (Hosts_.isListed(Name) && Hosts_.isLive(Name, Now))
      Groups[Peer.Region == Location_.Region ? 0 : 1].push_back(Name);
  return Groups;
}

void SessionEngine::setKeyRevocationBound(std::optional<Milliseconds> Bound) {
  Freshness_.setBound(Bound);
  Router_.setConfirmsConfiguration(Bound.has_value());
}

bool SessionEngine::beginDueConfigurationRead(TimePoint Now) {
  const SessionConfiguration &Present = Proxy_.configuration();
  Router_.setAwaitsConfirmation(Present.RequiresKeys &&
                                !Freshness_.ageOf(Present.Version, Now));
  if (!Present.RequiresKeys || !Freshness_.isReadDue(Present.Version, Now))
    return false;
  Freshness_.onReadBegun(Now);
  return true;
}

void SessionEngine::setMember(bool Member, TimePoint Now) {
  // The list of members is read again before this host has a part of quotas.
  if (Member && !Member_)
    ListedMembers_ = 0;
  Member_ = Member;
  Router_.setServesDatabases(Member, Now);
  updateQuotaShares(Now);
}

void SessionEngine::setMemberCount(std::size_t Members, bool IsNew,
                                   TimePoint Now) {
  ListedMembers_ = Members;
  if (IsNew && !WasAdded_)
    AddedAsMemberAt_ = Now;
  WasAdded_ = IsNew;
  updateQuotaShares(Now);
}

/// Divides the quotas by the highest number of members that this host or a live
/// one knows of. An added member takes no part of them before the others count
/// it, or had the time to.
void SessionEngine::updateQuotaShares(TimePoint Now) {
  std::size_t Members = std::max<std::size_t>(1, ListedMembers_);
  bool Counted = true;
  for (const auto &[Name, Peer] : Hosts_.peers()) {
    if (!Hosts_.isListed(Name) || !Hosts_.isLive(Name, Now))
      continue;
    Members = std::max<std::size_t>(Members, Peer.Members);
    Counted &= Peer.Members >= ListedMembers_;
  }
  if (AddedAsMemberAt_ &&
      (Counted || Now - *AddedAsMemberAt_ >= AddedMemberDelay))
    AddedAsMemberAt_.reset();
  bool HasPart = Member_ && ListedMembers_ > 0 && !AddedAsMemberAt_;
  Admission_.ledger().setMembers(HasPart ? Members : 0, Now);
}

bool SessionEngine::applyConfiguration(SessionConfiguration Configuration,
                                       TimePoint Now) {
  if (Configuration.Version <= Proxy_.configuration().Version)
    return false;
  for (const auto &[Group, Settings] : Configuration.Groups) {
    Promotions_.setSynchronousReplicas(Group, Settings.SynchronousReplicas);
    Runner_.pool().setCap(Group, Settings.ConnectionCap);
  }
  Admission_.ledger().configure(Configuration.Accounts, Now);
  Proxy_.applyConfiguration(std::move(Configuration), Now);
  Relayed_.announceConfiguration();
  return true;
}

/// A configuration is fetched from a host that has it rather than from the
/// store: it is large, and many hosts need it at the same time. While one is on
/// its way over a slow link it is not requested again, which would make the
/// link slower still.
void SessionEngine::onConfigurationSeen(const HostName &Host,
                                        std::uint64_t Version, TimePoint Now) {
  Milliseconds Interval = Router_.awaitsConfiguration()
                              ? ConfigurationTransferTimeout
                              : ConfigurationAskInterval;
  if (Version <= Proxy_.configuration().Version ||
      Now - ConfigurationAskedAt_ < Interval)
    return;
  ConfigurationAskedAt_ = Now;
  Router_.awaitConfiguration(Host);
  Hooks_.AskHost(Host, ConfigurationRequest{});
}

/// The store may be unavailable to a single host for a long time. A member that
/// kept an old configuration would pass it on to the hosts that relay to it.
void SessionEngine::askForConfiguration(TimePoint Now) {
  for (const auto &[Name, Peer] : Hosts_.peers())
    if (Hosts_.isLive(Name, Now))
      onConfigurationSeen(Name, Peer.ConfigurationVersion, Now);
}

void SessionEngine::onRelayAnswer(const HostName &Host,
                                  const RelayMessage &Message, TimePoint Now) {
  Router_.onReceived(Host, Message, Now);
  if (const auto *Grant = std::get_if<QuotaGrant>(&Message))
    Admission_.onGrant(Host, *Grant, Now);
  const auto *Received = std::get_if<SessionConfiguration>(&Message);
  if (!Received)
    return;
  Router_.onConfigurationReceived();
  if (!applyConfiguration(*Received, Now))
    return;
  // A later version may be requested without waiting for the interval.
  ConfigurationAskedAt_ = TimePoint{};
  Hooks_.ConfigurationReceived(Host);
}

void SessionEngine::applyDatabases(std::vector<DatabaseListing> Listed,
                                   StoreRevision Revision, TimePoint Now) {
  for (const DatabaseListing &Known : Listed_) {
    bool StillListed =
        std::any_of(Listed.begin(), Listed.end(),
                    [&](const auto &L) { return L.Id == Known.Id; });
    if (!StillListed)
      Missing_.try_emplace(Known.Id, Known, Now);
  }
  for (const DatabaseListing &Present : Listed)
    Missing_.erase(Present.Id);
  Listed_ = std::move(Listed);
  ListRevision_ = Revision;
  updateDatabaseTable(Now);
}

void SessionEngine::updateDatabaseTable(TimePoint Now) {
  std::vector<DatabaseListing> All = Listed_;
  for (const auto &[Id, Entry] : Missing_)
    All.push_back(Entry.first);
  DatabaseTable::Change Changed = Table_.apply(All);
  for (const DatabaseId &Removed : Changed.Removed)
    Runner_.pool().closeIdleConnections(Removed);
  for (const DatabaseId &Restarted : Changed.Restarted)
    Runner_.pool().closeIdleConnections(Restarted);
  for (const GroupId &Group : Changed.Groups)
    Runner_.startWaiting(Group, Now);
}

void SessionEngine::updateLeadership(const LeadershipRecord &Record,
                                     TimePoint Moment, TimePoint Now) {
  std::optional<TimePoint> Before = Authority_.confirmedAt(Record.Group);
  bool Changed = Authority_.confirm(Record, Moment);
  if (Changed) {
    Hooks_.LeadershipChanged(Record);
    Runner_.onLeaderChanged(Record.Group, Now);
    return;
  }
  bool WasOutdated = !Before || Now - *Before > LeadershipValidity / 2;
  if (WasOutdated)
    Runner_.startWaiting(Record.Group, Now);
}

void SessionEngine::applyRecords(const std::vector<LeadershipRecord> &Records,
                                 TimePoint Moment, TimePoint Now,
                                 std::uint64_t Era) {
  for (const LeadershipRecord &Record : Records)
    if (!Record.isRestored())
      updateLeadership(Record, Moment, Now);
  Promotions_.onRecordsListed(Records, Era, Now);
}

void SessionEngine::onRecordWritten(const GroupId &Group, WriteOutcome Outcome,
                                    const LeadershipRecord &Current,
                                    TimePoint Now) {
  bool Changed = Authority_.recordOf(Group) == nullptr ||
                 Authority_.recordOf(Group)->Revision < Current.Revision;
  Promotions_.onWritten(Group, Outcome, Current, Now);
  if (!Changed || Outcome != WriteOutcome::Written)
    return;
  Hooks_.LeadershipChanged(Current);
  Runner_.onLeaderChanged(Group, Now);
}

void SessionEngine::onReport(const DatabaseId &Database,
                             const std::optional<DatabaseReport> &Report,
                             TimePoint BegunAt, TimePoint Now) {
  Promotions_.onReport(Database, Report, BegunAt, Now);
  if (!Report)
    return;
  std::optional<TimePoint> Moment =
      Check_.onReport(Database, *Report, BegunAt, Now);
  const DatabaseInfo *Info = Table_.find(Database);
  if (!Moment || !Info)
    return;
  LeadershipRecord Record = *Authority_.recordOf(Info->Listing.Group);
  updateLeadership(Record, *Moment, Now);
}

void SessionEngine::setReachesStore(bool Reaches, TimePoint Now) {
  ReachesStore_ = Reaches;
  if (!Reaches)
    StoreReachedSince_.reset();
  else if (!StoreReachedSince_)
    StoreReachedSince_ = Now;
  Promotions_.setStoreReachedSince(StoreReachedSince_);
}

void SessionEngine::applyHosts(const std::map<HostName, ListedHost> &Listed,
                               TimePoint BegunAt) {
  Hosts_.applyListed(Listed, BegunAt);
}

void SessionEngine::onProbed(const DatabaseId &Database, bool Answered,
                             TimePoint BegunAt, TimePoint Now) {
  if (Answered) {
    Table_.onAnswer(Database, std::nullopt, BegunAt);
    return;
  }
  std::map<DatabaseId, TimePoint> Unanswered = Runner_.unansweredSince();
  auto Found = Unanswered.find(Database);
  Table_.onProbeFailed(
      Database, Found == Unanswered.end() ? BegunAt : Found->second, Now);
}

static StoreRevision followedRevision(const HostTable::Peer &Peer,
                                      const GroupId &Group) {
  auto Found = Peer.RecordRevisions.find(Group);
  return Found == Peer.RecordRevisions.end() ? StoreRevision() : Found->second;
}

HostObservation
SessionEngine::withUnchangedRecords(HostObservation Message) const {
  for (GroupObservation &Seen : Message.Groups) {
    const LeadershipRecord *Own = Authority_.recordOf(Seen.Record.Group);
    if (Seen.Unchanged && Own && Own->Revision == Seen.Record.Revision)
      Seen.Record = *Own;
  }
  // Records that can't be filled in were left out because a former process of
  // this host had them.
  std::erase_if(Message.Groups, [](const GroupObservation &Seen) {
    return Seen.Record.Leader.empty();
  });
  return Message;
}

HostObservation SessionEngine::observationFor(const HostName &Peer,
                                              TimePoint Now) const {
  HostObservation Message;
  Message.Host = Hosts_.self();
  Message.Incarnation = Hosts_.incarnation();
  Message.Address = Location_.Address;
  Message.Region = Location_.Region;
  Message.Leaving = Leaving_;
  Message.ReachesStore = ReachesStore_;
  Message.ConfigurationVersion = Proxy_.configuration().Version;
  if (Freshness_.isBounded())
    Message.ConfigurationAge =
        Freshness_.ageOf(Message.ConfigurationVersion, Now);
  Message.Members = static_cast<std::uint32_t>(ListedMembers_);
  Message.DatabaseListRevision = ListRevision_;
  Message.SentAt = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          Now.time_since_epoch())
          .count());
  Message.Lease = Promotions_.lease().lease();
  auto Known = Hosts_.peers().find(Peer);
  if (Known != Hosts_.peers().end()) {
    Message.EchoIncarnation = Known->second.Incarnation;
    Message.EchoSentAt = Known->second.SentAt;
  }
  for (const auto &[Group, Record] : Authority_.records()) {
    GroupObservation Seen;
    Seen.Record = Record;
    Seen.Unchanged = Known != Hosts_.peers().end() &&
                     followedRevision(Known->second, Group) == Record.Revision;
    if (std::optional<TimePoint> At = Authority_.confirmedAt(Group))
      Seen.ConfirmedAge = ageOf(*At, Now);
    const PositionHistory *History = Runner_.placement().historyOf(Group);
    if (History && History->latest()) {
      Seen.LeaderLog = History->latest()->first;
      Seen.LeaderLogAge = ageOf(History->latest()->second, Now);
    }
    const DatabaseInfo *Leader = Table_.find(Record.Leader);
    if (Leader && Leader->LastAnsweredStart)
      Seen.LeaderAnsweredAge = ageOf(*Leader->LastAnsweredStart, Now);
    Message.Groups.push_back(std::move(Seen));
  }
  return Message;
}

void SessionEngine::onObservation(const HostObservation &Received,
                                  TimePoint Now) {
  HostObservation Message = withUnchangedRecords(Received);
  std::optional<TimePoint> SentAfter = Hosts_.onMessage(Message, Now);
  Promotions_.lease().onRead(Message.Lease, Now);
  Runner_.pool().setHosts(Hosts_.connectionHolders(Now));
  if (!SentAfter)
    return;
  if (Message.ConfigurationAge)
    Freshness_.confirm(Message.ConfigurationVersion,
                       *SentAfter - *Message.ConfigurationAge);
  for (const GroupObservation &Seen : Message.Groups) {
    if (!Seen.ConfirmedAge)
      continue;
    updateLeadership(Seen.Record, *SentAfter - *Seen.ConfirmedAge, Now);
    const LeadershipRecord *Current = Authority_.recordOf(Seen.Record.Group);
    bool SameLeader = Current && Current->Revision == Seen.Record.Revision &&
                      Current->Phase == LeadershipPhase::Settled;
    if (Seen.LeaderLog && SameLeader)
      Runner_.placement().onLeaderPosition(Seen.Record.Group, *Seen.LeaderLog,
                                           *SentAfter - Seen.LeaderLogAge);
  }
}

void SessionEngine::probeUnresponsiveDatabases(TimePoint Now) {
  for (const auto &[Database, Since] : Runner_.unansweredSince()) {
    if (Now - Since < ProbeDelay)
      continue;
    TimePoint &Probed = ProbedAt_[Database];
    if (Now - Probed < ProbeInterval)
      continue;
    Probed = Now;
    if (const DatabaseInfo *Info = Table_.find(Database))
      Hooks_.Probe(Info->Listing);
  }
}

void SessionEngine::tick(TimePoint Now) {
  std::size_t Before = Missing_.size();
  std::erase_if(Missing_, [&](const auto &Entry) {
    return Now - Entry.second.second > MissingRetention;
  });
  if (Missing_.size() != Before)
    updateDatabaseTable(Now);
  Runner_.pool().setHosts(Hosts_.connectionHolders(Now));
  probeUnresponsiveDatabases(Now);
  updateQuotaShares(Now);
  Admission_.tick(Now);
  Runner_.tick(Now);
  Relayed_.tick(Now);
  Router_.tick(Now);
  Proxy_.tick(Now);
  for (const GroupId &Group : Table_.groups()) {
    const PositionHistory *History = Runner_.placement().historyOf(Group);
    if (History && History->latest())
      Promotions_.onLeaderPosition(Group, History->latest()->first);
  }
  Promotions_.tick(Now);
  Check_.tick(Now);
}

} // namespace nutmegloom
