#include "tests/sessions/simulation.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

namespace {

const GroupId Group = "g";
constexpr Milliseconds DatabaseLatency{2};
constexpr Milliseconds ServiceTime{3};
/// A statement with this text takes longer than its time-out.
constexpr std::string_view SlowText = "slow";
constexpr Milliseconds SlowServiceTime{1500};
constexpr Milliseconds HostLatency{2};
constexpr Milliseconds PromotionDelay{300};
constexpr Milliseconds DemotionDelay{1000};
constexpr Milliseconds BoundedAge{1500};
constexpr Milliseconds ReadYourWritesAge{2500};
/// Time after which a host gives up a store call without an answer.
constexpr Milliseconds StoreTimeout{900};

} // namespace

struct Simulation::Database {
  DatabaseListing Listing;
  std::uint64_t Term = 3;
  std::uint64_t Size = 0;
  TermHistory Terms{{3, 0}};
  std::uint64_t PausedTerm = 0;
  bool Up = true;
  std::uint64_t Incarnation = 1;
  Milliseconds Lag{8};
  std::size_t StatementsToRefuse = 0;
  bool ResetsConnections = false;

  Position position() const { return {Term, Size}; }
  /// Greatest index up to which the log holds the entries of a term.
  std::uint64_t heldIndex(std::uint64_t Wanted) const {
    if (Wanted > Term)
      return 0;
    for (const TermStart &Entry : Terms)
      if (Entry.Term > Wanted)
        return std::min(Entry.Start, Size);
    return Size;
  }
  bool holds(Position Wanted) const {
    return Wanted.Term <= Term && Wanted.Index <= heldIndex(Wanted.Term);
  }
};

struct Simulation::DatabaseConnection {
  std::size_t Host = 0;
  std::uint64_t HostIncarnation = 0;
  ConnectionId Id = 0;
  DatabaseId Database;
  std::uint64_t DatabaseIncarnation = 0;
  bool Open = true;
  TransactionStatus State = TransactionStatus::Idle;
  bool ReadOnly = false;
  std::uint64_t BegunTerm = 0;
  std::size_t Writes = 0;
  CallerSessionId Session = 0;
  SessionVariables Variables;
  std::set<std::string> Prepared;
  TimePoint BusyUntil;
};

struct Simulation::Host {
  HostName Name;
  std::uint64_t Incarnation = 0;
  TimePoint PausedUntil;
  std::unique_ptr<SessionEngine> Engine;
  std::map<ConnectionId, std::shared_ptr<DatabaseConnection>> Connections;
  bool Registered = false;
  /// The store has listed the host.
  bool Listed = false;
  bool Reading = false;
  TimePoint ReadAt;
  TimePoint GossipAt;
};

Simulation::Simulation(std::uint32_t Seed, std::size_t Hosts,
                       std::size_t Members)
    : Random_(Seed), Members_(Members) {
  for (const char *Id : {"a", "b", "c"}) {
    auto Made = std::make_unique<Database>();
    Made->Listing.Id = Id;
    Made->Listing.Group = Group;
    Made->Listing.Address = Id;
    Made->Listing.Slots = 5;
    Made->Listing.Role =
        Id[0] == 'a' ? DatabaseRole::Primary : DatabaseRole::Replica;
    Databases_[Id] = std::move(Made);
  }
  Leader_ = "a";
  Hosts_.resize(Hosts);
  for (std::size_t Index = 0; Index < Hosts; ++Index) {
    Hosts_[Index] = std::make_unique<Host>();
    Hosts_[Index]->Name = "host-" + std::to_string(Index);
    startHost(Index);
  }
}

Simulation::~Simulation() = default;

void Simulation::run(Milliseconds Span) {
  TimePoint End = Now_ + Span;
  while (!Events_.empty() && Events_.begin()->first <= End) {
    auto Next = Events_.begin();
    Now_ = std::max(Now_, Next->first);
    std::function<void()> Call = std::move(Next->second);
    Events_.erase(Next);
    Call();
  }
  Now_ = End;
}

void Simulation::after(Milliseconds Delay, std::function<void()> Call) {
  Events_.emplace(Now_ + Delay, std::move(Call));
}

void Simulation::atHost(std::size_t Index, Milliseconds Delay,
                        std::function<void()> Call) {
  std::uint64_t Incarnation = Hosts_[Index]->Incarnation;
  after(Delay, [this, Index, Incarnation, Call = std::move(Call)] {
    Host &At = *Hosts_[Index];
    if (At.Incarnation != Incarnation)
      return;
    if (Now_ < At.PausedUntil) {
      auto Left = std::chrono::ceil<Milliseconds>(At.PausedUntil - Now_);
      atHost(Index, Left, Call);
      return;
    }
    Call();
  });
}

Simulation::Database &Simulation::database(const DatabaseId &Id) {
  return *Databases_.at(Id);
}

bool Simulation::isCut(std::size_t Index, const DatabaseId &Id) const {
  return DatabaseCuts_.contains({Index, Id});
}

std::vector<DatabaseListing> Simulation::listings() const {
  std::vector<DatabaseListing> All;
  for (const auto &[Id, Held] : Databases_)
    if (Held->Up)
      All.push_back(Held->Listing);
  return All;
}

SessionEngine::Hooks Simulation::hooksOf(std::size_t Index) {
  SessionEngine::Hooks Hooks;
  Hooks.Sessions.Answer = [this](CallerSessionId Id,
                                 const StatementAnswer &Answer) {
    recordAnswer(Id, Answer);
  };
  Hooks.Sessions.CloseSession = [this, Index](CallerSessionId Id) {
    Closed_.insert(Id);
    Hosts_[Index]->Engine->sessions().close(Id, Now_);
  };
  Hooks.Sessions.Report = [](const StatementReport &) {};
  Hooks.Connections.Open = [this, Index](ConnectionId Id,
                                         const DatabaseListing &Listing) {
    openConnection(Index, Id, Listing);
  };
  Hooks.Connections.Close = [this, Index](ConnectionId Id) {
    auto Found = Hosts_[Index]->Connections.find(Id);
    if (Found == Hosts_[Index]->Connections.end())
      return;
    Found->second->Open = false;
    Hosts_[Index]->Connections.erase(Found);
  };
  Hooks.Send = [this, Index](ConnectionId Id, const DatabaseCommand &Command) {
    sendCommand(Index, Id, Command);
  };
  Hooks.ReachabilityChanged = [this, Index](const DatabaseId &Id, bool Reached,
                                            std::string_view Reason) {
    recordEvent(Hosts_[Index]->Name +
                (Reached ? " reaches " : " does not reach ") + Id + " " +
                std::string(Reason));
  };
  Hooks.AskHost = [this, Index](const HostName &Host,
                                const RelayMessage &Message) {
    relayTo(Index, Host, Message);
  };
  Hooks.CloseRelay = [this, Index](const HostName &Host) {
    std::size_t To = indexOf(Host);
    IncomingRelayId Link = linkOf(Index, Hosts_[Index]->Incarnation);
    if (!HostCuts_.contains(std::minmax(To, Index)))
      atHost(To, HostLatency, [this, To, Link] {
        Hosts_[To]->Engine->relayed().onLinkClosed(Link, Now_);
      });
  };
  Hooks.ConfigurationReceived = [](const HostName &) {};
  Hooks.AnswerHost = [this, Index](IncomingRelayId Link,
                                   const RelayMessage &Message) {
    answerRelay(Index, Link, Message);
  };
  Hooks.CloseLink = [](IncomingRelayId) {};
  Hooks.LeadershipChanged = [this, Index](const LeadershipRecord &) {
    atHost(Index, Milliseconds{0}, [this, Index] { gossip(Index); });
  };
  Hooks.Probe = [this, Index](const DatabaseListing &Listing) {
    TimePoint BegunAt = Now_;
    DatabaseId Id = Listing.Id;
    bool Answers = !isCut(Index, Id) && database(Id).Up;
    atHost(Index, Answers ? DatabaseLatency * 2 : Milliseconds{700},
           [this, Index, Id, Answers, BegunAt] {
             Hosts_[Index]->Engine->onProbed(Id, Answers, BegunAt, Now_);
           });
  };
  Hooks.Promotions.Ask = [this, Index](const DatabaseListing &Listing,
                                       const DatabaseCommand &Command) {
    queryDatabase(Index, Listing, Command);
  };
  Hooks.Promotions.Report = [this, Index](const PromotionReport &Report) {
    recordEvent(Hosts_[Index]->Name + " " + std::string(nameOf(Report.Stage)) +
                " " + std::string(nameOf(Report.Reason)) + " " +
                Report.Candidate + " " + std::string(Report.Detail));
  };
  Hooks.Promotions.ListHosts = [this, Index] {
    TimePoint BegunAt = Now_;
    storeCall(
        Index, false,
        [this, Index, BegunAt] {
          auto Listed = Registered_;
          return [this, Index, Listed, BegunAt] {
            Hosts_[Index]->Engine->applyHosts(Listed, BegunAt);
          };
        },
        [] {});
  };
  Hooks.Promotions.Promote =
      [this, Index](const GroupId &Name, const DatabaseId &Id,
                    std::uint64_t Token) { promote(Index, Name, Id, Token); };
  Hooks.Promotions.Write = [this, Index](const LeadershipRecord &Record,
                                         std::uint64_t Expected) {
    storeCall(
        Index, true,
        [this, Index, Record, Expected]() -> std::function<void()> {
          std::uint64_t Present = Records_.contains(Record.Group)
                                      ? Records_[Record.Group].Revision
                                      : 0;
          LeadershipRecord Current;
          WriteOutcome Outcome = WriteOutcome::Conflict;
          if (Present == Expected) {
            Current = Record;
            Current.Revision = ++Revision_;
            Records_[Record.Group] = Current;
            Outcome = WriteOutcome::Written;
          }
          return [this, Index, Record, Outcome, Current] {
            Hosts_[Index]->Engine->onRecordWritten(Record.Group, Outcome,
                                                   Current, Now_);
            gossip(Index);
          };
        },
        [this, Index, Record] {
          Hosts_[Index]->Engine->onRecordWritten(
              Record.Group, WriteOutcome::Unknown, {}, Now_);
        });
  };
  Hooks.Promotions.WriteLease = [this, Index](const PromotionLease &Lease,
                                              std::uint64_t Expected) {
    storeCall(
        Index, true,
        [this, Index, Lease, Expected]() -> std::function<void()> {
          PromotionLease Current;
          WriteOutcome Outcome = WriteOutcome::Conflict;
          if (Lease_.Revision == Expected) {
            Current = Lease;
            Current.Revision = ++Revision_;
            Lease_ = Current;
            Outcome = WriteOutcome::Written;
          }
          return [this, Index, Outcome, Current] {
            Hosts_[Index]->Engine->promotions().lease().onWritten(
                Outcome, Current, Now_);
          };
        },
        [this, Index] {
          Hosts_[Index]->Engine->promotions().lease().onWritten(
              WriteOutcome::Unknown, {}, Now_);
        });
  };
  return Hooks;
}

std::size_t Simulation::indexOf(const HostName &Name) const {
  std::size_t Index = 0;
  while (Hosts_[Index]->Name != Name)
    ++Index;
  return Index;
}

void Simulation::relayTo(std::size_t From, const HostName &Name,
                         const RelayMessage &Message) {
  std::size_t To = indexOf(Name);
  if (HostCuts_.contains(std::minmax(To, From)))
    return;
  IncomingRelayId Link = linkOf(From, Hosts_[From]->Incarnation);
  // Two hosts that relay to each other use two connections. The incarnation in
  // the link id keeps the messages of a process apart from those of its
  // successor.
  atHost(To, HostLatency, [this, To, Link, Message] {
    Hosts_[To]->Engine->relayed().onReceived(Link, Message, Now_);
  });
}

void Simulation::answerRelay(std::size_t From, IncomingRelayId Link,
                             const RelayMessage &Message) {
  std::size_t To = Link % 100;
  std::uint64_t Incarnation = Link / 100;
  if (HostCuts_.contains(std::minmax(To, From)) ||
      Hosts_[To]->Incarnation != Incarnation)
    return;
  HostName Name = Hosts_[From]->Name;
  atHost(To, HostLatency, [this, To, Name, Message] {
    Hosts_[To]->Engine->onRelayAnswer(Name, Message, Now_);
  });
}

/// Closes the relay connections of a process that ends.
void Simulation::closeRelays(std::size_t Index) {
  IncomingRelayId Link = linkOf(Index, Hosts_[Index]->Incarnation);
  HostName Name = Hosts_[Index]->Name;
  for (std::size_t To = 0; To < Hosts_.size(); ++To) {
    if (To == Index || !Hosts_[To] || !Hosts_[To]->Engine ||
        HostCuts_.contains(std::minmax(To, Index)))
      continue;
    atHost(To, HostLatency, [this, To, Link, Name] {
      Hosts_[To]->Engine->relayed().onLinkClosed(Link, Now_);
      Hosts_[To]->Engine->router().onLinkLost(Name, true, Now_);
    });
  }
}

void Simulation::startHost(std::size_t Index) {
  Host &At = *Hosts_[Index];
  if (At.Incarnation > 0)
    closeRelays(Index);
  for (auto &[Id, Used] : At.Connections)
    Used->Open = false;
  At.Connections.clear();
  ++At.Incarnation;
  At.PausedUntil = Now_;
  At.Registered = false;
  At.Reading = false;
  At.Engine = std::make_unique<SessionEngine>(
      At.Name, At.Incarnation * 1000 + Index,
      ListedHost{At.Name, "zone", "region"},
      [](const ZoneName &) { return Distance::SameZone; }, hooksOf(Index));
  SessionConfiguration Configuration;
  Configuration.Version = 1;
  Configuration.Groups[Group] = {Group, 34, 0};
  auto AddRoute = [&](const char *Name, ConsistencyMode Mode,
                      Milliseconds Age) {
    SessionRoute Route;
    Route.Database = Name;
    Route.Group = Group;
    Route.Mode = Mode;
    Route.MaximumAge = Age;
    Configuration.Routes[Name] = Route;
  };
  AddRoute("primary", ConsistencyMode::Primary, Milliseconds{0});
  AddRoute("bounded", ConsistencyMode::BoundedStaleness, BoundedAge);
  AddRoute("own", ConsistencyMode::ReadYourWrites, ReadYourWritesAge);
  At.Engine->applyConfiguration(Configuration);
  At.Engine->setMember(false, Now_);
  At.Listed = false;
  if (isMember(Index))
    At.Engine->applyDatabases(listings(), ListRevision_, Now_);
  std::uint64_t Incarnation = At.Incarnation;
  atHost(Index, Milliseconds{1 + static_cast<int>(Index)},
         [this, Index, Incarnation] { tickHost(Index, Incarnation); });
}

void Simulation::storeCall(std::size_t Index, bool IsWrite,
                           std::function<std::function<void()>()> Execute,
                           std::function<void()> OnFailure) {
  bool Reached = !StoreDown_ && !StoreCuts_.contains(Index);
  if (!Reached) {
    atHost(Index, StoreTimeout, std::move(OnFailure));
    return;
  }
  bool Lost = IsWrite &&
              std::uniform_real_distribution<>(0, 1)(Random_) < LostWriteRatio_;
  // A write whose answer is lost may take effect much later, if its condition
  // still holds.
  Milliseconds Delay = StoreDelay_ / 2;
  if (Lost)
    Delay += Milliseconds{std::uniform_int_distribution<>(0, 3000)(Random_)};
  if (Lost)
    atHost(Index, StoreTimeout, OnFailure);
  after(Delay, [this, Index, Lost, Execute = std::move(Execute)] {
    std::function<void()> Answer = Execute();
    if (!Lost)
      atHost(Index, StoreDelay_ / 2, std::move(Answer));
  });
}

void Simulation::readRecords(std::size_t Index) {
  Host &At = *Hosts_[Index];
  At.Reading = true;
  At.ReadAt = Now_;
  TimePoint BegunAt = Now_;
  storeCall(
      Index, false,
      [this, Index, BegunAt] {
        std::vector<LeadershipRecord> Shown;
        for (const auto &[Name, Record] : Records_)
          Shown.push_back(Record);
        PromotionLease Lease = Lease_;
        std::vector<DatabaseListing> Listed = listings();
        std::uint64_t ListRevision = ListRevision_;
        return [this, Index, Shown, Lease, Listed, ListRevision, BegunAt] {
          Host &Reader = *Hosts_[Index];
          Reader.Reading = false;
          Reader.Engine->setReachesStore(true, Now_);
          Reader.Engine->promotions().lease().onRead(Lease, Now_);
          Reader.Engine->applyRecords(Shown, BegunAt, Now_);
          Reader.Engine->applyDatabases(Listed, ListRevision, Now_);
          Reader.Engine->promotions().setListTrustedSince(TimePoint{});
        };
      },
      [this, Index] {
        Hosts_[Index]->Reading = false;
        Hosts_[Index]->Engine->setReachesStore(false, Now_);
        Hosts_[Index]->Engine->promotions().setListTrustedSince(std::nullopt);
      });
}

void Simulation::tickHost(std::size_t Index, std::uint64_t Incarnation) {
  Host &At = *Hosts_[Index];
  if (!At.Registered) {
    At.Registered = true;
    storeCall(
        Index, true,
        [this, Index]() -> std::function<void()> {
          const HostName &Name = Hosts_[Index]->Name;
          if (isMember(Index))
            Registered_[Name] = {Name, "zone", "region"};
          return [this, Index] {
            Host &Applied = *Hosts_[Index];
            Applied.Engine->applyHosts(Registered_, Now_);
            Applied.Engine->setMember(isMember(Index), Now_);
            Applied.Listed = isMember(Index);
            if (isMember(Index))
              readRecords(Index);
          };
        },
        [this, Index] { Hosts_[Index]->Registered = false; });
  } else if (!isMember(Index)) {
    if (At.Engine->hosts().peers().empty() &&
        Now_ - At.ReadAt > Milliseconds{300}) {
      At.ReadAt = Now_;
      At.Registered = false;
    }
  } else if (At.Listed && !At.Reading && Now_ - At.ReadAt > Milliseconds{300} &&
             !At.Engine->hosts().peers().empty()) {
    readRecords(Index);
  }
  At.Engine->tick(Now_);
  if (At.Listed && Now_ - At.GossipAt > Milliseconds{200})
    gossip(Index);
  atHost(Index, Milliseconds{50},
         [this, Index, Incarnation] { tickHost(Index, Incarnation); });
}

void Simulation::gossip(std::size_t Index) {
  Host &At = *Hosts_[Index];
  At.GossipAt = Now_;
  for (std::size_t To = 0; To < Hosts_.size(); ++To) {
    if (To == Index || HostCuts_.contains(std::minmax(To, Index)))
      continue;
    if (!At.Engine->hosts().peers().contains(Hosts_[To]->Name))
      continue;
    HostObservation Message = At.Engine->observationFor(Hosts_[To]->Name, Now_);
    atHost(To, HostLatency, [this, To, Message] {
      Hosts_[To]->Engine->onObservation(Message, Now_);
    });
  }
}

void Simulation::openConnection(std::size_t Index, ConnectionId Id,
                                const DatabaseListing &Listing) {
  TimePoint BegunAt = Now_;
  DatabaseId Name = Listing.Id;
  Database &To = database(Name);
  if (isCut(Index, Name) || !To.Up) {
    bool Refused = !To.Up && !isCut(Index, Name);
    atHost(Index, Refused ? DatabaseLatency : Milliseconds{700},
           [this, Index, Id, Refused] {
             Hosts_[Index]->Engine->runner().onOpenFailed(
                 Id, Refused ? OpenFailure::Refused : OpenFailure::NoAnswer,
                 std::nullopt, Now_);
           });
    return;
  }
  if (To.ResetsConnections) {
    atHost(Index, DatabaseLatency, [this, Index, Id] {
      Hosts_[Index]->Engine->runner().onOpenFailed(Id, OpenFailure::Reset,
                                                   std::nullopt, Now_);
    });
    return;
  }
  auto Made = std::make_shared<DatabaseConnection>();
  Made->Host = Index;
  Made->HostIncarnation = Hosts_[Index]->Incarnation;
  Made->Id = Id;
  Made->Database = Name;
  Made->DatabaseIncarnation = To.Incarnation;
  Hosts_[Index]->Connections[Id] = Made;
  Position Log = To.position();
  atHost(Index, DatabaseLatency * 2 + Milliseconds{12},
         [this, Index, Id, Log, BegunAt] {
           Hosts_[Index]->Engine->runner().onOpened(Id, Log, BegunAt, Now_);
         });
}

void Simulation::sendCommand(std::size_t Index, ConnectionId Id,
                             const DatabaseCommand &Command) {
  auto Found = Hosts_[Index]->Connections.find(Id);
  if (Found == Hosts_[Index]->Connections.end())
    return;
  std::shared_ptr<DatabaseConnection> On = Found->second;
  On->BusyUntil = std::max(On->BusyUntil, Now_ + DatabaseLatency);
  if (Command.Verb == CommandVerb::Forward)
    On->BusyUntil +=
        Command.Text.ends_with(SlowText) ? SlowServiceTime : ServiceTime;
  auto Delay = std::chrono::ceil<Milliseconds>(On->BusyUntil - Now_);
  // A command sent to an unreachable database is lost. The host closes the
  // connection after a time-out.
  if (isCut(Index, On->Database))
    return;
  after(Delay, [this, On, Command] { execute(On, Command); });
}

void Simulation::execute(const std::shared_ptr<DatabaseConnection> &On,
                         const DatabaseCommand &Command) {
  Database &At = database(On->Database);
  if (!On->Open || !At.Up || At.Incarnation != On->DatabaseIncarnation)
    return;
  StatementAnswer Answer = run(*On, Command);
  if (isCut(On->Host, On->Database))
    return;
  std::size_t Index = On->Host;
  atHost(Index, DatabaseLatency, [this, Index, On, Answer] {
    if (On->Open && Hosts_[Index]->Incarnation == On->HostIncarnation)
      Hosts_[Index]->Engine->runner().onAnswer(On->Id, Answer, Now_);
  });
}

/// Executes a command on a connection, with the semantics of the platform's
/// databases.
StatementAnswer Simulation::run(DatabaseConnection &On,
                                const DatabaseCommand &Command) {
  Database &At = database(On.Database);
  bool Leads = At.Listing.Role == DatabaseRole::Primary;
  StatementAnswer Answer;
  auto Fail = [&](StatementCode Code) {
    Answer.Code = Code;
    if (On.State == TransactionStatus::InTransaction)
      On.State = TransactionStatus::Failed;
  };
  auto Make = [&] {
    ++At.Size;
    replicate(On.Database);
    return At.position();
  };
  switch (Command.Verb) {
  case CommandVerb::SetVariable:
    On.Variables[Command.Name] = Command.Text;
    break;
  case CommandVerb::Prepare:
    On.Prepared.insert(Command.Name);
    break;
  case CommandVerb::Reset:
    On.Variables.clear();
    On.Prepared.clear();
    break;
  case CommandVerb::Rollback:
    On.State = TransactionStatus::Idle;
    On.Writes = 0;
    break;
  case CommandVerb::Begin:
  case CommandVerb::BeginRead:
    if (Command.MinimumPosition && !At.holds(*Command.MinimumPosition))
      Fail(StatementCode::Behind);
    else if (Command.Verb == CommandVerb::Begin && !Leads)
      Fail(StatementCode::ReadOnly);
    else
      On.State = TransactionStatus::InTransaction;
    On.ReadOnly = Command.Verb == CommandVerb::BeginRead;
    On.BegunTerm = At.Term;
    break;
  case CommandVerb::Forward: {
    if (At.StatementsToRefuse > 0) {
      --At.StatementsToRefuse;
      Answer.Code = StatementCode::Busy;
      break;
    }
    auto Waiting =
        std::find_if(Pending_.begin(), Pending_.end(), [&](const auto &Entry) {
          return Entry.second.StatementId == Command.Id;
        });
    bool InTransaction = On.State == TransactionStatus::InTransaction;
    Executions_.push_back(
        {On.Database, Command.Text, On.Variables, InTransaction});
    bool Lost =
        InTransaction && !On.ReadOnly && (!Leads || At.Term != On.BegunTerm);
    bool IsCommit = Command.Text == "COMMIT";
    bool IsWrite = Command.Text.starts_with("WRITE");
    Answer.Signature = "s";
    if (Command.MinimumPosition && !At.holds(*Command.MinimumPosition)) {
      Fail(StatementCode::Behind);
    } else if ((IsWrite && !Leads) || (Lost && (!IsCommit || On.Writes > 0))) {
      Fail(StatementCode::ReadOnly);
    } else if (IsWrite && InTransaction) {
      ++On.Writes;
    } else if (IsWrite || (IsCommit && On.Writes > 0)) {
      Position Made = Make();
      if (Waiting != Pending_.end()) {
        Waiting->second.Commit = Made;
        Waiting->second.AfterPromotion = On.Database != Leader_;
        Waiting->second.Database = On.Database;
      }
    } else if (!IsCommit && Waiting != Pending_.end() && !InTransaction) {
      PendingStatement &Pending = Waiting->second;
      Milliseconds Age{0};
      if (Pending.Route == "bounded")
        Age = BoundedAge;
      if (Pending.Route == "own")
        Age = ReadYourWritesAge;
      std::optional<Position> Own;
      if (Pending.Route == "own" && OwnWrites_.contains(Waiting->first))
        Own = OwnWrites_[Waiting->first];
      Pending.HasRead = true;
      Pending.Missing = missingFrom(At, Pending.SentAt - Age, Own);
    }
    if (IsCommit && Answer.Code == StatementCode::Done) {
      On.State = TransactionStatus::Idle;
      On.Writes = 0;
    }
    break;
  }
  default:
    Fail(StatementCode::Malformed);
  }
  Answer.State = On.State;
  Answer.Log = At.position();
  return Answer;
}

std::vector<Simulation::MissingCommits>
Simulation::missingFrom(const Database &At, TimePoint Before,
                        const std::optional<Position> &Own) const {
  std::vector<MissingCommits> Missing;
  auto Note = [&](std::uint64_t Term, std::uint64_t Needed) {
    std::uint64_t Held = At.heldIndex(Term);
    if (Held < Needed)
      Missing.push_back({At.Listing.Id, Term, Held, Needed});
  };
  for (const auto &[Term, Acks] : Acknowledged_) {
    auto End = std::lower_bound(
        Acks.begin(), Acks.end(), Before,
        [](const Ack &Known, TimePoint Time) { return Known.At < Time; });
    if (End != Acks.begin())
      Note(Term, std::prev(End)->MaxIndex);
  }
  if (Own)
    Note(Own->Term, Own->Index);
  return Missing;
}

void Simulation::queryDatabase(std::size_t Index,
                               const DatabaseListing &Listing,
                               const DatabaseCommand &Command) {
  TimePoint BegunAt = Now_;
  DatabaseId Id = Listing.Id;
  auto Unanswered = [this, Index, Id, BegunAt] {
    atHost(Index, Milliseconds{700}, [this, Index, Id, BegunAt] {
      Hosts_[Index]->Engine->onReport(Id, std::nullopt, BegunAt, Now_);
    });
  };
  if (isCut(Index, Id) || !database(Id).Up) {
    Unanswered();
    return;
  }
  after(DatabaseLatency, [this, Index, Id, Command, BegunAt, Unanswered] {
    Database &At = database(Id);
    if (!At.Up || isCut(Index, Id)) {
      Unanswered();
      return;
    }
    if (Command.Verb == CommandVerb::Pause) {
      // A pause needs a term above the newest one that the database knows.
      if (Command.Term <= std::max(At.Term, At.PausedTerm)) {
        Unanswered();
        return;
      }
      At.PausedTerm = Command.Term;
    }
    if (Command.Verb == CommandVerb::Resume)
      At.PausedTerm = 0;
    DatabaseReport Report;
    Report.Role = At.Listing.Role;
    Report.Term = At.Term;
    Report.Received = At.position();
    Report.PausedTerm = At.PausedTerm;
    atHost(Index, DatabaseLatency, [this, Index, Id, Report, BegunAt] {
      Hosts_[Index]->Engine->onReport(Id, Report, BegunAt, Now_);
    });
  });
}

/// Copies the log of a primary to the other databases, to each after its
/// replication lag.
void Simulation::replicate(const DatabaseId &From) {
  Database &Source = database(From);
  for (auto &[Id, Target] : Databases_) {
    if (Id == From)
      continue;
    std::uint64_t Term = Source.Term;
    std::uint64_t Size = Source.Size;
    TermHistory Terms = Source.Terms;
    after(Target->Lag, [this, From, Id = Id, Term, Size, Terms] {
      Database &To = database(Id);
      bool Reached = To.Up && database(From).Up &&
                     !ReplicationCuts_.contains(std::minmax(From, Id));
      bool Leads = To.Listing.Role == DatabaseRole::Primary;
      bool Older = To.Term > Term || (To.Term == Term && To.Size > Size);
      if (!Reached || Leads || Older || To.PausedTerm > 0)
        return;
      To.Term = Term;
      To.Size = Size;
      To.Terms = Terms;
    });
  }
}

void Simulation::promote(std::size_t Index, const GroupId &Name,
                         const DatabaseId &Id, std::uint64_t Token) {
  auto Answer = [this, Index, Name](PromotionOutcome Outcome) {
    atHost(Index, Milliseconds{5}, [this, Index, Name, Outcome] {
      Hosts_[Index]->Engine->promotions().onPromoted(Name, Outcome, Now_);
    });
  };
  HostName Holder = Hosts_[Index]->Name;
  if (Token < HighestToken_)
    Violations_.push_back("fencing token lower than an earlier one, used by " +
                          Holder);
  HighestToken_ = std::max(HighestToken_, Token);
  auto Known = TokenHolders_.emplace(Token, Holder).first;
  if (Known->second != Holder)
    Violations_.push_back("fencing token used by two hosts");
  if (!database(Id).Up) {
    Answer(PromotionOutcome::NotRunning);
    return;
  }
  Answer(PromotionOutcome::Accepted);
  if (Id == Leader_)
    return;
  after(PromotionDelay, [this, Id] {
    Database &Next = database(Id);
    if (!Next.Up || Id == Leader_)
      return;
    DatabaseId Old = Leader_;
    Leader_ = Id;
    recordEvent(Id + " promoted in place of " + Old);
    ++Promotions_;
    for (const auto &[Term, Acks] : Acknowledged_) {
      std::uint64_t Kept = Next.heldIndex(Term);
      std::uint64_t &Least =
          SurvivingIndex_.try_emplace(Term, Kept).first->second;
      Least = std::min(Least, Kept);
    }
    Next.Terms.push_back({++Term_, Next.Size});
    Next.Term = Term_;
    Next.PausedTerm = 0;
    Next.Listing.Role = DatabaseRole::Primary;
    ++ListRevision_;
    replicate(Id);
    demoteLater(Old, Id);
  });
}

/// Demotes a replaced primary to a replica after a second, or later once it is
/// up and reaches the new primary.
void Simulation::demoteLater(const DatabaseId &Old, const DatabaseId &Next) {
  after(DemotionDelay, [this, Old, Next] {
    if (Leader_ != Next)
      return;
    Database &Former = database(Old);
    if (!Former.Up || ReplicationCuts_.contains(std::minmax(Old, Next))) {
      demoteLater(Old, Next);
      return;
    }
    Former.Listing.Role = DatabaseRole::Replica;
    ++ListRevision_;
    replicate(Next);
  });
}

CallerSessionId Simulation::open(std::size_t Index, const std::string &Route) {
  CallerSessionId Id = ++LastSession_;
  Routes_[Id] = Route;
  Hosts_[Index]->Engine->sessions().open(Id, Route, Now_);
  return Id;
}

void Simulation::send(std::size_t Index, CallerSessionId Session,
                      StatementVerb Verb, const std::string &Text) {
  CallerStatement Statement;
  Statement.Id = std::to_string(++LastStatement_);
  Statement.Verb = Verb;
  switch (Verb) {
  case StatementVerb::Read:
    Statement.Text = "READ " + Text;
    break;
  case StatementVerb::Write:
    Statement.Text = "WRITE " + Text;
    break;
  case StatementVerb::Commit:
    Statement.Text = "COMMIT";
    break;
  case StatementVerb::SetVariable:
    Statement.Name = Text;
    Statement.Argument = Text;
    break;
  default:
    break;
  }
  Answers_.erase(Session);
  PendingStatement Pending;
  Pending.StatementId = Statement.Id;
  Pending.SentAt = Now_;
  Pending.Verb = Verb;
  Pending.Text = Text;
  Pending.Route = Routes_[Session];
  Pending_[Session] = Pending;
  atHost(Index, Milliseconds{0}, [this, Index, Session, Statement] {
    Hosts_[Index]->Engine->sessions().onStatement(Session, Statement, Now_);
  });
}

void Simulation::recordAnswer(CallerSessionId Session,
                              const StatementAnswer &Answer) {
  Answers_[Session] = Answer;
  auto Found = Pending_.find(Session);
  if (Found == Pending_.end())
    return;
  PendingStatement Pending = std::move(Found->second);
  Pending_.erase(Found);
  bool Done = Answer.Code == StatementCode::Done;
  if (Done && Pending.Commit) {
    std::vector<Ack> &Acks = Acknowledged_[Pending.Commit->Term];
    std::uint64_t Index = Pending.Commit->Index;
    std::uint64_t Before = Acks.empty() ? 0 : Acks.back().MaxIndex;
    Acks.push_back({Now_, Index, std::max(Before, Index)});
    OwnWrites_[Session] = *Pending.Commit;
    ++Writes_;
    if (Pending.AfterPromotion)
      recordEvent("write acknowledged after a promotion, session " +
                  std::to_string(Session));
    if (Pending.AfterPromotion)
      Violations_.push_back("a write was acknowledged at " + Pending.Database +
                            " after another database was promoted");
  }
  if (Done && Pending.HasRead) {
    ++Reads_;
    Missing_.insert(Missing_.end(), Pending.Missing.begin(),
                    Pending.Missing.end());
  }
  bool MeansNothingKept = Answer.Code == StatementCode::Busy ||
                          Answer.Code == StatementCode::Aborted ||
                          Answer.Code == StatementCode::ReadOnly ||
                          Answer.Code == StatementCode::Behind;
  if (MeansNothingKept && Pending.Commit)
    Violations_.push_back(
        "a commit was answered with a code that means nothing was kept");
}

std::optional<StatementAnswer>
Simulation::answerOf(CallerSessionId Session) const {
  auto Found = Answers_.find(Session);
  if (Found == Answers_.end())
    return std::nullopt;
  return Found->second;
}

StatementAnswer Simulation::ask(std::size_t Index, CallerSessionId Session,
                                StatementVerb Verb, const std::string &Text) {
  send(Index, Session, Verb, Text);
  for (int Step = 0; Step < 1000 && !answerOf(Session); ++Step)
    run(Milliseconds{5});
  return answerOf(Session).value();
}

void Simulation::nextStatement(std::size_t Index, CallerSessionId Session,
                               const std::string &Route, TimePoint Until) {
  if (Now_ >= Until)
    return;
  std::uint64_t Incarnation = Hosts_[Index]->Incarnation;
  if (!Pending_.contains(Session)) {
    bool Writes = Route != "bounded" &&
                  std::uniform_int_distribution<>(0, 2)(Random_) == 0;
    send(Index, Session, Writes ? StatementVerb::Write : StatementVerb::Read);
  }
  Milliseconds Pause{std::uniform_int_distribution<>(5, 60)(Random_)};
  after(Pause, [this, Index, Session, Route, Until, Incarnation] {
    if (Hosts_[Index]->Incarnation == Incarnation) {
      nextStatement(Index, Session, Route, Until);
      return;
    }
    // The host's process ended, and the session with it.
    Pending_.erase(Session);
    nextStatement(Index, open(Index, Route), Route, Until);
  });
}

void Simulation::startCallers(std::size_t PerHost, Milliseconds Span) {
  for (std::size_t Index = 0; Index < Hosts_.size(); ++Index)
    for (std::size_t Count = 0; Count < PerHost; ++Count)
      for (const char *Route : {"primary", "bounded", "own"})
        nextStatement(Index, open(Index, Route), Route, Now_ + Span);
}

std::vector<std::string> Simulation::violations() const {
  std::vector<std::string> All = Violations_;
  // Reads need not see commits that a promotion rolled back.
  for (const MissingCommits &Gap : Missing_) {
    auto Limit = SurvivingIndex_.find(Gap.Term);
    std::uint64_t Needed = Limit == SurvivingIndex_.end()
                               ? Gap.Needed
                               : std::min(Gap.Needed, Limit->second);
    auto Acks = Acknowledged_.find(Gap.Term);
    bool Kept =
        Acks != Acknowledged_.end() &&
        std::any_of(Acks->second.begin(), Acks->second.end(),
                    [&](const Ack &Known) {
                      return Known.Index > Gap.Held && Known.Index <= Needed;
                    });
    if (Kept)
      All.push_back("a read at " + Gap.Database +
                    " did not see commits of term " + std::to_string(Gap.Term) +
                    " after index " + std::to_string(Gap.Held));
  }
  return All;
}

void Simulation::recordEvent(const std::string &Line) {
  auto Since = Now_ - TimePoint(std::chrono::hours(1));
  Trace_.push_back(
      std::to_string(std::chrono::floor<Milliseconds>(Since).count()) + " " +
      Line);
}

DatabaseId Simulation::leader() const { return Leader_; }

SessionEngine &Simulation::engine(std::size_t Index) {
  return *Hosts_[Index]->Engine;
}

std::size_t Simulation::connectionsOf(const DatabaseId &Id) const {
  std::size_t Count = 0;
  for (const auto &At : Hosts_)
    for (const auto &[Connection, Used] : At->Connections)
      Count += Used->Database == Id ? 1 : 0;
  return Count;
}

void Simulation::cutHostFromDatabase(std::size_t Index, const DatabaseId &Id,
                                     bool Cut) {
  if (Cut)
    DatabaseCuts_.emplace(Index, Id);
  else
    DatabaseCuts_.erase({Index, Id});
}

void Simulation::cutHostFromStore(std::size_t Index, bool Cut) {
  if (Cut)
    StoreCuts_.insert(Index);
  else
    StoreCuts_.erase(Index);
}

void Simulation::cutHosts(std::size_t A, std::size_t B, bool Cut) {
  if (Cut)
    HostCuts_.insert(std::minmax(A, B));
  else
    HostCuts_.erase(std::minmax(A, B));
}

void Simulation::cutReplication(const DatabaseId &A, const DatabaseId &B,
                                bool Cut) {
  if (Cut)
    ReplicationCuts_.insert(std::minmax(A, B));
  else
    ReplicationCuts_.erase(std::minmax(A, B));
}

void Simulation::pauseHost(std::size_t Index, Milliseconds Span) {
  Hosts_[Index]->PausedUntil = Now_ + Span;
}

void Simulation::restartHost(std::size_t Index) { startHost(Index); }

void Simulation::crashDatabase(const DatabaseId &Id, Milliseconds Down) {
  Database &Crashed = database(Id);
  Crashed.Up = false;
  Crashed.PausedTerm = 0;
  ++Crashed.Incarnation;
  ++ListRevision_;
  for (auto &At : Hosts_) {
    std::vector<std::shared_ptr<DatabaseConnection>> Broken;
    for (auto &[Connection, Used] : At->Connections)
      if (Used->Database == Id)
        Broken.push_back(Used);
    for (const std::shared_ptr<DatabaseConnection> &Used : Broken) {
      std::size_t Index = Used->Host;
      At->Connections.erase(Used->Id);
      atHost(Index, DatabaseLatency, [this, Index, Used] {
        if (!std::exchange(Used->Open, false))
          return;
        Hosts_[Index]->Engine->runner().onClosed(Used->Id, Now_);
      });
    }
  }
  after(Down, [this, Id] {
    Database &Back = database(Id);
    Back.Up = true;
    ++ListRevision_;
    if (Id == Leader_)
      return;
    Back.Listing.Role = DatabaseRole::Replica;
    replicate(Leader_);
  });
}

void Simulation::setDraining(const DatabaseId &Id) {
  database(Id).Listing.Draining = true;
  ++ListRevision_;
}

void Simulation::refuseNextStatements(const DatabaseId &Id, std::size_t Count) {
  database(Id).StatementsToRefuse = Count;
}

void Simulation::setResetsConnections(const DatabaseId &Id,
                                      bool ResetsConnections) {
  database(Id).ResetsConnections = ResetsConnections;
}

void Simulation::setReplicationLag(const DatabaseId &Id, Milliseconds Lag) {
  database(Id).Lag = Lag;
}

} // namespace nutmegloom
