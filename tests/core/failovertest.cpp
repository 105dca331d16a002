#include "core/failover.h"
#include "controlleddatabase.h"
#include "core/ownership.h"
#include "core/termcheck.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <memory>
#include <set>
#include <sstream>

namespace nutmegloom {

namespace {

constexpr std::size_t Promoters = 3;
constexpr Milliseconds Step{20};
const GroupId Group = "salas-db/0";

/// Simulates three promoters and the databases of one group, with its own clock
/// and network. Checks the safety invariants at each step and each promotion.
class FailoverSimulation {
public:
  explicit FailoverSimulation(std::size_t Members);

  /// Injects a fault, writes, or lets time pass. Event selects which; Argument
  /// selects the hosts and databases or the duration.
  void injectFault(unsigned Event, unsigned Argument);
  void run(Milliseconds Span);
  /// Ends all faults, except that the given databases are down.
  void clearFaults(const std::set<std::size_t> &Failed);
  /// Writes an entry and runs for one second. Returns true if the entry was
  /// confirmed and every running database holds it.
  bool isServing();

private:
  struct Host {
    std::string Name;
    Tables Data;
    std::unique_ptr<OwnershipSystem> Owners;
    std::unique_ptr<FailoverSystem> Failover;
    std::unique_ptr<TermCheck> Check;
    bool Paused = false;
    std::set<std::size_t> Unreachable;
  };
  struct Message {
    TimePoint At;
    /// Host that receives the message; null for a message to a database.
    const Host *Receiver;
    std::function<void()> Deliver;
  };

  void makeHost(std::size_t Index);
  std::size_t indexOf(const DatabaseId &Id) const;
  /// Indexes of the databases whose bits are set.
  std::set<std::size_t> membersOf(unsigned Mask) const;
  /// Sends a message between a host and a database, in either direction. Drops
  /// it if the database is down, the host cannot reach it or a loss was
  /// injected.
  void send(Host &Promoter, std::size_t DatabaseIndex, const Host *Receiver,
            std::function<void()> Deliver);
  void poll(Host &From, const DatabaseId &Id, std::uint64_t After,
            Milliseconds Wait);
  void answerPoll(Host &From, std::size_t Index, std::uint64_t After,
                  TimePoint SentAt, TimePoint Until, std::uint64_t Term);
  void control(Host &From, const ControlRequest &Request);
  void onPromoted(const ControlledDatabase &Primary);
  void writeAtPrimaries();
  void deliver();
  void step();
  void recordConfirmed();
  void checkTerms();

  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  Policy Limits_;
  std::uint64_t Random_ = 1;
  std::vector<ControlledDatabase> Databases_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::vector<Message> Messages_;
  /// Databases that take no part in replication.
  std::set<std::size_t> BlockedReplicas_;
  unsigned MessagesToDrop_ = 0;
  unsigned MessagesToDelay_ = 0;
  /// State of each term's primary when it was promoted.
  std::map<std::uint64_t, ControlledDatabase> Promoted_;
  std::set<Position> Written_;
  /// Confirmed entries, with the term under which they were confirmed.
  std::map<Position, std::uint64_t> Confirmed_;
};

FailoverSimulation::FailoverSimulation(std::size_t Members) {
  for (std::size_t Index = 0; Index < Members; ++Index) {
    ControlledDatabase Database;
    Database.Id = "salas-db-0-" + std::to_string(Index);
    Database.Primary = "salas-db-0-0";
    Database.Log = {1};
    Database.LastPrimaryContact = Now_;
    Databases_.push_back(Database);
  }
  Databases_[0].Role = DatabaseRole::Primary;
  for (std::size_t Index = 0; Index < Promoters; ++Index)
    makeHost(Index);
}

void FailoverSimulation::makeHost(std::size_t Index) {
  auto NewHost = std::make_unique<Host>();
  Host &Self = *NewHost;
  Self.Name = "entry-" + std::to_string(Index);
  GroupEntity Entity;
  Entity.Id = Group;
  Entity.Active = true;
  for (const ControlledDatabase &Database : Databases_) {
    DatabaseEntity &Member = Self.Data.Databases[Database.Id];
    Member.Id = Member.ControlAddress = Database.Id;
    Member.Group = Group;
    Member.Region = "lima";
    Entity.Members.push_back(Database.Id);
  }
  Self.Data.Groups[Group] = Entity;
  for (std::size_t Other = 0; Other < Promoters; ++Other) {
    HostEntity &Known = Self.Data.Hosts["entry-" + std::to_string(Other)];
    Known.Name = "entry-" + std::to_string(Other);
    Known.Region = "lima";
    Known.State = HostState::Ready;
  }
  Self.Owners = std::make_unique<OwnershipSystem>(Self.Data, Self.Name);
  Self.Check = std::make_unique<TermCheck>(Self.Data, Limits_);
  FailoverSystem::Hooks Hooks;
  Hooks.SendControl = [this, &Self](const ControlRequest &Request) {
    control(Self, Request);
  };
  Hooks.PollStatus = [this, &Self](const DatabaseId &Id, std::uint64_t After,
                                   Milliseconds Wait) {
    poll(Self, Id, After, Wait);
  };
  Hooks.Random = [this] { return Random_ = Random_ * 6364136223846793005 + 1; };
  Self.Failover = std::make_unique<FailoverSystem>(
      Self.Data, Limits_, *Self.Owners, Self.Name + "#1", Hooks);
  Hosts_.push_back(std::move(NewHost));
}

std::size_t FailoverSimulation::indexOf(const DatabaseId &Id) const {
  return static_cast<std::size_t>(Id.back() - '0');
}

void FailoverSimulation::send(Host &Promoter, std::size_t DatabaseIndex,
                              const Host *Receiver,
                              std::function<void()> Deliver) {
  if (Promoter.Unreachable.contains(DatabaseIndex) ||
      !Databases_[DatabaseIndex].Up)
    return;
  if (MessagesToDrop_ > 0) {
    --MessagesToDrop_;
    return;
  }
  Milliseconds Delay{8};
  if (MessagesToDelay_ > 0) {
    --MessagesToDelay_;
    Delay = Milliseconds(100 + 300 * (MessagesToDelay_ % 7));
  }
  Messages_.push_back({Now_ + Delay, Receiver, std::move(Deliver)});
}

void FailoverSimulation::poll(Host &From, const DatabaseId &Id,
                              std::uint64_t After, Milliseconds Wait) {
  const std::size_t Index = indexOf(Id);
  send(From, Index, nullptr, [this, &From, Index, After, Wait, SentAt = Now_] {
    answerPoll(From, Index, After, SentAt, Now_ + Wait,
               Databases_[Index].PromisedTerm);
  });
}

void FailoverSimulation::answerPoll(Host &From, std::size_t Index,
                                    std::uint64_t After, TimePoint SentAt,
                                    TimePoint Until, std::uint64_t Term) {
  const ControlledDatabase &Database = Databases_[Index];
  if (!Database.Up)
    return;
  if (Database.Log.size() <= After && Database.PromisedTerm == Term &&
      Now_ < Until) {
    Messages_.push_back({Now_ + Step, nullptr, [=, this, &From] {
                           answerPoll(From, Index, After, SentAt, Until, Term);
                         }});
    return;
  }
  send(From, Index, &From,
       [this, &From, SentAt, Status = Database.status(Now_)] {
         From.Failover->onStatus(Status, SentAt, Now_);
       });
}

void FailoverSimulation::control(Host &From, const ControlRequest &Request) {
  const std::size_t Index = indexOf(Request.Database);
  send(From, Index, nullptr, [this, &From, Request, Index, SentAt = Now_] {
    ControlledDatabase &Database = Databases_[Index];
    if (!Database.Up)
      return;
    const bool WasPrimary = Database.Role == DatabaseRole::Primary;
    const bool Granted = Database.execute(Request);
    if (!WasPrimary && Database.Role == DatabaseRole::Primary)
      onPromoted(Database);
    send(From, Index, &From,
         [this, &From, Request, Granted, SentAt,
          Status = Database.status(Now_)] {
           if (Granted)
             From.Failover->onControlGranted(Request, Status, SentAt, Now_);
           else
             From.Failover->onControlRefused(Request, Status.Term, Now_);
         });
  });
}

void FailoverSimulation::onPromoted(const ControlledDatabase &Primary) {
  RC_ASSERT(!Promoted_.contains(Primary.PromisedTerm));
  Promoted_[Primary.PromisedTerm] = Primary;
  for (const auto &[Entry, Term] : Confirmed_)
    RC_ASSERT(Term >= Primary.PromisedTerm || Primary.holds(Entry));
  checkTerms();
}

// Guards against a host that returns the answer of a replaced primary: no term
// check may hold for a term before the newest one.
void FailoverSimulation::checkTerms() {
  const std::uint64_t Newest =
      Promoted_.empty() ? 1 : Promoted_.rbegin()->first;
  for (const auto &Host : Hosts_)
    for (std::uint64_t Term = 1; Term < Newest; ++Term)
      RC_ASSERT(!Host->Check->hasRecentMajority(Group, Term, Now_));
}

void FailoverSimulation::recordConfirmed() {
  for (const auto &Host : Hosts_) {
    const std::uint64_t Term = Host->Data.Groups[Group].Term;
    for (const Position &Entry : Written_) {
      // When OutcomeResolver resolves a write, the log entry that it confirms
      // may be of an earlier term than the primary's.
      if (Entry.Term > Term || Confirmed_.contains(Entry) ||
          !Host->Check->isConfirmed(Group, Term, Entry))
        continue;
      Confirmed_.emplace(Entry, Term);
      for (const auto &[Later, Primary] : Promoted_)
        RC_ASSERT(Later <= Term || Primary.holds(Entry));
    }
  }
}

void FailoverSimulation::writeAtPrimaries() {
  for (ControlledDatabase &Database : Databases_)
    if (Database.Up && Database.Role == DatabaseRole::Primary) {
      Database.Log.push_back(Database.PromisedTerm);
      Written_.insert({Database.PromisedTerm, Database.Log.size()});
    }
}

void FailoverSimulation::deliver() {
  std::vector<Message> Due;
  std::erase_if(Messages_, [&](Message &Entry) {
    // A paused host receives its messages when it resumes.
    if (Entry.At > Now_ || (Entry.Receiver && Entry.Receiver->Paused))
      return false;
    Due.push_back(std::move(Entry));
    return true;
  });
  for (const Message &Entry : Due)
    Entry.Deliver();
}

void FailoverSimulation::step() {
  Now_ += Step;
  deliver();
  for (ControlledDatabase &Database : Databases_)
    if (const std::size_t Index = indexOf(Database.Id),
        Source = indexOf(Database.Primary);
        !BlockedReplicas_.contains(Index) && !BlockedReplicas_.contains(Source))
      Database.pullFrom(Databases_[Source], Now_);
  for (const auto &Host : Hosts_)
    if (!Host->Paused)
      Host->Failover->tick(Now_);
  recordConfirmed();
  checkTerms();
}

void FailoverSimulation::run(Milliseconds Span) {
  for (Milliseconds Passed{0}; Passed < Span; Passed += Step)
    step();
}

std::set<std::size_t> FailoverSimulation::membersOf(unsigned Mask) const {
  std::set<std::size_t> Members;
  for (std::size_t Index = 0; Index < Databases_.size(); ++Index)
    if ((Mask >> Index & 1U) != 0)
      Members.insert(Index);
  return Members;
}

void FailoverSimulation::injectFault(unsigned Event, unsigned Argument) {
  const std::size_t Database = Argument % Databases_.size();
  const unsigned Mask = Argument / 32;
  Host &Chosen = *Hosts_[Argument % Promoters];
  switch (Event) {
  case 0:
    Databases_[Database].Up = !Databases_[Database].Up;
    break;
  case 1:
    Chosen.Unreachable = membersOf(Mask);
    break;
  case 2:
    BlockedReplicas_ = membersOf(Mask);
    break;
  case 3:
    Chosen.Paused = !Chosen.Paused;
    break;
  case 4:
    // A host that suspects all others considers itself the coordinator.
    for (auto &[Name, Known] : Chosen.Data.Hosts)
      Known.Suspected = Name != Chosen.Name && !Known.Suspected;
    break;
  case 5:
    MessagesToDrop_ = Argument % 16;
    break;
  case 6:
    MessagesToDelay_ = Argument % 32;
    break;
  case 7:
    run(Milliseconds(100 * (Argument % 32)));
    break;
  case 8:
    Databases_[Database].Leaving = !Databases_[Database].Leaving;
    break;
  case 9:
  case 10:
  case 11: {
    // Writes reach only some of the members, and others take part in the next
    // promotion.
    BlockedReplicas_ = membersOf(Argument / 1024);
    writeAtPrimaries();
    run(Milliseconds(200));
    const std::set<std::size_t> Down = membersOf(Mask);
    if (Down.size() * 2 < Databases_.size())
      for (std::size_t Index = 0; Index < Databases_.size(); ++Index)
        Databases_[Index].Up = !Down.contains(Index);
    run(Milliseconds(2500));
    break;
  }
  default:
    writeAtPrimaries();
    run(Step * (Argument % 8));
  }
}

void FailoverSimulation::clearFaults(const std::set<std::size_t> &Failed) {
  for (std::size_t Index = 0; Index < Databases_.size(); ++Index) {
    Databases_[Index].Up = !Failed.contains(Index);
    Databases_[Index].Leaving = false;
  }
  BlockedReplicas_.clear();
  MessagesToDrop_ = MessagesToDelay_ = 0;
  for (const auto &Host : Hosts_) {
    Host->Paused = false;
    Host->Unreachable.clear();
    for (auto &[Name, Known] : Host->Data.Hosts)
      Known.Suspected = false;
  }
}

bool FailoverSimulation::isServing() {
  const std::uint64_t Newest =
      Promoted_.empty() ? 1 : Promoted_.rbegin()->first;
  writeAtPrimaries();
  Position Entry;
  for (const ControlledDatabase &Database : Databases_)
    if (Database.Role == DatabaseRole::Primary &&
        Database.PromisedTerm == Newest)
      Entry = {Newest, Database.Log.size()};
  run(Milliseconds(1000));
  for (const ControlledDatabase &Database : Databases_)
    if (Database.Up && (Entry.Term == 0 || !Database.holds(Entry)))
      return false;
  return Confirmed_.contains(Entry);
}

} // namespace

class FailoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailoverTest);
  CPPUNIT_TEST(preservesInvariantsWithThreeDatabases);
  CPPUNIT_TEST(preservesInvariantsWithFiveDatabases);
  CPPUNIT_TEST(replacesAFailedPrimaryWithinTheTarget);
  CPPUNIT_TEST(ignoresAnOutOfOrderStatus);
  CPPUNIT_TEST(countsOnlyMembersOfThePrimarysTerm);
  CPPUNIT_TEST(waitsFromTheGrantThatCompletesAMajority);
  CPPUNIT_TEST(neverReusesATerm);
  CPPUNIT_TEST_SUITE_END();

  // Guards against two primaries in one term, the loss of a confirmed write, a
  // term check that still holds after a promotion, and promoters that block
  // each other.
  static void preservesInvariants(std::size_t Members) {
    rc::detail::TestParams Params;
    Params.seed = 20261204 + Members;
    Params.maxSuccess = 300;
    Params.maxSize = 60;
    const auto Result = rc::detail::checkTestable(
        [Members] {
          FailoverSimulation Sim(Members);
          Sim.run(Milliseconds(400));
          // Integers are generated at the nominal size, because smaller sizes
          // leave out the upper part of the range.
          const auto Below = [](unsigned Bound) {
            return rc::gen::resize(rc::kNominalSize,
                                   rc::gen::inRange(0U, Bound));
          };
          const auto Events =
              *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
                  rc::gen::pair(Below(14), Below(32768)));
          for (const auto &[Event, Argument] : Events)
            Sim.injectFault(Event, Argument);
          std::set<std::size_t> Failed;
          const unsigned First = *Below(5);
          for (std::size_t Index = 0; Index < Members / 2; ++Index)
            Failed.insert((First + Index) % Members);
          Sim.clearFaults(Failed);
          Sim.run(Milliseconds(20000));
          RC_ASSERT(Sim.isServing());
        },
        rc::detail::TestMetadata(), Params);
    if (Result.template is<rc::detail::SuccessResult>())
      return;
    std::ostringstream Text;
    Text << "seed " << Params.seed << ", " << Members << " members: ";
    rc::detail::printResultMessage(Result, Text);
    CPPUNIT_FAIL(Text.str());
  }

  void preservesInvariantsWithThreeDatabases() { preservesInvariants(3); }
  void preservesInvariantsWithFiveDatabases() { preservesInvariants(5); }

  // Writes are unavailable until the failover is complete, so it must end
  // within two seconds.
  void replacesAFailedPrimaryWithinTheTarget() {
    FailoverSimulation Sim(3);
    Sim.run(Milliseconds(1000));
    CPPUNIT_ASSERT(Sim.isServing());
    Sim.clearFaults({0});
    Sim.run(Milliseconds(2000));
    CPPUNIT_ASSERT(Sim.isServing());
  }

  // Guards against a delayed status that restores an older term and log.
  void ignoresAnOutOfOrderStatus() {
    Tables Data;
    Data.Groups["g"].Members = {"d"};
    Data.Databases["d"].Id = "d";
    Data.Databases["d"].Group = "g";
    const OwnershipSystem Owners(Data, "entry");
    const Policy Limits;
    FailoverSystem Failover(Data, Limits, Owners, "entry", {});
    const TimePoint Start{std::chrono::seconds(10)};
    DatabaseStatus Status;
    Status.Database = "d";
    Status.Role = DatabaseRole::Primary;
    Status.Term = 5;
    Failover.onStatus(Status, Start + Milliseconds(2), Start + Milliseconds(3));
    Status.Term = 4;
    Failover.onStatus(Status, Start + Milliseconds(1), Start + Milliseconds(4));
    CPPUNIT_ASSERT(Data.Databases["d"].Status.Term == 5);
    // A later status of a lower term is stored, but the group keeps its term.
    Failover.onStatus(Status, Start + Milliseconds(5), Start + Milliseconds(6));
    CPPUNIT_ASSERT(Data.Groups["g"].Term == 5);
  }

  /// One promoter of a group of three databases. The primary "p" does not
  /// report again after its first status, unless a test makes it.
  struct Promoter {
    Tables Data;
    Policy Limits;
    std::vector<ControlRequest> Sent;
    std::unique_ptr<OwnershipSystem> Owners;
    std::unique_ptr<FailoverSystem> Failover;
    TimePoint Now = TimePoint(std::chrono::hours(1));

    Promoter() {
      Data.Hosts["entry"].Name = "entry";
      Data.Hosts["entry"].State = HostState::Ready;
      Data.Groups["g"].Id = "g";
      Data.Groups["g"].Members = {"p", "r1", "r2"};
      for (const char *Id : {"p", "r1", "r2"}) {
        Data.Databases[Id].Id = Id;
        Data.Databases[Id].Group = "g";
      }
      Owners = std::make_unique<OwnershipSystem>(Data, "entry");
      Failover = std::make_unique<FailoverSystem>(
          Data, Limits, *Owners, "entry#1",
          FailoverSystem::Hooks{
              [this](const ControlRequest &Each) { Sent.push_back(Each); },
              [](const DatabaseId &, std::uint64_t, Milliseconds) {},
              [] { return std::uint64_t(0); },
              {}});
      report("p", DatabaseRole::Primary, 1);
    }

    DatabaseStatus report(const DatabaseId &Id, DatabaseRole Role,
                          std::uint64_t Term, std::uint64_t LogTerm = 1) {
      DatabaseStatus Status;
      Status.Database = Id;
      Status.Role = Role;
      Status.Term = Term;
      Status.LogTerm = LogTerm;
      Status.Received = 4 + (LogTerm > 1 ? 1 : 0);
      Status.Terms = {{1, 0}};
      if (LogTerm > 1)
        Status.Terms.push_back({LogTerm, 4});
      Status.PrimaryContact = Milliseconds(5000);
      Failover->onStatus(Status, Now, Now);
      return Status;
    }

    /// Advances the clock by Span. At each step the replicas report the
    /// promised term.
    void advance(Milliseconds Span, std::uint64_t PromisedTerm) {
      for (const TimePoint End = Now + Span; Now < End; Now += Step) {
        report("r1", DatabaseRole::Replica, PromisedTerm);
        report("r2", DatabaseRole::Replica, PromisedTerm);
        Failover->tick(Now);
      }
    }
  };

  // Guards against acknowledging a write that is then lost. The next promotion
  // may discard the entry at a member that is fenced or whose log ends in an
  // earlier term, so such a member must not count towards the majority.
  void countsOnlyMembersOfThePrimarysTerm() {
    Promoter Self;
    const TermCheck Check(Self.Data, Self.Limits);
    Self.report("p", DatabaseRole::Primary, 3, 3);
    Self.report("r1", DatabaseRole::Replica, 3, 1);
    Self.report("r2", DatabaseRole::Fenced, 4, 3);
    CPPUNIT_ASSERT(!Check.isConfirmed("g", 3, {1, 4}));
    CPPUNIT_ASSERT(Check.confirmedIndex("g") == 0);
    Self.report("r1", DatabaseRole::Replica, 3, 3);
    CPPUNIT_ASSERT(Check.isConfirmed("g", 3, {1, 4}));
    CPPUNIT_ASSERT(Check.confirmedIndex("g") == 5);
  }

  // Guards against a wait that begins at the first grant: it would end while a
  // term check based on the other members still holds.
  void waitsFromTheGrantThatCompletesAMajority() {
    Promoter Self;
    Self.advance(Milliseconds(1100), 1);
    CPPUNIT_ASSERT(Self.Failover->phaseOf("g") == FailoverPhase::Fencing);
    const auto Grant = [&Self](const DatabaseId &Id) {
      const DatabaseStatus Status = Self.report(Id, DatabaseRole::Fenced, 2);
      Self.Failover->onControlGranted(
          {ControlCommand::Fence, Id, 2, "entry#1", {}}, Status, Self.Now,
          Self.Now);
    };
    const auto IsPromoteSent = [&Self] {
      return Self.Sent.back().Command == ControlCommand::Promote;
    };
    Grant("r1");
    Self.advance(Milliseconds(460), 2);
    CPPUNIT_ASSERT(!IsPromoteSent());
    Grant("r2");
    Self.advance(Milliseconds(420), 2);
    CPPUNIT_ASSERT(!IsPromoteSent());
    Self.advance(Milliseconds(60), 2);
    CPPUNIT_ASSERT(IsPromoteSent());
  }

  // Guards against two primaries in one term: a promote command of the first
  // attempt may still arrive during the second one.
  void neverReusesATerm() {
    Promoter Self;
    Self.advance(Milliseconds(1100), 1);
    CPPUNIT_ASSERT(Self.Sent.back().Term == 2);
    Self.advance(Milliseconds(3500), 1);
    CPPUNIT_ASSERT(Self.Sent.back().Command == ControlCommand::Fence);
    CPPUNIT_ASSERT(Self.Sent.back().Term == 3);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverTest);

} // namespace nutmegloom
