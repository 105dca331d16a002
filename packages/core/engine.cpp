#include "core/engine.h"

#include "core/requestexecutor.h"
#include "core/requestrouter.h"

#include <algorithm>

namespace nutmegloom {

/// Interval at which membership, configuration and failover run without input.
static constexpr Milliseconds ControlInterval{5};
/// Interval at which this host checks which groups are still in use.
static constexpr Milliseconds ActivityInterval{1000};
/// A group stays active for this time after its last request.
static constexpr Milliseconds ActivityTimeout{60000};

/// First exchange identifier of this process. Processes start at unrelated
/// 64-bit numbers, so that none of them mistakes an exchange of another process
/// in the status of a database for its own.
static ExchangeId firstExchangeIdOf(const PeerHeartbeat &Self) {
  // FNV-1a yields the same value on all platforms.
  std::uint64_t Hash = 14695981039346656037ULL;
  for (const char Each : Self.Host + "/" + Self.Incarnation) {
    Hash ^= static_cast<unsigned char>(Each);
    Hash *= 1099511628211ULL;
  }
  return Hash | 1;
}

struct Engine::State {
  State(PeerHeartbeat Host, EngineHooks Callbacks)
      : Self(std::move(Host)), Callbacks(std::move(Callbacks)),
        Ownership(Data, Self.Host), Terms(Data, Limits),
        Membership(Data, Limits, Self, this->Callbacks.Membership),
        Configuration(Data, Limits, Self.Host, Self.Zone,
                      this->Callbacks.Configuration),
        Failover(Data, Limits, Ownership, Self.Host + "/" + Self.Incarnation,
                 this->Callbacks.Failover),
        Executor(Data, Limits, Ownership, Terms, Self, firstExchangeIdOf(Self),
                 Counters, executorHooks()),
        Router(Data, Limits, Ownership, Self, Counters, routerHooks()) {}

  RequestExecutor::Hooks executorHooks();
  RequestRouter::Hooks routerHooks();
  void deactivateIdleGroups(TimePoint Now);
  void removeUnusedGroups();

  PeerHeartbeat Self;
  EngineHooks Callbacks;
  Tables Data;
  Policy Limits;
  EngineCounters Counters;
  OwnershipSystem Ownership;
  TermCheck Terms;
  MembershipSystem Membership;
  ConfigurationSystem Configuration;
  FailoverSystem Failover;
  RequestExecutor Executor;
  RequestRouter Router;
  /// Groups that the configuration no longer contains but that are in use.
  std::set<GroupId> RemovedGroups;
  std::optional<TimePoint> NextActivityCheckAt;
  /// When membership, configuration and failover run next without input. They
  /// do not run at each tick, because tick() is called after each batch of
  /// requests.
  std::optional<TimePoint> NextControlTickAt;
  bool ControlDue = true;
  TimePoint Now;
};

RequestExecutor::Hooks Engine::State::executorHooks() {
  RequestExecutor::Hooks Hooks;
  Hooks.Answer = [this](TaskId Task, const CallerAnswer &Answer) {
    if (RequestRouter::isAttempt(Task))
      Router.onAnswer(Task, Answer, Now);
    else
      Callbacks.Answer(Task, Answer);
  };
  Hooks.Databases.Connections.Open = Callbacks.OpenConnection;
  Hooks.Databases.Connections.Close = Callbacks.CloseConnection;
  Hooks.Databases.Send = Callbacks.SendToDatabase;
  Hooks.NewIdentifier = Callbacks.NewIdentifier;
  return Hooks;
}

RequestRouter::Hooks Engine::State::routerHooks() {
  RequestRouter::Hooks Hooks;
  Hooks.Answer = Callbacks.Answer;
  Hooks.Forward = Callbacks.Forward;
  Hooks.Submit = [this](TaskId Task, const CallerRequest &Request,
                        TimePoint At) { Executor.submit(Task, Request, At); };
  Hooks.Cancel = [this](TaskId Task, TimePoint At) {
    Executor.cancel(Task, At);
  };
  Hooks.NewIdentifier = Callbacks.NewIdentifier;
  Hooks.Random = Callbacks.Failover.Random;
  return Hooks;
}

Engine::Engine(PeerHeartbeat Self, EngineHooks Hooks)
    : State_(std::make_unique<State>(std::move(Self), std::move(Hooks))) {}

Engine::~Engine() = default;

void Engine::submit(TaskId Task, const CallerRequest &Request, TimePoint Now) {
  State_->Now = Now;
  State_->Router.submit(Task, Request, Now);
}

void Engine::submitForwarded(TaskId Task, const CallerRequest &Request,
                             TimePoint Now) {
  State_->Now = Now;
  State_->Executor.submit(Task, Request, Now);
}

void Engine::cancel(TaskId Task, TimePoint Now) {
  State_->Now = Now;
  if (!State_->Router.cancel(Task, Now))
    State_->Executor.cancel(Task, Now);
}

void Engine::onForwardAnswer(TaskId Task, const CallerAnswer &Answer,
                             TimePoint Now) {
  State_->Now = Now;
  State_->Router.onAnswer(Task, Answer, Now);
}

void Engine::onForwardFailed(TaskId Task, bool Sent, TimePoint Now) {
  State_->Now = Now;
  State_->Router.onForwardFailed(Task, Sent, Now);
}

void Engine::onConnectionOpened(ConnectionId Connection, TimePoint Now) {
  State_->Now = Now;
  State_->Executor.onConnectionOpened(Connection, Now);
}

void Engine::onConnectionClosed(ConnectionId Connection, TimePoint Now) {
  State_->Now = Now;
  State_->Executor.onConnectionClosed(Connection, Now);
}

void Engine::onDatabaseAnswer(ConnectionId Connection,
                              const DatabaseAnswer &Answer, TimePoint Now) {
  State_->Now = Now;
  State_->Executor.onDatabaseAnswer(Connection, Answer, Now);
}

void Engine::onDatabaseFailure(ConnectionId Connection,
                               const DatabaseFailure &Failure, TimePoint Now) {
  State_->Now = Now;
  State_->Executor.onDatabaseFailure(Connection, Failure, Now);
}

void Engine::onStatus(const DatabaseStatus &Status, TimePoint SentAt,
                      TimePoint Now) {
  State_->ControlDue = true;
  State_->Failover.onStatus(Status, SentAt, Now);
  State_->Executor.onStatus(Status, Now);
}

void Engine::onStatusFailed(const DatabaseId &Database, TimePoint Now) {
  State_->ControlDue = true;
  State_->Failover.onStatusFailed(Database, Now);
}

void Engine::onControlGranted(const ControlRequest &Request,
                              const DatabaseStatus &Status, TimePoint SentAt,
                              TimePoint Now) {
  State_->Failover.onControlGranted(Request, Status, SentAt, Now);
  State_->Executor.onStatus(Status, Now);
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
  // The caller may pass input to the system.
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
  std::set<GroupId> RemovedGroups;
  for (const auto &[Id, Group] : Own.Data.Groups)
    RemovedGroups.insert(Id);
  for (const DatabaseEntity &Each : Next.Databases) {
    const auto [Known, Inserted] =
        Own.Data.Databases.try_emplace(Each.Id, Each);
    if (Inserted)
      continue;
    // Update only what the configuration defines; keep the status.
    Known->second.Group = Each.Group;
    Known->second.Zone = Each.Zone;
    Known->second.Region = Each.Region;
    Known->second.ServiceAddress = Each.ServiceAddress;
    Known->second.ControlAddress = Each.ControlAddress;
    Known->second.Slots = Each.Slots;
    Known->second.ConnectionCap = Each.ConnectionCap;
  }
  for (const GroupEntity &Each : Next.Groups) {
    RemovedGroups.erase(Each.Id);
    const auto [Known, Inserted] = Own.Data.Groups.try_emplace(Each.Id, Each);
    if (Inserted)
      continue;
    Known->second.Service = Each.Service;
    Known->second.Members = Each.Members;
  }
  for (const GroupId &Id : RemovedGroups)
    Own.Executor.onGroupChanged(Id);
  Own.RemovedGroups = std::move(RemovedGroups);
  Own.removeUnusedGroups();
  Own.ControlDue = true;
  Own.NextActivityCheckAt.reset();
  tick(Now);
}

void Engine::State::removeUnusedGroups() {
  for (auto Id = RemovedGroups.begin(); Id != RemovedGroups.end();) {
    if (Executor.isInUse(*Id)) {
      ++Id;
      continue;
    }
    Data.Groups.erase(*Id);
    Id = RemovedGroups.erase(Id);
  }
  // A database is kept as long as its group lists it as a member.
  std::erase_if(Data.Databases, [this](const auto &Entry) {
    const auto Group = Data.Groups.find(Entry.second.Group);
    if (Group == Data.Groups.end())
      return true;
    const std::vector<DatabaseId> &Members = Group->second.Members;
    return std::find(Members.begin(), Members.end(), Entry.first) ==
           Members.end();
  });
}

void Engine::State::deactivateIdleGroups(TimePoint At) {
  if (NextActivityCheckAt && At < *NextActivityCheckAt)
    return;
  NextActivityCheckAt = At + ActivityInterval;
  for (auto &[Id, Group] : Data.Groups)
    if (Group.Active && At - Group.LastUsed > ActivityTimeout &&
        !Executor.isInUse(Id))
      Group.Active = false;
  if (!RemovedGroups.empty())
    removeUnusedGroups();
}

void Engine::tick(TimePoint Now) {
  State &Own = *State_;
  Own.Now = Now;
  if (Own.ControlDue || !Own.NextControlTickAt ||
      Now >= *Own.NextControlTickAt) {
    Own.ControlDue = false;
    Own.NextControlTickAt = Now + ControlInterval;
    Own.Membership.tick(Now);
    Own.Configuration.tick(Now);
    Own.deactivateIdleGroups(Now);
    Own.Failover.tick(Now);
  }
  Own.Executor.tick(Now);
  Own.Router.tick(Now);
}

void Engine::beginDrain(TimePoint Now) {
  State_->Membership.setState(HostState::Leaving);
  State_->Router.beginDrain();
  State_->Executor.beginDrain();
  tick(Now);
}

bool Engine::isIdle() const {
  return State_->Router.isIdle() && State_->Executor.isIdle();
}

const Tables &Engine::tables() const { return State_->Data; }
const Policy &Engine::policy() const { return State_->Limits; }
const EngineCounters &Engine::counters() const { return State_->Counters; }
std::size_t Engine::waitingIn(const GroupEntity &Group) const {
  return State_->Executor.waitingIn(Group);
}

} // namespace nutmegloom
