#include "tests/sessions/simulationstate.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

namespace {

constexpr Milliseconds ServiceTime{3};
/// A statement with this text takes longer than its time-out.
constexpr std::string_view SlowText = "slow";
constexpr Milliseconds SlowServiceTime{1500};
constexpr Milliseconds PromotionDelay{300};
constexpr Milliseconds DemotionDelay{1000};

} // namespace

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
    On.Prepared[Command.Name] = {Command.Access, Command.Text};
    if (!On.NamesUsed.insert(Command.Name).second)
      Violations_.push_back("the name " + Command.Name +
                            " was given twice on a connection");
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
    std::optional<PreparedShape> Prepared;
    if (!Command.Name.empty()) {
      auto Found = On.Prepared.find(Command.Name);
      if (Found == On.Prepared.end()) {
        Fail(StatementCode::UnknownName);
        break;
      }
      Prepared = Found->second;
    }
    Executions_.push_back({On.Database, Command.Text, On.Variables,
                           InTransaction, Command.Name, Prepared});
    bool Lost =
        InTransaction && !On.ReadOnly && (!Leads || At.Term != On.BegunTerm);
    bool IsCommit = Command.Text == "COMMIT";
    bool IsWrite = Prepared ? Prepared->Access == StatementKind::Write
                            : Command.Text.starts_with("WRITE");
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
