#include "tests/sessions/simulationstate.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

namespace {

const GroupId Group = "g";
constexpr Milliseconds HostLatency{2};
/// Time after which a host gives up a store call without an answer.
constexpr Milliseconds StoreTimeout{900};

} // namespace

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
                                         const DatabaseListing &Listing,
                                         const AccountName &) {
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
          auto Listed = Store_.Registered;
          return [this, Index, Listed, BegunAt] {
            Hosts_[Index]->Engine->applyHosts(Listed, BegunAt);
          };
        },
        [] {});
  };
  Hooks.Promotions.ListDatabases = [this, Index] { readDatabases(Index); };
  Hooks.Promotions.Promote =
      [this, Index](const GroupId &Name, const DatabaseId &Id,
                    std::uint64_t Token) { promote(Index, Name, Id, Token); };
  Hooks.Promotions.Write = [this, Index](const LeadershipRecord &Record,
                                         StoreRevision Expected) {
    auto OnConflict = [this, Index, Record] {
      Hosts_[Index]->Engine->onRecordWritten(Record.Group,
                                             WriteOutcome::Conflict, {}, Now_);
    };
    if (!maySendCondition(Index, Expected)) {
      atHost(Index, Milliseconds{0}, OnConflict);
      return;
    }
    std::uint64_t Era = Hosts_[Index]->StoreEra;
    storeCall(
        Index, true,
        [this, Index, Record, Expected, Era]() -> std::function<void()> {
          StoreRevision Present = Store_.Records.contains(Record.Group)
                                      ? Store_.Records[Record.Group].Revision
                                      : StoreRevision();
          LeadershipRecord Current;
          WriteOutcome Outcome = WriteOutcome::Conflict;
          if (Present.Number == Expected.Number) {
            Current = Record;
            Current.WrittenInEra = Era;
            Current.Revision = StoreRevision(++Store_.Revision, StoreEra_);
            Store_.Records[Record.Group] = Current;
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
                                              StoreRevision Expected) {
    auto OnConflict = [this, Index] {
      Hosts_[Index]->Engine->promotions().lease().onWritten(
          WriteOutcome::Conflict, {}, Now_);
    };
    if (!maySendCondition(Index, Expected)) {
      atHost(Index, Milliseconds{0}, OnConflict);
      return;
    }
    std::uint64_t Era = Hosts_[Index]->StoreEra;
    storeCall(
        Index, true,
        [this, Index, Lease, Expected, Era]() -> std::function<void()> {
          PromotionLease Current;
          WriteOutcome Outcome = WriteOutcome::Conflict;
          if (Store_.Lease.Revision.Number == Expected.Number) {
            Current = Lease;
            Current.WrittenInEra = Era;
            Current.Revision = StoreRevision(++Store_.Revision, StoreEra_);
            Store_.Lease = Current;
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
  At.StoreEra = 0;
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
  At.Engine->applyConfiguration(Configuration, Now_);
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
  std::uint64_t SentInEra = Hosts_[Index]->StoreEra;
  after(Delay,
        [this, Index, Lost, IsWrite, SentInEra, Execute = std::move(Execute),
         OnFailure = std::move(OnFailure)] {
          std::function<void()> Answer = Execute();
          if (Lost)
            return;
          atHost(Index, StoreDelay_ / 2,
                 [this, Index, IsWrite, SentInEra, Era = StoreEra_, Answer,
                  OnFailure] {
                   if (followEra(Index, Era, IsWrite, SentInEra))
                     Answer();
                   else
                     OnFailure();
                 });
        });
}

bool Simulation::followEra(std::size_t Index, std::uint64_t Answered,
                           bool IsWrite, std::uint64_t SentInEra) {
  Host &At = *Hosts_[Index];
  if (Answered < At.StoreEra)
    return false;
  if (Answered > At.StoreEra) {
    At.StoreEra = Answered;
    At.Engine->promotions().lease().onAbsent(Answered, Now_);
    // The list of hosts may have been restored without this one.
    At.Registered = false;
  }
  return !IsWrite || Answered == SentInEra;
}

bool Simulation::maySendCondition(std::size_t Index,
                                  StoreRevision Expected) const {
  return !Expected.isSet() || Expected.Era == Hosts_[Index]->StoreEra;
}

void Simulation::copyStore() { StoreCopy_ = Store_; }

void Simulation::restoreStore() {
  Store_ = StoreCopy_;
  ++StoreEra_;
  recordEvent("the store is restored, era " + std::to_string(StoreEra_));
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
        for (const auto &[Name, Record] : Store_.Records) {
          Shown.push_back(Record);
          Shown.back().Revision.Era = StoreEra_;
        }
        PromotionLease Lease = Store_.Lease;
        Lease.Revision.Era = StoreEra_;
        std::vector<DatabaseListing> Listed = listings();
        StoreRevision ListRevision(ListRevision_, StoreEra_);
        return [this, Index, Shown, Lease, Listed, ListRevision, BegunAt] {
          Host &Reader = *Hosts_[Index];
          Reader.Reading = false;
          Reader.Engine->setReachesStore(true, Now_);
          Reader.Engine->promotions().lease().onRead(Lease, Now_);
          Reader.Engine->applyRecords(Shown, BegunAt, Now_, ListRevision.Era);
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

void Simulation::readDatabases(std::size_t Index) {
  TimePoint BegunAt = Now_;
  storeCall(
      Index, false,
      [this, Index, BegunAt] {
        return [this, Index, Listed = listings(),
                Revision = StoreRevision(ListRevision_, StoreEra_), BegunAt] {
          SessionEngine &Engine = *Hosts_[Index]->Engine;
          Engine.applyDatabases(Listed, Revision, Now_);
          Engine.promotions().setDatabasesListedAt(BegunAt);
        };
      },
      [] {});
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
            Store_.Registered[Name] = {Name, "zone", "region"};
          return [this, Index] {
            Host &Applied = *Hosts_[Index];
            Applied.Engine->applyHosts(Store_.Registered, Now_);
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

} // namespace nutmegloom
