#include "sessions/statementrouter.h"

#include "core/rendezvous.h"
#include "sessions/relayedsessions.h"

#include <algorithm>
#include <tuple>

namespace nutmegloom {

namespace {

/// Marks a connection id that stands for a transaction at another host; the
/// other bits are the session's id.
constexpr ConnectionId RemoteBit = ConnectionId{1} << 63;
constexpr std::uint32_t MaximumTries = 3;
/// A host counts as reaching a leader for this long after the leader's answer.
constexpr Milliseconds LeaderAnswerAge{700};
/// Statements are relayed when this host has failed to reach the leader for
/// this long.
constexpr Milliseconds LeaderFailureAge{100};
/// Time for the other host's answer to arrive after the statement's deadline.
constexpr Milliseconds AnswerGracePeriod{30};
constexpr Milliseconds NoHostRetry{500};
/// Interval of pings to a host on which sessions depend, and to the nearest
/// host, whose answers contain its configuration version.
constexpr Milliseconds BusyPingInterval{250};
constexpr Milliseconds IdlePingInterval{1000};
/// Interval of pings to a host whose connection was lost.
constexpr Milliseconds LostPingInterval{500};
constexpr Milliseconds PingTimeout{700};
/// How long no new statements are relayed to a host that is stopping: the
/// longest time that stopping takes.
constexpr Milliseconds LeavingAvoidance{6000};
/// Interval of pings that ask a member for the age of its configuration, beside
/// those that check a connection.
constexpr Milliseconds ConfirmationInterval{800};
constexpr Milliseconds FirstConfirmationInterval{50};
/// Unanswered pings that are remembered for each host.
constexpr std::size_t MaximumPings = 16;

ConnectionId remotePin(CallerSessionId Session) { return RemoteBit | Session; }

bool isRemote(ConnectionId Pinned) { return (Pinned & RemoteBit) != 0; }

/// True for a session that a caller has open at this host.
bool isOwn(CallerSessionId Session) {
  return !RelayedSessions::isRelayed(Session);
}

} // namespace

StatementRouter::StatementRouter(StatementRunner &Runner,
                                 QuotaAdmission &Admission,
                                 const DatabaseTable &Table,
                                 const LeaderAuthority &Authority,
                                 const HostTable &Hosts, Hooks Callbacks)
    : Runner_(Runner), Admission_(Admission), Table_(Table),
      Authority_(Authority), Hosts_(Hosts), Hooks_(std::move(Callbacks)) {}

void StatementRouter::setLocation(ZoneName Zone, RegionName Region) {
  Zone_ = std::move(Zone);
  Region_ = std::move(Region);
}

void StatementRouter::submit(StatementWork Work, TimePoint Now) {
  if (Work.Pinned && isRemote(*Work.Pinned)) {
    HostName Host = Transactions_.at(Work.Session);
    relay(std::move(Work), Host, MaximumTries, Now);
    return;
  }
  if (Work.Pinned) {
    Runner_.submit(std::move(Work), Now);
    return;
  }
  route(std::move(Work), 1, Now);
}

void StatementRouter::route(StatementWork Work, std::uint32_t Tries,
                            TimePoint Now) {
  if (std::optional<HostName> Host = hostFor(Work, Now))
    relay(std::move(Work), *Host, Tries, Now);
  else if (!ServesDatabases_)
    refuse(Work, Now);
  else if (Work.Admitted)
    run(std::move(Work), Tries, Now);
  else
    Admission_.submit(std::move(Work), Now);
}

void StatementRouter::onAdmitted(StatementWork Work, TimePoint Now) {
  run(std::move(Work), 1, Now);
}

/// Runs an admitted statement here, or at a host that reaches the leader if
/// this one does not.
void StatementRouter::run(StatementWork Work, std::uint32_t Tries,
                          TimePoint Now) {
  std::optional<HostName> Host;
  if (!Runner_.hasCandidateFor(Work, Now))
    Host = hostReachingLeader(Work.Group, Now);
  if (Host)
    relay(std::move(Work), *Host, Tries, Now);
  else
    Runner_.submit(std::move(Work), Now);
}

void StatementRouter::setServesDatabases(bool Serves, TimePoint Now) {
  ServesDatabases_ = Serves;
  if (Serves)
    return;
  for (const GroupId &Group : Runner_.waitingGroups())
    for (StatementWork &Work :
         Runner_.takeStatementsWithoutCandidate(Group, isOwn, Now))
      route(std::move(Work), 1, Now);
}

std::optional<HostName> StatementRouter::hostFor(const StatementWork &Work,
                                                 TimePoint Now) const {
  if (!Work.Account.empty() && !Work.Admitted)
    return memberFor(Work.Account, Now);
  return ServesDatabases_ ? std::nullopt : nearestMember(Now);
}

/// Statements of an account run at one member of each region, as a connection
/// to a database serves one account only. A member's loss moves its accounts
/// and no others. Returns nothing if that member is this host. Members send
/// messages to members only, so a relaying host learns of a lost one by its
/// connection.
std::optional<HostName> StatementRouter::memberFor(const AccountName &Account,
                                                   TimePoint Now) const {
  std::vector<HostName> Members;
  for (const auto &[Name, Peer] : Hosts_.peers())
    if (Peer.Region == Region_ && Hosts_.isMember(Name, Now) &&
        (!ServesDatabases_ || Hosts_.isLive(Name, Now)) && !Peer.Leaving &&
        !isAvoided(Name, Now))
      Members.push_back(Name);
  if (ServesDatabases_)
    Members.push_back(Hosts_.self());
  if (Members.empty())
    return nearestMember(Now);
  HostName Chosen = rankHosts(Account, Members).front();
  if (Chosen == Hosts_.self())
    return std::nullopt;
  return Chosen;
}

bool StatementRouter::isAvoided(const HostName &Host, TimePoint Now) const {
  auto Found = Health_.find(Host);
  return Found != Health_.end() &&
         (Found->second.Lost || Now < Found->second.AvoidUntil);
}

Distance StatementRouter::distanceTo(const HostTable::Peer &Peer) const {
  if (Peer.Zone == Zone_)
    return Distance::SameZone;
  return Peer.Region == Region_ ? Distance::SameRegion : Distance::OtherRegion;
}

/// The nearest available member with the fewest statements relayed from this
/// host. Hosts prefer different ones among equals, since all of them would
/// otherwise connect to the same one at the same time.
std::optional<HostName> StatementRouter::nearestMember(TimePoint Now) const {
  std::vector<HostName> Best;
  std::tuple<Distance, std::size_t> Least;
  for (const auto &[Name, Peer] : Hosts_.peers()) {
    if (!Hosts_.isMember(Name, Now) || Peer.Leaving || isAvoided(Name, Now))
      continue;
    auto Load = Load_.find(Name);
    std::tuple<Distance, std::size_t> Cost{
        distanceTo(Peer), Load == Load_.end() ? 0 : Load->second};
    if (!Best.empty() && Cost > Least)
      continue;
    if (Cost < Least)
      Best.clear();
    Best.push_back(Name);
    Least = Cost;
  }
  if (Best.empty())
    return std::nullopt;
  return Best.size() == 1 ? Best.front()
                          : rankHosts(Hosts_.self(), Best).front();
}

/// The nearest host that the group's leader has answered lately, if the leader
/// does not answer this host; nothing otherwise.
std::optional<HostName>
StatementRouter::hostReachingLeader(const GroupId &Group, TimePoint Now) const {
  const LeadershipRecord *Record = Authority_.recordOf(Group);
  if (!Record || Record->Phase != LeadershipPhase::Settled)
    return std::nullopt;
  const DatabaseInfo *Leader = Table_.find(Record->Leader);
  bool Fails = Leader && Leader->FailingSince &&
               Now - *Leader->FailingSince >= LeaderFailureAge;
  if (!Fails)
    return std::nullopt;
  std::optional<HostName> Best;
  Distance Least = Distance::OtherRegion;
  for (const auto &[Name, Peer] : Hosts_.peers()) {
    auto Answered = Peer.LeaderAnswered.find(Record->Leader);
    bool Reaches = Answered != Peer.LeaderAnswered.end() &&
                   Now - Answered->second <= LeaderAnswerAge;
    if (!Reaches || !Hosts_.isLive(Name, Now) || Peer.Leaving ||
        isAvoided(Name, Now))
      continue;
    if (Best && distanceTo(Peer) >= Least)
      continue;
    Best = Name;
    Least = distanceTo(Peer);
  }
  return Best;
}

void StatementRouter::relay(StatementWork Work, const HostName &Host,
                            std::uint32_t Tries, TimePoint Now) {
  auto Known = Hosts_.peers().find(Host);
  Distance HostDistance = Known == Hosts_.peers().end()
                              ? Distance::OtherRegion
                              : distanceTo(Known->second);
  auto RemainingTime = std::chrono::floor<Milliseconds>(Work.Deadline - Now);
  RelayedStatement Message;
  Message.Work = Work;
  Message.TimeLeft = RemainingTime - roundTripOf(HostDistance);
  Message.InOpenTransaction = Work.Pinned.has_value();
  Message.Number = ++LastNumber_;
  CallerSessionId Session = Work.Session;
  ++Load_[Host];
  RelayedStatements_[Session] = {std::move(Work), Host, Tries, Message.Number};
  // The entry makes checkLinks ping the host.
  Health_.try_emplace(Host);
  Hooks_.Send(Host, Message);
}

/// Answers Busy, because no host that could run the statement is known.
void StatementRouter::refuse(const StatementWork &Work, TimePoint Now) {
  StatementResult Result;
  Result.Answer.Code = StatementCode::Busy;
  Result.Answer.Detail = "no host reaches the databases, not run";
  Result.RetryAfter = NoHostRetry;
  Hooks_.Finished(Work.Session, std::move(Result), Now);
}

void StatementRouter::cancel(CallerSessionId Session,
                             std::optional<ConnectionId> Pinned,
                             TimePoint Now) {
  Admission_.cancel(Session);
  auto Work = RelayedStatements_.find(Session);
  auto Open = Transactions_.find(Session);
  if (Work == RelayedStatements_.end() && Open == Transactions_.end()) {
    Runner_.cancel(Session, Pinned, Now);
    return;
  }
  HostName Host =
      Work != RelayedStatements_.end() ? Work->second.Host : Open->second;
  if (Work != RelayedStatements_.end()) {
    --Load_[Host];
    RelayedStatements_.erase(Work);
  }
  Transactions_.erase(Session);
  Hooks_.Send(Host, RelayedCancel{Session});
}

void StatementRouter::rollBack(ConnectionId Pinned, TimePoint Now) {
  if (!isRemote(Pinned)) {
    Runner_.rollBack(Pinned, Now);
    return;
  }
  CallerSessionId Session = Pinned & ~RemoteBit;
  auto Open = Transactions_.find(Session);
  if (Open == Transactions_.end())
    return;
  HostName Host = Open->second;
  Transactions_.erase(Open);
  Hooks_.Send(Host, RelayedCancel{Session});
}

void StatementRouter::onPong(const HostName &Host, Health &Known,
                             const RelayPong &Message, TimePoint Now) {
  // The other host's age is from a time after the ping was sent.
  auto Answered = Known.Pings.find(Message.PingNumber);
  if (Answered != Known.Pings.end()) {
    if (Message.ConfigurationAge)
      Hooks_.ConfigurationConfirmed(Message.ConfigurationVersion,
                                    Answered->second -
                                        *Message.ConfigurationAge);
    Known.Pings.erase(Known.Pings.begin(), std::next(Answered));
  }
  Hooks_.ConfigurationSeen(Host, Message.ConfigurationVersion, Now);
  if (Message.Leaving)
    Known.AvoidUntil = Now + LeavingAvoidance;
}

void StatementRouter::onReceived(const HostName &Host,
                                 const RelayMessage &Message, TimePoint Now) {
  Health &Known = Health_[Host];
  Known.Lost = false;
  Known.HeardAt = Now;
  Known.AwaitsAnswer = false;
  if (const auto *Pong = std::get_if<RelayPong>(&Message))
    onPong(Host, Known, *Pong, Now);
  if (const auto *Ended = std::get_if<RelayedResult>(&Message)) {
    onResult(Host, *Ended, Now);
    return;
  }
  const auto *Lost = std::get_if<RelayedTransactionLoss>(&Message);
  if (!Lost)
    return;
  auto Open = Transactions_.find(Lost->Session);
  if (Open == Transactions_.end() || Open->second != Host)
    return;
  Transactions_.erase(Open);
  Hooks_.TransactionLost(Lost->Session);
}

void StatementRouter::onResult(const HostName &Host,
                               const RelayedResult &Message, TimePoint Now) {
  auto Found = RelayedStatements_.find(Message.Session);
  // The statement was cancelled.
  if (Found == RelayedStatements_.end() ||
      Found->second.Number != Message.Number)
    return;
  --Load_[Host];
  RelayedStatements_.erase(Found);
  StatementResult Result = Message.Result;
  Result.Via = Host;
  Result.Pinned.reset();
  Transactions_.erase(Message.Session);
  if (Message.InTransaction) {
    Transactions_[Message.Session] = Host;
    Result.Pinned = remotePin(Message.Session);
  }
  Hooks_.Finished(Message.Session, std::move(Result), Now);
}

void StatementRouter::onLinkLost(const HostName &Host, bool WasOpen,
                                 TimePoint Now) {
  if (ConfigurationSource_ == Host)
    ConfigurationSource_.reset();
  Health &Known = Health_[Host];
  if (!Known.Lost)
    Known.LostAt = Now;
  Known.Lost = true;
  Known.AwaitsAnswer = false;
  Known.Pings.clear();
  std::vector<CallerSessionId> Idle;
  for (const auto &[Session, At] : Transactions_)
    if (At == Host && !RelayedStatements_.contains(Session))
      Idle.push_back(Session);
  std::vector<Relayed> Lost;
  for (const auto &[Session, Task] : RelayedStatements_)
    if (Task.Host == Host)
      Lost.push_back(Task);
  std::erase_if(Transactions_,
                [&](const auto &Entry) { return Entry.second == Host; });
  for (const Relayed &Task : Lost)
    RelayedStatements_.erase(Task.Work.Session);
  Load_.erase(Host);
  for (CallerSessionId Session : Idle)
    Hooks_.TransactionLost(Session);
  for (Relayed &Task : Lost)
    resolveLost(std::move(Task), WasOpen, Now);
}

/// Handles the loss of the connection on which a statement was relayed. It may
/// run again if it was not sent, if it is a read, or if it is the first
/// statement of a transaction, which the other host rolls back. Any other
/// statement may have run.
void StatementRouter::resolveLost(Relayed Lost, bool WasSent, TimePoint Now) {
  const StatementWork &Work = Lost.Work;
  bool MayRepeat = Work.Repeatable || (Work.Opens && !Work.EndsTransaction) ||
                   (!WasSent && !Work.Pinned);
  if (MayRepeat && Lost.Tries < MaximumTries && Now < Work.Deadline) {
    route(std::move(Lost.Work), Lost.Tries + 1, Now);
    return;
  }
  if (!WasSent && !Work.Pinned) {
    refuse(Work, Now);
    return;
  }
  finish(Lost, codeOfUnanswered(Work), "the connection to the host was lost",
         Now);
}

void StatementRouter::finish(const Relayed &Ended, StatementCode Code,
                             std::string Detail, TimePoint Now) {
  StatementResult Result;
  Result.Answer.Code = Code;
  Result.Answer.Detail = std::move(Detail);
  Result.Via = Ended.Host;
  Hooks_.Finished(Ended.Work.Session, std::move(Result), Now);
}

/// Relays queued statements that wait for a leader which other hosts reach.
void StatementRouter::relayWaiting(TimePoint Now) {
  for (const GroupId &Group : Runner_.waitingGroups()) {
    std::optional<HostName> Host = hostReachingLeader(Group, Now);
    if (!Host)
      continue;
    for (StatementWork &Work :
         Runner_.takeStatementsWithoutCandidate(Group, isOwn, Now))
      relay(std::move(Work), *Host, 1, Now);
  }
}

/// Sends pings, since a connection may stop delivering without being reset.
void StatementRouter::checkLinks(TimePoint Now) {
  std::map<HostName, Milliseconds> Needed;
  if (!ServesDatabases_)
    if (std::optional<HostName> Nearest = nearestMember(Now)) {
      Needed[*Nearest] = IdlePingInterval;
      Milliseconds Interval = AwaitsConfirmation_ ? FirstConfirmationInterval
                                                  : ConfirmationInterval;
      if (ConfirmsConfiguration_ && Now - ConfirmationAskedAt_ >= Interval)
        ping(*Nearest, Health_[*Nearest], Now);
    }
  for (const auto &[Host, Known] : Health_) {
    if (dependsOn(Host))
      Needed[Host] = BusyPingInterval;
    else if (Known.Lost && Hosts_.isListed(Host))
      Needed[Host] = LostPingInterval;
  }
  if (ConfigurationSource_)
    Needed[*ConfigurationSource_] = BusyPingInterval;
  std::vector<HostName> Unresponsive;
  for (const auto &[Host, Interval] : Needed) {
    Health &Known = Health_[Host];
    TimePoint ActiveAt = std::max(Known.HeardAt, Known.PingedAt);
    if (Known.AwaitsAnswer && Now - ActiveAt > PingTimeout) {
      Unresponsive.push_back(Host);
      continue;
    }
    if (Known.AwaitsAnswer || Now - ActiveAt < Interval)
      continue;
    ping(Host, Known, Now);
  }
  for (const HostName &Host : Unresponsive) {
    Hooks_.Close(Host);
    onLinkLost(Host, true, Now);
  }
}

void StatementRouter::ping(const HostName &Host, Health &Known, TimePoint Now) {
  Known.AwaitsAnswer = true;
  Known.PingedAt = Now;
  RelayPing Message;
  if (ConfirmsConfiguration_) {
    ConfirmationAskedAt_ = Now;
    Message.Number = ++LastPing_;
    Known.Pings[Message.Number] = Now;
    if (Known.Pings.size() > MaximumPings)
      Known.Pings.erase(Known.Pings.begin());
  }
  Hooks_.Send(Host, Message);
}

std::optional<Milliseconds>
StatementRouter::unreachableFor(const HostName &Host, TimePoint Now) const {
  auto Found = Health_.find(Host);
  if (Found == Health_.end() || !Found->second.Lost)
    return std::nullopt;
  return std::chrono::floor<Milliseconds>(Now - Found->second.LostAt);
}

void StatementRouter::tick(TimePoint Now) {
  if (ServesDatabases_)
    relayWaiting(Now);
  checkLinks(Now);
  expireOverdue(Now);
}

void StatementRouter::expireOverdue(TimePoint Now) {
  std::vector<Relayed> Late;
  for (const auto &[Session, Task] : RelayedStatements_)
    if (Now >= Task.Work.Deadline + AnswerGracePeriod)
      Late.push_back(Task);
  for (const Relayed &Task : Late)
    expire(Task, Now);
}

void StatementRouter::expire(const Relayed &Task, TimePoint Now) {
  --Load_[Task.Host];
  RelayedStatements_.erase(Task.Work.Session);
  Transactions_.erase(Task.Work.Session);
  Hooks_.Send(Task.Host, RelayedCancel{Task.Work.Session});
  finish(Task, codeOfUnanswered(Task.Work), "no answer in time", Now);
}

void StatementRouter::endStatements(TimePoint Now) {
  std::vector<Relayed> Unanswered;
  for (const auto &[Session, Task] : RelayedStatements_)
    Unanswered.push_back(Task);
  for (const Relayed &Task : Unanswered)
    expire(Task, Now);
  Admission_.refuseAll(Now);
  Runner_.endStatements(Now);
}

bool StatementRouter::dependsOn(const HostName &Host) const {
  auto Load = Load_.find(Host);
  if (Load != Load_.end() && Load->second > 0)
    return true;
  return std::any_of(Transactions_.begin(), Transactions_.end(),
                     [&](const auto &Entry) { return Entry.second == Host; });
}

} // namespace nutmegloom
