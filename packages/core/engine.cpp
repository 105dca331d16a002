#include "core/engine.h"

#include "core/entrysystem.h"
#include "core/ownersystem.h"

#include <algorithm>

namespace nutmegloom {

/// How often the systems outside the request path run without input.
static constexpr Milliseconds ControlInterval{5};
/// How often this host checks which groups are still in use.
static constexpr Milliseconds ActivityInterval{1000};
/// A group stays active for this long after its last task.
static constexpr Milliseconds ActivityTimeout{60000};

/// First exchange identifier of a process. The exchanges of two processes
/// begin at unrelated numbers of 64 bits, so that one of them doesn't take an
/// exchange of the other, listed in a status, for its own.
static ExchangeId firstExchangeOf(const PeerHeartbeat &Self) {
  // FNV-1a, which is the same on all platforms.
  std::uint64_t Hash = 14695981039346656037ULL;
  for (const char Each : Self.Host + "/" + Self.Incarnation) {
    Hash ^= static_cast<unsigned char>(Each);
    Hash *= 1099511628211ULL;
  }
  return Hash | 1;
}

struct Engine::State {
  State(PeerHeartbeat Host, EngineHooks Functions)
      : Self(std::move(Host)), Functions(std::move(Functions)),
        Ownership(Data, Self.Host), Terms(Data, Limits),
        Membership(Data, Limits, Self, this->Functions.Membership),
        Configuration(Data, Limits, Self.Host, Self.Zone,
                      this->Functions.Configuration),
        Failover(Data, Limits, Ownership, Self.Host + "/" + Self.Incarnation,
                 this->Functions.Failover),
        Owner(Data, Limits, Ownership, Terms, Self, firstExchangeOf(Self),
              Counters, ownerHooks()),
        Entry(Data, Limits, Ownership, Self, Counters, entryHooks()) {}

  OwnerSystem::Hooks ownerHooks();
  EntrySystem::Hooks entryHooks();
  void reviewActivity(TimePoint Now);
  void removeUnused();

  PeerHeartbeat Self;
  EngineHooks Functions;
  Tables Data;
  Policy Limits;
  EngineCounters Counters;
  OwnershipSystem Ownership;
  TermCheck Terms;
  MembershipSystem Membership;
  ConfigurationSystem Configuration;
  FailoverSystem Failover;
  OwnerSystem Owner;
  EntrySystem Entry;
  /// Groups that the deployment no longer names.
  std::set<GroupId> Removed;
  std::optional<TimePoint> NextReview;
  /// The systems that are not part of the request path run when they had input
  /// and at intervals, because tick is called after each batch of requests.
  std::optional<TimePoint> NextControl;
  bool ControlDue = true;
  TimePoint Now;
};

OwnerSystem::Hooks Engine::State::ownerHooks() {
  OwnerSystem::Hooks Hooks;
  Hooks.Answer = [this](TaskId Task, const CallerAnswer &Answer) {
    if (EntrySystem::isAttempt(Task))
      Entry.onAnswer(Task, Answer, Now);
    else
      Functions.Answer(Task, Answer);
  };
  Hooks.Databases.Connections.Open = Functions.OpenConnection;
  Hooks.Databases.Connections.Close = Functions.CloseConnection;
  Hooks.Databases.Send = Functions.SendToDatabase;
  Hooks.NewIdentifier = Functions.NewIdentifier;
  return Hooks;
}

EntrySystem::Hooks Engine::State::entryHooks() {
  EntrySystem::Hooks Hooks;
  Hooks.Answer = Functions.Answer;
  Hooks.Forward = Functions.Forward;
  Hooks.Submit = [this](TaskId Task, const CallerRequest &Request,
                        TimePoint At) { Owner.submit(Task, Request, At); };
  Hooks.Cancel = [this](TaskId Task, TimePoint At) { Owner.cancel(Task, At); };
  Hooks.NewIdentifier = Functions.NewIdentifier;
  Hooks.Random = Functions.Failover.Random;
  return Hooks;
}

Engine::Engine(PeerHeartbeat Self, EngineHooks Hooks)
    : State_(std::make_unique<State>(std::move(Self), std::move(Hooks))) {}

Engine::~Engine() = default;

void Engine::submit(TaskId Task, const CallerRequest &Request, TimePoint Now) {
  State_->Now = Now;
  State_->Entry.submit(Task, Request, Now);
}

void Engine::submitForwarded(TaskId Task, const CallerRequest &Request,
                             TimePoint Now) {
  State_->Now = Now;
  State_->Owner.submit(Task, Request, Now);
}

void Engine::cancel(TaskId Task, TimePoint Now) {
  State_->Now = Now;
  if (!State_->Entry.cancel(Task, Now))
    State_->Owner.cancel(Task, Now);
}

void Engine::onForwardAnswer(TaskId Task, const CallerAnswer &Answer,
                             TimePoint Now) {
  State_->Now = Now;
  State_->Entry.onAnswer(Task, Answer, Now);
}

void Engine::onForwardFailed(TaskId Task, bool Sent, TimePoint Now) {
  State_->Now = Now;
  State_->Entry.onForwardFailed(Task, Sent, Now);
}

void Engine::onConnectionOpened(ConnectionId Connection, TimePoint Now) {
  State_->Now = Now;
  State_->Owner.onConnectionOpened(Connection, Now);
}

void Engine::onConnectionClosed(ConnectionId Connection, TimePoint Now) {
  State_->Now = Now;
  State_->Owner.onConnectionClosed(Connection, Now);
}

void Engine::onDatabaseAnswer(ConnectionId Connection,
                              const DatabaseAnswer &Answer, TimePoint Now) {
  State_->Now = Now;
  State_->Owner.onDatabaseAnswer(Connection, Answer, Now);
}

void Engine::onDatabaseFailure(ConnectionId Connection,
                               const DatabaseFailure &Failure, TimePoint Now) {
  State_->Now = Now;
  State_->Owner.onDatabaseFailure(Connection, Failure, Now);
}

void Engine::onStatus(const DatabaseStatus &Status, TimePoint SentAt,
                      TimePoint Now) {
  State_->ControlDue = true;
  State_->Failover.onStatus(Status, SentAt, Now);
  State_->Owner.onStatus(Status, Now);
}

void Engine::onStatusFailed(const DatabaseId &Database, TimePoint Now) {
  State_->ControlDue = true;
  State_->Failover.onStatusFailed(Database, Now);
}

void Engine::onControlGranted(const ControlRequest &Request,
                              const DatabaseStatus &Status, TimePoint SentAt,
                              TimePoint Now) {
  State_->Failover.onControlGranted(Request, Status, SentAt, Now);
  State_->Owner.onStatus(Status, Now);
  State_->ControlDue = true;
}

void Engine::onControlRefused(const ControlRequest &Request, std::uint64_t Term,
                              TimePoint Now) {
  State_->ControlDue = true;
  State_->Failover.onControlRefused(Request, Term, Now);
}

void Engine::onControlFailed(const ControlRequest &Request, TimePoint Now) {
  State_->ControlDue = true;
  State_->Failover.onControlFailed(Request, Now);
}

MembershipSystem &Engine::membership() {
  // The caller may be about to give it input.
  State_->ControlDue = true;
  return State_->Membership;
}

ConfigurationSystem &Engine::configuration() {
  State_->ControlDue = true;
  return State_->Configuration;
}

const FailoverSystem &Engine::failover() const { return State_->Failover; }
const OwnershipSystem &Engine::ownership() const { return State_->Ownership; }

void Engine::applyConfiguration(const SiteConfiguration &Next, TimePoint Now) {
  State &Own = *State_;
  Own.Limits = Next.Limits;
  Own.Membership.setConfigurationVersion(Next.Version);
  std::set<GroupId> Removed;
  for (const auto &[Id, Group] : Own.Data.Groups)
    Removed.insert(Id);
  for (const DatabaseEntity &Each : Next.Databases) {
    const auto [Known, Inserted] =
        Own.Data.Databases.try_emplace(Each.Id, Each);
    if (Inserted)
      continue;
    // What was learnt of the database stays.
    Known->second.Group = Each.Group;
    Known->second.Zone = Each.Zone;
    Known->second.Region = Each.Region;
    Known->second.ServiceAddress = Each.ServiceAddress;
    Known->second.ControlAddress = Each.ControlAddress;
    Known->second.Slots = Each.Slots;
    Known->second.ConnectionCap = Each.ConnectionCap;
  }
  for (const GroupEntity &Each : Next.Groups) {
    Removed.erase(Each.Id);
    const auto [Known, Inserted] = Own.Data.Groups.try_emplace(Each.Id, Each);
    if (Inserted)
      continue;
    Known->second.Service = Each.Service;
    Known->second.Members = Each.Members;
  }
  for (const GroupId &Id : Removed)
    Own.Owner.onGroupChanged(Id);
  Own.Removed = std::move(Removed);
  Own.removeUnused();
  Own.ControlDue = true;
  Own.NextReview.reset();
  tick(Now);
}

void Engine::State::removeUnused() {
  for (auto Id = Removed.begin(); Id != Removed.end();) {
    if (Owner.isInUse(*Id)) {
      ++Id;
      continue;
    }
    Data.Groups.erase(*Id);
    Id = Removed.erase(Id);
  }
  // Databases are kept while a group names them.
  std::erase_if(Data.Databases, [this](const auto &Entry) {
    const auto Group = Data.Groups.find(Entry.second.Group);
    if (Group == Data.Groups.end())
      return true;
    const std::vector<DatabaseId> &Members = Group->second.Members;
    return std::find(Members.begin(), Members.end(), Entry.first) ==
           Members.end();
  });
}

void Engine::State::reviewActivity(TimePoint At) {
  if (NextReview && At < *NextReview)
    return;
  NextReview = At + ActivityInterval;
  for (auto &[Id, Group] : Data.Groups)
    if (Group.Active && At - Group.LastUsed > ActivityTimeout &&
        !Owner.isInUse(Id))
      Group.Active = false;
  if (!Removed.empty())
    removeUnused();
}

void Engine::tick(TimePoint Now) {
  State &Own = *State_;
  Own.Now = Now;
  if (Own.ControlDue || !Own.NextControl || Now >= *Own.NextControl) {
    Own.ControlDue = false;
    Own.NextControl = Now + ControlInterval;
    Own.Membership.tick(Now);
    Own.Configuration.tick(Now);
    Own.reviewActivity(Now);
    Own.Failover.tick(Now);
  }
  Own.Owner.tick(Now);
  Own.Entry.tick(Now);
}

void Engine::beginDrain(TimePoint Now) {
  State_->Membership.setState(HostState::Leaving);
  State_->Entry.beginDrain();
  State_->Owner.beginDrain();
  tick(Now);
}

bool Engine::isIdle() const {
  return State_->Entry.isIdle() && State_->Owner.isIdle();
}

const Tables &Engine::tables() const { return State_->Data; }
const Policy &Engine::policy() const { return State_->Limits; }
const EngineCounters &Engine::counters() const { return State_->Counters; }
std::size_t Engine::waitingIn(const GroupEntity &Group) const {
  return State_->Owner.waitingIn(Group);
}

} // namespace nutmegloom
