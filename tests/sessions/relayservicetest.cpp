#include "tests/sessions/simulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

/// Tests the answers that callers get from hosts that relay statements to other
/// hosts.
class RelayServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayServiceTest);
  CPPUNIT_TEST(servesAHostWithoutConnections);
  CPPUNIT_TEST(readsItsOwnWriteThroughAnyMember);
  CPPUNIT_TEST(keepsATransactionAtOneMember);
  CPPUNIT_TEST(runsRelayedStatementsWithTheirValues);
  CPPUNIT_TEST(rollsBackWhenTheCallerDisconnects);
  CPPUNIT_TEST(abortsATransactionWhoseMemberRestarts);
  CPPUNIT_TEST(readsThroughAnotherMemberWhenOneIsUnreachable);
  CPPUNIT_TEST(reportsAWriteAtAnUnresponsiveMemberAsInDoubt);
  CPPUNIT_TEST(rollsBackForAnUnreachableHost);
  CPPUNIT_TEST(writesThroughAHostThatReachesThePrimary);
  CPPUNIT_TEST(refusesImmediatelyWithoutAMember);
  CPPUNIT_TEST(avoidsADrainingMember);
  CPPUNIT_TEST(endsATransactionWhoseCommitIsRefused);
  CPPUNIT_TEST(fetchesNewerConfigurationsFromAMember);
  CPPUNIT_TEST(membersFetchConfigurationsFromEachOther);
  CPPUNIT_TEST(servesThroughMembersWhenStartedWithoutTheStore);
  CPPUNIT_TEST(spreadsIdleHostsOverMembers);
  CPPUNIT_TEST_SUITE_END();

  using Code = StatementCode;
  using Verb = StatementVerb;

  /// Host without connections to databases.
  static constexpr std::size_t Entry = 2;

  /// Starts two members and a host that holds no connections to databases.
  static std::unique_ptr<Simulation> startSimulation() {
    auto Sim = std::make_unique<Simulation>(1, 3, 2);
    Sim->run(Milliseconds{2500});
    return Sim;
  }

  /// Member that serves the only relayed session.
  static std::size_t memberWithSession(Simulation &Sim) {
    return Sim.engine(0).relayed().size() > 0 ? 0 : 1;
  }

  void servesAHostWithoutConnections() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "primary");
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Read).Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Sim->engine(Entry).runner().connections());
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  void readsItsOwnWriteThroughAnyMember() {
    auto Sim = startSimulation();
    Sim->setReplicationLag("b", Milliseconds{800});
    Sim->setReplicationLag("c", Milliseconds{800});
    CallerSessionId Id = Sim->open(Entry, "own");
    for (int Round = 0; Round < 20; ++Round) {
      CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
      CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Read).Code == Code::Done);
    }
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  void keepsATransactionAtOneMember() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "primary");
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Begin).Code == Code::Done);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    std::size_t Member = memberWithSession(*Sim);
    for (int Round = 0; Round < 3; ++Round)
      CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Read).Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sim->engine(Member).relayed().size());
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Commit).Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->engine(Member).relayed().size());
    for (const auto &Run : Sim->executions())
      CPPUNIT_ASSERT(Run.InTransaction);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sim->acknowledgedWrites());
  }

  void runsRelayedStatementsWithTheirValues() {
    auto Sim = startSimulation();
    CallerSessionId With = Sim->open(Entry, "primary");
    CallerSessionId Without = Sim->open(Entry, "primary");
    CPPUNIT_ASSERT(Sim->ask(Entry, With, Verb::SetVariable, "v").Code ==
                   Code::Done);
    for (int Round = 0; Round < 4; ++Round) {
      Sim->ask(Entry, With, Verb::Read, "with");
      Sim->ask(Entry, Without, Verb::Read, "without");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(8), Sim->executions().size());
    for (const auto &Run : Sim->executions())
      CPPUNIT_ASSERT_EQUAL(Run.Text == "READ with" ? std::size_t(1)
                                                   : std::size_t(0),
                           Run.Variables.size());
  }

  void rollsBackWhenTheCallerDisconnects() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "primary");
    Sim->ask(Entry, Id, Verb::Begin);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    std::size_t Member = memberWithSession(*Sim);
    Sim->engine(Entry).sessions().close(Id, Sim->now());
    Sim->run(Milliseconds{100});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->engine(Member).relayed().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->acknowledgedWrites());
    CallerSessionId Next = Sim->open(Entry, "primary");
    CPPUNIT_ASSERT(Sim->ask(Entry, Next, Verb::Write).Code == Code::Done);
  }

  void abortsATransactionWhoseMemberRestarts() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "primary");
    Sim->ask(Entry, Id, Verb::Begin);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    Sim->restartHost(memberWithSession(*Sim));
    Sim->run(Milliseconds{50});
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Commit).Code == Code::Aborted);
    CallerSessionId Next = Sim->open(Entry, "primary");
    CPPUNIT_ASSERT(Sim->ask(Entry, Next, Verb::Write).Code == Code::Done);
  }

  // A connection may stop delivering without a reset, and a machine may freeze.
  void readsThroughAnotherMemberWhenOneIsUnreachable() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "bounded");
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Read).Code == Code::Done);
    for (std::size_t Member : {0, 1}) {
      Sim->cutHosts(Entry, Member, true);
      Sim->run(Milliseconds{2500});
      CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Read).Code == Code::Done);
      Sim->cutHosts(Entry, Member, false);
      Sim->run(Milliseconds{5000});
    }
  }

  void reportsAWriteAtAnUnresponsiveMemberAsInDoubt() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "primary");
    Sim->ask(Entry, Id, Verb::Write);
    Sim->pauseHost(0, Milliseconds{4000});
    Sim->pauseHost(1, Milliseconds{4000});
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::InDoubt);
    Sim->run(Milliseconds{6000});
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  // Guards against a member that keeps a database connection for a host that
  // does not come back.
  void rollsBackForAnUnreachableHost() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "primary");
    Sim->ask(Entry, Id, Verb::Begin);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    std::size_t Member = memberWithSession(*Sim);
    Sim->cutHosts(Entry, 0, true);
    Sim->cutHosts(Entry, 1, true);
    Sim->run(Milliseconds{4000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->engine(Member).relayed().size());
  }

  // Guards against a host that refuses its callers when only it is cut off from
  // the primary, although another host could run the statements.
  void writesThroughAHostThatReachesThePrimary() {
    Simulation Sim(1);
    Sim.run(Milliseconds{2500});
    CallerSessionId Id = Sim.open(0, "primary");
    CPPUNIT_ASSERT(Sim.ask(0, Id, Verb::Write).Code == Code::Done);
    Sim.startCallers(1, Milliseconds{6000});
    Sim.cutHostFromDatabase(0, Sim.leader(), true);
    Sim.run(Milliseconds{1500});
    std::size_t Done = 0;
    for (int Round = 0; Round < 20; ++Round) {
      // Statements at the other hosts show that the leader answers them.
      for (std::size_t Host : {1, 2})
        Sim.ask(Host, Sim.open(Host, "primary"), Verb::Write);
      Done += Sim.ask(0, Id, Verb::Write).Code == Code::Done ? 1 : 0;
      Sim.run(Milliseconds{100});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim.promotions());
    CPPUNIT_ASSERT(Done >= 18);
    CPPUNIT_ASSERT(Sim.violations().empty());
  }

  void refusesImmediatelyWithoutAMember() {
    auto Sim = startSimulation();
    Sim->cutHosts(Entry, 0, true);
    Sim->cutHosts(Entry, 1, true);
    Sim->run(Milliseconds{4000});
    CallerSessionId Id = Sim->open(Entry, "primary");
    TimePoint Before = Sim->now();
    StatementAnswer Answer = Sim->ask(Entry, Id, Verb::Write);
    CPPUNIT_ASSERT(Answer.Code == Code::Busy);
    CPPUNIT_ASSERT(Answer.Detail.find("retry after") != std::string::npos);
    CPPUNIT_ASSERT(Sim->now() - Before <= Milliseconds{10});
  }

  void avoidsADrainingMember() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "primary");
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    for (std::size_t Member : {0, 1})
      Sim->engine(Member).relayed().onReceived(Entry + 100, RelayPing{},
                                               Sim->now());
    Sim->engine(0).relayed().beginDrain();
    Sim->run(Milliseconds{50});
    Sim->ask(Entry, Id, Verb::Begin);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->engine(0).relayed().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sim->engine(1).relayed().size());
  }

  // Guards against running the caller's next statement inside a transaction
  // whose commit the database refused as busy.
  void endsATransactionWhoseCommitIsRefused() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(Entry, "primary");
    Sim->ask(Entry, Id, Verb::Begin);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    Sim->refuseNextStatements("a", 20);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Commit).Code == Code::Busy);
    Sim->refuseNextStatements("a", 0);
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    CPPUNIT_ASSERT(!Sim->executions().back().InTransaction);
    for (std::size_t Member : {0, 1})
      CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                           Sim->engine(Member).relayed().size());
  }

  // Guards against many hosts that fetch a large configuration from the store
  // at the same moment, over the narrow link between regions.
  void fetchesNewerConfigurationsFromAMember() {
    auto Sim = startSimulation();
    SessionConfiguration Later = Sim->engine(0).sessions().configuration();
    Later.Version = 7;
    Later.Routes["later"] = Later.Routes.at("primary");
    for (std::size_t Member : {0, 1})
      Sim->engine(Member).applyConfiguration(Later, Sim->now());
    Sim->run(Milliseconds{1500});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7),
                         Sim->engine(Entry).sessions().configuration().Version);
    CallerSessionId Id = Sim->open(Entry, "later");
    CPPUNIT_ASSERT(Sim->ask(Entry, Id, Verb::Write).Code == Code::Done);
    // An older configuration is ignored.
    Later.Version = 6;
    Sim->engine(Entry).onRelayAnswer("host-0", Later, Sim->now());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7),
                         Sim->engine(Entry).sessions().configuration().Version);
  }

  // Guards against a member that passes an old configuration on to hosts that
  // the store would have served. The store may reject the calls of one member
  // for a long time (nine seconds in one run).
  void membersFetchConfigurationsFromEachOther() {
    auto Sim = startSimulation();
    SessionConfiguration Later = Sim->engine(0).sessions().configuration();
    Later.Version = 7;
    Sim->engine(0).applyConfiguration(Later, Sim->now());
    Sim->run(Milliseconds{500});
    Sim->engine(1).askForConfiguration(Sim->now());
    Sim->run(Milliseconds{100});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7),
                         Sim->engine(1).sessions().configuration().Version);
  }

  // Guards against a host that is started while the store is away and serves
  // nothing until it can be listed, although other hosts serve.
  void servesThroughMembersWhenStartedWithoutTheStore() {
    Simulation Sim(1, 3);
    Sim.run(Milliseconds{2500});
    Sim.setStoreDown(true);
    Sim.restartHost(Entry);
    Sim.run(Milliseconds{400});
    CallerSessionId Id = Sim.open(Entry, "primary");
    CPPUNIT_ASSERT(Sim.ask(Entry, Id, Verb::Write).Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                         Sim.engine(Entry).runner().connections());
    Sim.setStoreDown(false);
    Sim.run(Milliseconds{3000});
    CPPUNIT_ASSERT(Sim.ask(Entry, Id, Verb::Write).Code == Code::Done);
    CPPUNIT_ASSERT(Sim.engine(Entry).runner().connections() > 0);
    CPPUNIT_ASSERT(Sim.violations().empty());
  }

  // Guards against hosts without statements that all depend on the same member,
  // which then sends the configuration to each of them.
  void spreadsIdleHostsOverMembers() {
    Simulation Sim(1, 22, 2);
    Sim.run(Milliseconds{4000});
    std::size_t First = Sim.engine(0).relayed().links();
    std::size_t Second = Sim.engine(1).relayed().links();
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), First + Second);
    CPPUNIT_ASSERT(First >= 5 && Second >= 5);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayServiceTest);

} // namespace nutmegloom
