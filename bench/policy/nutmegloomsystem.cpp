#include "bench/policy/nutmegloomsystem.h"

#include <charconv>
#include <utility>

namespace nutmegloom {

/// Time between two looks of a fake at whether a long poll may be answered.
static constexpr Milliseconds PollStep{1};
static constexpr Milliseconds TickInterval{10};

static std::string groupName(std::uint32_t Group) {
  return "service/" + std::to_string(Group);
}

static std::string databaseName(std::uint32_t Group, std::uint32_t Member) {
  return "db-" + std::to_string(Group) + "-" + std::to_string(Member);
}

NutmegloomSystem::NutmegloomSystem(EventQueue &Events, FakeService &Service)
    : Events_(Events), Service_(Service) {
  PeerHeartbeat Self;
  Self.Host = "host";
  Self.Incarnation = "1";
  Self.Region = "near";
  Self.Zone = "zone-0";
  Self.PeerAddress = "127.0.0.1:1";
  Self.State = HostState::Ready;
  Engine_ = std::make_unique<Engine>(Self, makeHooks());
}

SiteConfiguration NutmegloomSystem::makeSiteConfiguration() const {
  SiteConfiguration Result;
  Result.Version = 1;
  Result.Limits.Classes = Service_.Size.Classes;
  for (std::uint32_t Group = 0; Group < Service_.Size.Groups; ++Group) {
    GroupEntity Entity;
    Entity.Id = groupName(Group);
    Entity.Service = "service";
    for (std::uint32_t Member = 0; Member < 3; ++Member) {
      DatabaseEntity Database;
      Database.Id = databaseName(Group, Member);
      Database.Group = Entity.Id;
      Database.Zone = "zone-" + std::to_string(Member);
      Database.Region = "near";
      Database.ServiceAddress = Database.Id;
      Database.ControlAddress = Database.Id;
      Database.Slots = Service_.Size.Slots;
      Database.ConnectionCap = Service_.Size.ConnectionCap;
      Result.Zones[Database.Zone] = Database.Region;
      Entity.Members.push_back(Database.Id);
      Result.Databases.push_back(std::move(Database));
    }
    Result.Groups.push_back(std::move(Entity));
  }
  return Result;
}

EngineHooks NutmegloomSystem::makeHooks() {
  EngineHooks Hooks;
  Hooks.Answer = [this](TaskId Task, const CallerAnswer &Answer) {
    answer(Task, Answer);
  };
  Hooks.Forward = [](const HostName &, TaskId, const CallerRequest &) {};
  Hooks.OpenConnection = [this](ConnectionId Connection,
                                const DatabaseId &Database) {
    const Address Target = Addresses_.at(Database);
    const Duration Cost = Service_.Size.ConnectionCost + 2 * Service_.latency();
    Connections_[Connection] = Target;
    Events_.after(Cost, [this, Connection] {
      Engine_->onConnectionOpened(Connection, Events_.now());
      afterInput();
    });
  };
  Hooks.CloseConnection = [](ConnectionId) {};
  Hooks.SendToDatabase = [this](ConnectionId Connection,
                                const DatabaseRequest &Request) {
    send(Connection, Request);
  };
  Hooks.Membership.SendHeartbeat = [](const HostEntity &,
                                      const PeerHeartbeat &) {};
  Hooks.Failover.SendControl = [](const ControlRequest &) {};
  Hooks.Failover.PollStatus = [this](const DatabaseId &Database,
                                     std::uint64_t After, Milliseconds Wait) {
    poll(Database, After, Wait);
  };
  Hooks.Failover.Random = [this] { return NextIdentifier_++; };
  Hooks.Failover.Report = [](const GroupId &, FailoverPhase, std::uint64_t,
                             const std::string &) {};
  Hooks.Configuration.WatchStore = [](std::uint64_t) {};
  Hooks.Configuration.FetchFromPeer = [](const HostName &) {};
  Hooks.Configuration.Apply = [](std::uint64_t, const std::string &) {
    return true;
  };
  Hooks.NewIdentifier = [this] { return std::to_string(NextIdentifier_++); };
  return Hooks;
}

void NutmegloomSystem::prepare() {
  const SiteConfiguration Next = makeSiteConfiguration();
  for (std::uint32_t Group = 0; Group < Service_.Size.Groups; ++Group) {
    for (std::uint32_t Member = 0; Member < 3; ++Member)
      Addresses_[Next.Groups[Group].Members[Member]] = {Group, Member};
  }
  Engine_->applyConfiguration(Next, Events_.now());
  scheduleTick();
}

void NutmegloomSystem::scheduleTick() {
  Engine_->tick(Events_.now());
  Events_.after(TickInterval, [this] { scheduleTick(); });
}

void NutmegloomSystem::afterInput() { Engine_->tick(Events_.now()); }

void NutmegloomSystem::submit(const WorkItem &Item, DoneFunction Done) {
  Pending Entry{Item, {}, Sessions_.required(Item), std::move(Done)};
  Entry.Result.ReplicaAllowed =
      Item.Kind == StatementKind::Read &&
      isReplicaAllowed(Service_, Item, Entry.Required);

  CallerRequest Request;
  Request.Group = groupName(Item.Group);
  Request.Kind = Item.Kind;
  Request.Statement = std::to_string(Item.WorkMilliseconds);
  Request.StatementDigest = Item.Straggler                      ? StragglerShape
                            : Item.Kind == StatementKind::Write ? WriteShape
                                                                : ReadShape;
  Request.MaximumAge = Item.MaximumAge;
  Request.Required = Position{Entry.Required ? 1ULL : 0ULL, Entry.Required};
  Request.WorkClass = Service_.Size.Classes[Item.ClassIndex].Name;
  Request.Caller = std::to_string(Item.Session);
  Request.Deadline = Events_.now() + Item.Timeout;
  if (Item.Kind == StatementKind::Write)
    Request.Key = std::to_string(NextIdentifier_++);

  const TaskId Task = NextTask_++;
  Pending_.emplace(Task, std::move(Entry));
  Engine_->submit(Task, Request, Events_.now());
  afterInput();
}

void NutmegloomSystem::answer(TaskId Task, const CallerAnswer &Answer) {
  const auto Found = Pending_.find(Task);
  if (Found == Pending_.end())
    return;
  Pending Entry = std::move(Found->second);
  Pending_.erase(Found);
  Entry.Result.AnsweredAt = Events_.now();
  Entry.Result.Answered = Answer.Result == Outcome::Run;
  Entry.Result.Refused = !Entry.Result.Answered;
  Entry.Result.FromReplica = Answer.FromReplica;
  if (Entry.Result.Answered && Entry.Item.Kind == StatementKind::Write &&
      Answer.Seen)
    Sessions_.acknowledge(Entry.Item, Answer.Seen->Index);
  if (Entry.Result.Answered && Entry.Item.Kind == StatementKind::Read) {
    // The body is the index that the read saw.
    std::uint64_t Applied = 0;
    const char *End = Answer.Body.data() + Answer.Body.size();
    const auto Parsed = std::from_chars(Answer.Body.data(), End, Applied);
    Entry.Result.Violation =
        Parsed.ec != std::errc() || Applied < Entry.Required ||
        (Entry.Item.MaximumAge && Answer.Age > *Entry.Item.MaximumAge);
  }
  Entry.Done(Entry.Result);
}

void NutmegloomSystem::send(ConnectionId Connection,
                            const DatabaseRequest &Request) {
  Events_.after(Service_.latency(),
                [this, Connection, Request] { execute(Connection, Request); });
}

void NutmegloomSystem::execute(ConnectionId Connection,
                               const DatabaseRequest &Request) {
  const Address Target = Connections_.at(Connection);
  const double Work = std::atof(Request.Statement.c_str());
  FakeDatabase &Database = Service_.database(Target.Group, Target.Member);
  const DatabaseId Id = databaseName(Target.Group, Target.Member);
  Executing_[Id].insert(Request.Exchange);
  Database.run(Work, [this, Id, Connection, Request, Target, &Database] {
    Executing_[Id].erase(Request.Exchange);
    DatabaseAnswer Answer;
    Answer.Exchange = Request.Exchange;
    Answer.Database = Id;
    Answer.Term = 1;
    Answer.LogTerm = 1;
    Answer.Index = Request.Kind == StatementKind::Write
                       ? Database.log().append(Events_.now())
                       : Database.applied();
    Answer.Result = std::to_string(Answer.Index);
    Answer.Age = std::chrono::duration_cast<Milliseconds>(Database.age());
    Answer.Terms = {{1, 0}};
    Events_.after(Service_.latency(), [this, Connection, Answer] {
      Engine_->onDatabaseAnswer(Connection, Answer, Events_.now());
      afterInput();
    });
  });
}

void NutmegloomSystem::poll(const DatabaseId &Database, std::uint64_t After,
                            Milliseconds Wait) {
  const TimePoint SentAt = Events_.now();
  const Duration Latency = Service_.latency();
  Events_.after(Latency, [=, this] {
    sendStatus(Database, After, SentAt, Events_.now() + Wait);
  });
}

void NutmegloomSystem::sendStatus(const DatabaseId &Id, std::uint64_t After,
                                  TimePoint SentAt, TimePoint Until) {
  const Address Target = Addresses_.at(Id);
  FakeDatabase &Database = Service_.database(Target.Group, Target.Member);
  if (Database.received() <= After && Events_.now() < Until) {
    Events_.after(PollStep,
                  [=, this] { sendStatus(Id, After, SentAt, Until); });
    return;
  }
  DatabaseStatus Status;
  Status.Database = Id;
  Status.Boot = "1";
  Status.Term = 1;
  Status.Role =
      Database.isPrimary() ? DatabaseRole::Primary : DatabaseRole::Replica;
  Status.LogTerm = 1;
  Status.Received = Database.received();
  Status.Applied = Database.applied();
  Status.Age = std::chrono::duration_cast<Milliseconds>(Database.age());
  Status.Terms = {{1, 0}};
  for (const ExchangeId Exchange : Executing_[Id])
    Status.Executing.push_back(std::to_string(Exchange));
  Events_.after(Service_.latency(), [this, Status, SentAt] {
    Engine_->onStatus(Status, SentAt, Events_.now());
    afterInput();
  });
}

} // namespace nutmegloom
