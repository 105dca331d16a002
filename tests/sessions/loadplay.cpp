#include "loadplay.h"

#include <algorithm>

namespace nutmegloom {

namespace {

constexpr Milliseconds NetworkLatency{1};
/// Time for which a new connection occupies a slot.
constexpr Milliseconds OpenTime{12};
constexpr std::size_t QueueLimit = 24;
/// How long a database counts the connections of a host that lost power.
constexpr Milliseconds LostConnectionLinger{3000};
constexpr Milliseconds TickInterval{50};
const char *const Leader = "a";

} // namespace

struct LoadPlay::Database {
  DatabaseListing Listing;
  std::size_t Busy = 0;
  std::size_t Connections = 0;
  struct Job {
    Milliseconds Time;
    std::function<void()> Finished;
  };
  std::deque<Job> Queue;
};

struct LoadPlay::Connection {
  std::size_t Host = 0;
  std::uint64_t Incarnation = 0;
  ConnectionId Id = 0;
  DatabaseId Target;
  bool Open = true;
};

struct LoadPlay::Host {
  std::uint64_t Incarnation = 0;
  bool Up = true;
  DatabaseTable Table{[](const ZoneName &) { return Distance::SameZone; }};
  LeaderAuthority Authority;
  std::unique_ptr<StatementRunner> Runner;
  std::map<ConnectionId, std::shared_ptr<Connection>> Connections;
};

LoadPlay::LoadPlay(Parameters Chosen) : Chosen_(Chosen), NextReadAt_(Now_) {
  for (const char *Id : {"a", "b", "c"}) {
    auto Added = std::make_unique<Database>();
    Added->Listing.Id = Id;
    Added->Listing.Group = "g";
    Added->Listing.Slots = static_cast<std::uint32_t>(Chosen.Slots);
    Databases_[Id] = std::move(Added);
  }
  Hosts_.resize(Chosen.Hosts);
  for (std::size_t Index = 0; Index < Chosen.Hosts; ++Index)
    startHost(Index);
}

LoadPlay::~LoadPlay() = default;

void LoadPlay::at(TimePoint Time, std::function<void()> Call) {
  Events_.emplace(Time, std::move(Call));
}

void LoadPlay::advance(TimePoint Until) {
  while (!Events_.empty() && Events_.begin()->first <= Until) {
    auto First = Events_.begin();
    Now_ = First->first;
    std::function<void()> Call = std::move(First->second);
    Events_.erase(First);
    Call();
  }
  Now_ = Until;
}

void LoadPlay::startHost(std::size_t Index) {
  auto Started = std::make_unique<Host>();
  Started->Incarnation = ++LastIncarnation_;
  std::vector<DatabaseListing> Listings;
  for (const auto &[Id, Each] : Databases_)
    Listings.push_back(Each->Listing);
  Started->Table.apply(Listings);
  DatabasePool::Hooks PoolHooks;
  PoolHooks.Open = [this, Index](ConnectionId Id, const DatabaseListing &To,
                                 const AccountName &) {
    open(Index, Id, To.Id);
  };
  PoolHooks.Close = [this, Index](ConnectionId Id) { close(Index, Id); };
  StatementRunner::Hooks Hooks;
  Hooks.Send = [this, Index](ConnectionId Id, const DatabaseCommand &Command) {
    send(Index, Id, Command);
  };
  Hooks.Finished = [this](CallerSessionId Session, const StatementResult &Ended,
                          TimePoint) {
    auto Sent = Unanswered_.find(Session);
    if (Sent == Unanswered_.end())
      return;
    auto Time = std::chrono::ceil<Milliseconds>(Now_ - Sent->second);
    Unanswered_.erase(Sent);
    if (Ended.Answer.Code == StatementCode::Done) {
      ++Counted_.Served;
      return;
    }
    ++Counted_.Refused;
    Counted_.HeldRefused += Time;
    Counted_.LongestRefusal = std::max(Counted_.LongestRefusal, Time);
  };
  Hooks.TransactionLost = [](CallerSessionId) {};
  Hooks.LeaderExpectedIn = [](const GroupId &, TimePoint) {
    return std::optional<Milliseconds>();
  };
  Hooks.ReachabilityChanged = [](const DatabaseId &, bool, std::string_view) {};
  Started->Runner = std::make_unique<StatementRunner>(
      Started->Table, Started->Authority, PoolHooks, Hooks);
  Started->Runner->pool().setStartedAt(Now_);
  Started->Runner->pool().setHosts(Chosen_.Hosts);
  Started->Runner->pool().setCap("g", Chosen_.ConnectionCap);
  Hosts_[Index] = std::move(Started);
  tick(Index, LastIncarnation_);
}

void LoadPlay::tick(std::size_t Index, std::uint64_t Incarnation) {
  Host &Ticked = *Hosts_[Index];
  if (!Ticked.Up || Ticked.Incarnation != Incarnation)
    return;
  LeadershipRecord Record;
  Record.Group = "g";
  Record.Leader = Leader;
  Record.Revision = 1;
  Ticked.Authority.confirm(Record, Now_);
  Ticked.Runner->placement().onLeaderPosition("g", {1, 5}, Now_);
  Ticked.Runner->tick(Now_);
  at(Now_ + TickInterval,
     [this, Index, Incarnation] { tick(Index, Incarnation); });
}

void LoadPlay::open(std::size_t Index, ConnectionId Id,
                    const DatabaseId &Target) {
  auto Opened = std::make_shared<Connection>();
  Opened->Host = Index;
  Opened->Incarnation = Hosts_[Index]->Incarnation;
  Opened->Id = Id;
  Opened->Target = Target;
  Hosts_[Index]->Connections[Id] = Opened;
  TimePoint BegunAt = Now_;
  at(Now_ + NetworkLatency, [this, Opened, BegunAt] {
    Database &Used = *Databases_.at(Opened->Target);
    Host &Owner = *Hosts_[Opened->Host];
    if (!Opened->Open)
      return;
    if (Used.Connections >= Chosen_.ConnectionCap) {
      Opened->Open = false;
      Owner.Connections.erase(Opened->Id);
      Owner.Runner->onOpenFailed(Opened->Id, OpenFailure::Reset, std::nullopt,
                                 Now_);
      return;
    }
    ++Used.Connections;
    occupySlot(Used, OpenTime, [this, Opened, BegunAt] {
      if (Opened->Open)
        Hosts_[Opened->Host]->Runner->onOpened(Opened->Id, Position{1, 5},
                                               BegunAt, Now_);
    });
  });
}

void LoadPlay::close(std::size_t Index, ConnectionId Id) {
  auto Found = Hosts_[Index]->Connections.find(Id);
  if (Found == Hosts_[Index]->Connections.end())
    return;
  Found->second->Open = false;
  Database &Used = *Databases_.at(Found->second->Target);
  if (Used.Connections > 0)
    --Used.Connections;
  Hosts_[Index]->Connections.erase(Found);
}

void LoadPlay::send(std::size_t Index, ConnectionId Id,
                    const DatabaseCommand &Command) {
  std::shared_ptr<Connection> On = Hosts_[Index]->Connections.at(Id);
  bool Behind =
      Chosen_.ReplicasLag && On->Target != Leader && Command.MinimumPosition;
  at(Now_ + NetworkLatency, [this, On, Behind] {
    if (!On->Open)
      return;
    Database &Used = *Databases_.at(On->Target);
    if (Behind) {
      answer(On, StatementCode::Behind);
      return;
    }
    if (Used.Queue.size() >= QueueLimit) {
      answer(On, StatementCode::Busy);
      return;
    }
    occupySlot(Used, Chosen_.ServiceTime,
               [this, On] { answer(On, StatementCode::Done); });
  });
}

void LoadPlay::answer(const std::shared_ptr<Connection> &On,
                      StatementCode Code) {
  at(Now_ + NetworkLatency, [this, On, Code] {
    if (!On->Open)
      return;
    StatementAnswer Answer;
    Answer.Code = Code;
    Answer.Signature = "s";
    bool Lags = Chosen_.ReplicasLag && On->Target != Leader;
    Answer.Log = Position{1, Lags ? 1U : 5U};
    Hosts_[On->Host]->Runner->onAnswer(On->Id, std::move(Answer), Now_);
  });
}

void LoadPlay::occupySlot(Database &Used, Milliseconds Time,
                          std::function<void()> Finished) {
  Used.Queue.push_back({Time, std::move(Finished)});
  startNextJob(Used);
}

void LoadPlay::startNextJob(Database &Used) {
  if (Used.Busy >= Chosen_.Slots || Used.Queue.empty())
    return;
  Database::Job Started = std::move(Used.Queue.front());
  Used.Queue.pop_front();
  ++Used.Busy;
  at(Now_ + Started.Time, [this, &Used, Finished = Started.Finished] {
    --Used.Busy;
    Finished();
    startNextJob(Used);
  });
}

void LoadPlay::sendRead() {
  std::size_t Index = Random_() % Hosts_.size();
  StatementWork Work;
  Work.Session = ++LastSession_;
  Work.Group = "g";
  Work.Command.Id = std::to_string(Work.Session);
  Work.Command.Text = "READ x";
  Work.NeedsLeader = Chosen_.NeedsLeader;
  Work.Repeatable = true;
  Work.MaximumAge = Milliseconds{2500};
  Work.ReceivedAt = Now_;
  Work.Deadline = Now_ + Chosen_.Deadline;
  Unanswered_[Work.Session] = Now_;
  ++Counted_.Sent;
  Hosts_[Index]->Runner->submit(std::move(Work), Now_);
}

LoadPlay::Outcome LoadPlay::run(Milliseconds Span) {
  Counted_ = {};
  Unanswered_.clear();
  TimePoint End = Now_ + Span;
  Duration Interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / Chosen_.ReadsPerSecond));
  NextReadAt_ = std::max(NextReadAt_, Now_);
  while (NextReadAt_ < End) {
    advance(NextReadAt_);
    sendRead();
    NextReadAt_ += Interval;
  }
  // The last reads are answered by their deadline.
  advance(End + Chosen_.Deadline + TickInterval);
  return Counted_;
}

void LoadPlay::restartHosts(Milliseconds Down) {
  for (auto &Each : Hosts_) {
    Each->Up = false;
    for (auto &[Id, Lost] : Each->Connections) {
      Lost->Open = false;
      at(Now_ + LostConnectionLinger, [this, Target = Lost->Target] {
        --Databases_.at(Target)->Connections;
      });
    }
  }
  advance(Now_ + Down);
  for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
    startHost(Index);
}

std::size_t LoadPlay::connectionsOf(const DatabaseId &Id) const {
  return Databases_.at(Id)->Connections;
}

} // namespace nutmegloom
