#include "tests/sessions/simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace nutmegloom {

/// Tests the answers that callers get from hosts that hold connections to
/// databases, without faults and with one kind of fault at a time.
class SessionServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionServiceTest);
  CPPUNIT_TEST(servesReadsAndWrites);
  CPPUNIT_TEST(readsItsOwnWriteWhileReplicasLag);
  CPPUNIT_TEST(servesBoundedReadsByReplicas);
  CPPUNIT_TEST(keepsATransactionOnItsConnection);
  CPPUNIT_TEST(refusesStatementsAfterAFailure);
  CPPUNIT_TEST(rollsBackWhenTheCallerDisconnects);
  CPPUNIT_TEST(abortsAnIdleTransaction);
  CPPUNIT_TEST(runsEachStatementWithItsOwnValues);
  CPPUNIT_TEST(reportsAnUnknownPreparedStatement);
  CPPUNIT_TEST(namesAPreparedStatementByOneWord);
  CPPUNIT_TEST(keepsPreparedTextsApartThatBeginAlike);
  CPPUNIT_TEST(keepsAReadAndAWriteOfOneTextApart);
  CPPUNIT_TEST(givesNoNameOfAPreparedStatementTwice);
  CPPUNIT_TEST(preparesAgainWhatTheDatabaseHasForgotten);
  CPPUNIT_TEST(abortsATransactionWhoseDatabaseHasForgottenAName);
  CPPUNIT_TEST(reportsALostWriteAsInDoubt);
  CPPUNIT_TEST(retriesALostRead);
  CPPUNIT_TEST(abortsATransactionWhoseDatabaseCrashes);
  CPPUNIT_TEST(refusesUnservableStatementsImmediately);
  CPPUNIT_TEST(recoversAfterThePrimaryFails);
  CPPUNIT_TEST(movesAwayFromADrainingPrimary);
  CPPUNIT_TEST(doesNotPromoteWhileOneHostIsCutOff);
  CPPUNIT_TEST(servesPrimariesWhileTheStoreIsDown);
  CPPUNIT_TEST(promotesWhileAHostIsPaused);
  CPPUNIT_TEST(dropsAnOwnWriteThatAPromotionRolledBack);
  CPPUNIT_TEST(keepsAReusedConnectionWhenACallerDisconnectsDuringItsCommit);
  CPPUNIT_TEST(releasesTheConnectionOfARefusedCommit);
  CPPUNIT_TEST(retriesARefusedStatementOfATransaction);
  CPPUNIT_TEST(doesNotTreatASlowPrimaryAsFailed);
  CPPUNIT_TEST(waitsForDatabasesThatResetConnectionsAfterAPowerLoss);
  CPPUNIT_TEST(replacesAPrimaryThatResetsAllConnections);
  CPPUNIT_TEST(servesANewSessionOfAStoppingHost);
  CPPUNIT_TEST(endsTransactionsWithoutAStatementOnStop);
  CPPUNIT_TEST_SUITE_END();

  using Code = StatementCode;
  using Verb = StatementVerb;

  static std::unique_ptr<Simulation> startSimulation() {
    auto Sim = std::make_unique<Simulation>(1);
    Sim->run(Milliseconds{1500});
    return Sim;
  }

  void servesReadsAndWrites() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).Code == Code::Done);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Read).Code == Code::Done);
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  void readsItsOwnWriteWhileReplicasLag() {
    auto Sim = startSimulation();
    Sim->setReplicationLag("b", Milliseconds{800});
    Sim->setReplicationLag("c", Milliseconds{800});
    CallerSessionId Id = Sim->open(1, "own");
    for (int Round = 0; Round < 20; ++Round) {
      CPPUNIT_ASSERT(Sim->ask(1, Id, Verb::Write).Code == Code::Done);
      CPPUNIT_ASSERT(Sim->ask(1, Id, Verb::Read).Code == Code::Done);
    }
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  void servesBoundedReadsByReplicas() {
    auto Sim = startSimulation();
    std::vector<CallerSessionId> Sessions;
    Sessions.reserve(6);
    for (int Count = 0; Count < 6; ++Count)
      Sessions.push_back(Sim->open(0, "bounded"));
    for (int Round = 0; Round < 10; ++Round) {
      for (CallerSessionId Id : Sessions)
        Sim->send(0, Id, Verb::Read);
      Sim->run(Milliseconds{100});
    }
    bool ByReplica =
        std::any_of(Sim->executions().begin(), Sim->executions().end(),
                    [](const auto &Run) { return Run.Database != "a"; });
    CPPUNIT_ASSERT(ByReplica);
    CPPUNIT_ASSERT_EQUAL(std::size_t(60), Sim->answeredReads());
  }

  void keepsATransactionOnItsConnection() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Begin);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).State ==
                   TransactionStatus::InTransaction);
    // Other sessions must not use the connection meanwhile.
    CallerSessionId Other = Sim->open(0, "primary");
    CPPUNIT_ASSERT(Sim->ask(0, Other, Verb::Read).Code == Code::Done);
    StatementAnswer End = Sim->ask(0, Id, Verb::Commit);
    CPPUNIT_ASSERT(End.Code == Code::Done && !End.Signature.empty());
    CPPUNIT_ASSERT(End.State == TransactionStatus::Idle);
    std::vector<bool> Inside;
    Inside.reserve(Sim->executions().size());
    for (const auto &Run : Sim->executions())
      Inside.push_back(Run.InTransaction);
    CPPUNIT_ASSERT(Inside == (std::vector<bool>{true, false, true}));
  }

  void refusesStatementsAfterAFailure() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Begin);
    StatementAnswer Failed = Sim->ask(0, Id, Verb::Execute, "unknown");
    CPPUNIT_ASSERT(Failed.Code == Code::UnknownName);
    CPPUNIT_ASSERT(Failed.State == TransactionStatus::Failed);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Read).Code == Code::Malformed);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Rollback).State ==
                   TransactionStatus::Idle);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Read).Code == Code::Done);
  }

  // Guards against releasing a connection with an open transaction, in which
  // another caller's statements would then run.
  void rollsBackWhenTheCallerDisconnects() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Begin);
    Sim->ask(0, Id, Verb::Write);
    Sim->engine(0).sessions().close(Id, Sim->now());
    Sim->run(Milliseconds{100});
    CallerSessionId Other = Sim->open(0, "primary");
    Sim->ask(0, Other, Verb::Write);
    CPPUNIT_ASSERT(!Sim->executions().back().InTransaction);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sim->acknowledgedWrites());
  }

  void abortsAnIdleTransaction() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Begin);
    Sim->ask(0, Id, Verb::Write);
    Sim->run(Milliseconds{3500});
    StatementAnswer Late = Sim->ask(0, Id, Verb::Commit);
    CPPUNIT_ASSERT(Late.Code == Code::Aborted);
    CPPUNIT_ASSERT(Late.State == TransactionStatus::Idle);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->acknowledgedWrites());
  }

  void runsEachStatementWithItsOwnValues() {
    auto Sim = startSimulation();
    CallerSessionId First = Sim->open(0, "primary");
    CallerSessionId Second = Sim->open(0, "primary");
    Sim->ask(0, First, Verb::SetVariable, "v1");
    Sim->ask(0, Second, Verb::SetVariable, "v2");
    for (int Round = 0; Round < 5; ++Round) {
      Sim->ask(0, First, Verb::Read);
      CPPUNIT_ASSERT(Sim->executions().back().Variables ==
                     (SessionVariables{{"v1", "v1"}}));
      Sim->ask(0, Second, Verb::Read);
      CPPUNIT_ASSERT(Sim->executions().back().Variables ==
                     (SessionVariables{{"v2", "v2"}}));
    }
  }

  void reportsAnUnknownPreparedStatement() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Execute, "p").Code ==
                   Code::UnknownName);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Deallocate, "p").Code ==
                   Code::UnknownName);
  }

  static bool isWord(const std::string &Text) {
    return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
      return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9');
    });
  }

  /// Prepares the text in the session and executes it. Returns what ran.
  static Simulation::Execution
  executePrepared(Simulation &Sim, CallerSessionId Id, const std::string &Text,
                  StatementKind Access = StatementKind::Read) {
    Sim.prepare(0, Id, {Access, Text});
    CPPUNIT_ASSERT(Sim.ask(0, Id, Verb::Execute).Code == Code::Done);
    return Sim.executions().back();
  }

  // Guards against a name that the database takes for a name and arguments.
  void namesAPreparedStatementByOneWord() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    for (const std::string &Text :
         {std::string("q1"), std::string("q1 READ other"), std::string(" q1"),
          std::string("q1 "), std::string(3000, 'q')}) {
      Simulation::Execution Run = executePrepared(*Sim, Id, Text);
      CPPUNIT_ASSERT(isWord(Run.Name));
      CPPUNIT_ASSERT_EQUAL(Text, Run.Prepared->Shape);
      CPPUNIT_ASSERT_EQUAL(std::string("x"), Run.Text);
    }
  }

  // Guards against two statements under one name.
  void keepsPreparedTextsApartThatBeginAlike() {
    auto Sim = startSimulation();
    CallerSessionId First = Sim->open(0, "primary");
    CallerSessionId Second = Sim->open(0, "primary");
    for (int Round = 0; Round < 5; ++Round) {
      CPPUNIT_ASSERT_EQUAL(std::string("q1"),
                           executePrepared(*Sim, First, "q1").Prepared->Shape);
      CPPUNIT_ASSERT_EQUAL(
          std::string("q1 READ other"),
          executePrepared(*Sim, Second, "q1 READ other").Prepared->Shape);
    }
  }

  // Guards against a write that runs as a read, which is acknowledged and not
  // kept.
  void keepsAReadAndAWriteOfOneTextApart() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    for (int Round = 0; Round < 3; ++Round) {
      auto Read = executePrepared(*Sim, Id, "q1", StatementKind::Read);
      auto Write = executePrepared(*Sim, Id, "q1", StatementKind::Write);
      CPPUNIT_ASSERT(Read.Prepared->Access == StatementKind::Read);
      CPPUNIT_ASSERT(Write.Prepared->Access == StatementKind::Write);
      CPPUNIT_ASSERT(Read.Name != Write.Name);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Sim->acknowledgedWrites());
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  // Guards against an EXECUTE of an earlier statement after a refused RESET.
  void givesNoNameOfAPreparedStatementTwice() {
    auto Sim = startSimulation();
    std::set<std::string> Names;
    for (int Round = 0; Round < 5; ++Round) {
      // Variables of the session before make the connection be reset.
      CallerSessionId Id = Sim->open(0, "primary");
      Sim->ask(0, Id, Verb::SetVariable, "v" + std::to_string(Round));
      Names.insert(executePrepared(*Sim, Id, "q").Name);
      Sim->engine(0).sessions().close(Id, Sim->now());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Names.size());
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  // Guards against a name that stays unknown although its preparing was
  // acknowledged.
  void preparesAgainWhatTheDatabaseHasForgotten() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    for (StatementKind Access : {StatementKind::Read, StatementKind::Write}) {
      executePrepared(*Sim, Id, "q1", Access);
      Sim->forgetPreparedStatements("a");
      CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Execute).Code == Code::Done);
    }
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  void abortsATransactionWhoseDatabaseHasForgottenAName() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    executePrepared(*Sim, Id, "q1", StatementKind::Write);
    Sim->ask(0, Id, Verb::Begin);
    Sim->ask(0, Id, Verb::Write);
    Sim->forgetPreparedStatements("a");
    StatementAnswer Lost = Sim->ask(0, Id, Verb::Execute);
    CPPUNIT_ASSERT(Lost.Code == Code::Aborted);
    CPPUNIT_ASSERT(Lost.State == TransactionStatus::Failed);
    Sim->ask(0, Id, Verb::Rollback);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Execute).Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Sim->acknowledgedWrites());
  }

  void reportsALostWriteAsInDoubt() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Read);
    Sim->send(0, Id, Verb::Write);
    Sim->run(Milliseconds{1});
    Sim->crashDatabase("a", Milliseconds{30000});
    Sim->run(Milliseconds{100});
    CPPUNIT_ASSERT(Sim->answerOf(Id)->Code == Code::InDoubt);
  }

  void retriesALostRead() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "bounded");
    Sim->ask(0, Id, Verb::Read);
    Sim->send(0, Id, Verb::Read);
    Sim->run(Milliseconds{1});
    Sim->crashDatabase("a", Milliseconds{30000});
    Sim->run(Milliseconds{150});
    CPPUNIT_ASSERT(Sim->answerOf(Id)->Code == Code::Done);
  }

  void abortsATransactionWhoseDatabaseCrashes() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Begin);
    Sim->ask(0, Id, Verb::Write);
    Sim->crashDatabase("a", Milliseconds{30000});
    Sim->run(Milliseconds{100});
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Commit).Code == Code::Aborted);
  }

  // Guards against holding a statement until its deadline although it is
  // already known that it cannot be served.
  void refusesUnservableStatementsImmediately() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Read);
    Sim->setStoreDown(true);
    Sim->crashDatabase("a", Milliseconds{30000});
    Sim->run(Milliseconds{3000});
    TimePoint Sent = Sim->now();
    StatementAnswer Refused = Sim->ask(0, Id, Verb::Read);
    CPPUNIT_ASSERT(Refused.Code == Code::Busy);
    CPPUNIT_ASSERT(Refused.Detail.find("retry after") != std::string::npos);
    CPPUNIT_ASSERT(Sim->now() - Sent <= Milliseconds{100});
  }

  void recoversAfterThePrimaryFails() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Write);
    Sim->crashDatabase("a", Milliseconds{30000});
    TimePoint Lost = Sim->now();
    while (Sim->ask(0, Id, Verb::Write).Code != Code::Done &&
           Sim->now() - Lost < Milliseconds{5000})
      Sim->run(Milliseconds{50});
    CPPUNIT_ASSERT(Sim->now() - Lost < Milliseconds{2000});
    CPPUNIT_ASSERT(Sim->leader() != "a");
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  void movesAwayFromADrainingPrimary() {
    auto Sim = startSimulation();
    Sim->startCallers(2, Milliseconds{4000});
    Sim->run(Milliseconds{500});
    Sim->setDraining("a");
    Sim->run(Milliseconds{3000});
    CPPUNIT_ASSERT(Sim->leader() != "a");
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  void doesNotPromoteWhileOneHostIsCutOff() {
    auto Sim = startSimulation();
    Sim->startCallers(2, Milliseconds{5000});
    Sim->run(Milliseconds{500});
    Sim->cutHostFromDatabase(1, "a", true);
    Sim->run(Milliseconds{4000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->promotions());
  }

  void servesPrimariesWhileTheStoreIsDown() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(2, "primary");
    CPPUNIT_ASSERT(Sim->ask(2, Id, Verb::Write).Code == Code::Done);
    Sim->setStoreDown(true);
    for (int Round = 0; Round < 100; ++Round) {
      Sim->run(Milliseconds{50});
      CPPUNIT_ASSERT(Sim->ask(2, Id, Verb::Write).Code == Code::Done);
    }
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  // Guards against a paused host that still uses the old primary when it
  // resumes.
  void promotesWhileAHostIsPaused() {
    auto Sim = startSimulation();
    Sim->startCallers(3, Milliseconds{8000});
    Sim->run(Milliseconds{500});
    Sim->pauseHost(2, Milliseconds{4000});
    // Only the paused host still reaches the primary.
    Sim->cutHostFromDatabase(0, "a", true);
    Sim->cutHostFromDatabase(1, "a", true);
    Sim->cutReplication("a", "b", true);
    Sim->cutReplication("a", "c", true);
    Sim->run(Milliseconds{7000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sim->promotions());
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  // Guards against a session that keeps requiring a write which a promotion
  // rolled back: each later read was first tried without success.
  void dropsAnOwnWriteThatAPromotionRolledBack() {
    auto Sim = startSimulation();
    Sim->cutReplication("a", "b", true);
    Sim->cutReplication("a", "c", true);
    CallerSessionId Id = Sim->open(0, "own");
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).Code == Code::Done);
    Sim->crashDatabase("a", Milliseconds{60000});
    Sim->run(Milliseconds{3000});
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Read).Code == Code::Done);
    std::size_t Before = Sim->executions().size();
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Read).Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(Before + 1, Sim->executions().size());
  }

  // While a commit waits for the confirmation of its leader, another caller may
  // already use the connection. Guards against rolling back that caller's
  // transaction when the first caller disconnects.
  void keepsAReusedConnectionWhenACallerDisconnectsDuringItsCommit() {
    std::size_t Confirming = 0;
    for (int Offset = 600; Offset < 1100; Offset += 5) {
      auto Sim = startSimulation();
      CallerSessionId Writer = Sim->open(0, "primary");
      CallerSessionId Reader = Sim->open(0, "bounded");
      Sim->ask(0, Reader, Verb::Read);
      Sim->ask(0, Writer, Verb::Begin);
      Sim->ask(0, Writer, Verb::Write);
      Sim->cutHostFromStore(0, true);
      Sim->cutHosts(0, 1, true);
      Sim->cutHosts(0, 2, true);
      Sim->cutHostFromDatabase(0, "b", true);
      Sim->cutHostFromDatabase(0, "c", true);
      Sim->run(Milliseconds{Offset});
      Sim->send(0, Writer, Verb::Commit);
      Sim->run(Milliseconds{20});
      if (Sim->answerOf(Writer))
        continue;
      Sim->send(0, Reader, Verb::BeginRead);
      Sim->run(Milliseconds{5});
      Sim->send(0, Reader, Verb::Read);
      Sim->run(Milliseconds{40});
      if (!Sim->answerOf(Reader) || Sim->answerOf(Writer))
        continue;
      ++Confirming;
      Sim->engine(0).sessions().close(Writer, Sim->now());
      Sim->run(Milliseconds{20});
      StatementAnswer Second = Sim->ask(0, Reader, Verb::Read);
      CPPUNIT_ASSERT(Second.Code == Code::Done);
      CPPUNIT_ASSERT(Second.State == TransactionStatus::InTransaction);
      CPPUNIT_ASSERT(Sim->executions().back().InTransaction);
    }
    CPPUNIT_ASSERT(Confirming > 0);
  }

  // Guards against a connection leak: a commit that the database refuses as
  // busy leaves the transaction open on its connection, where nothing ended it.
  void releasesTheConnectionOfARefusedCommit() {
    auto Sim = startSimulation();
    for (int Round = 0; Round < 40; ++Round) {
      CallerSessionId Id = Sim->open(0, "primary");
      Sim->ask(0, Id, Verb::Begin);
      CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).Code == Code::Done);
      Sim->refuseNextStatements("a", 20);
      CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Commit).Code == Code::Busy);
      Sim->refuseNextStatements("a", 0);
      CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).Code == Code::Done);
      CPPUNIT_ASSERT(!Sim->executions().back().InTransaction);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(40), Sim->acknowledgedWrites());
    CPPUNIT_ASSERT(Sim->violations().empty());
  }

  // A statement that the database refuses as busy has not run and leaves the
  // transaction open, so it can be retried.
  void retriesARefusedStatementOfATransaction() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Begin);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).Code == Code::Done);
    Sim->refuseNextStatements("a", 2);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).Code == Code::Done);
    Sim->refuseNextStatements("a", 2);
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Commit).Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sim->acknowledgedWrites());
  }

  // Guards against refusing all statements because some of them time out at an
  // overloaded primary that still answers the others.
  void doesNotTreatASlowPrimaryAsFailed() {
    auto Sim = startSimulation();
    std::vector<CallerSessionId> Slow;
    for (int Count = 0; Count < 4; ++Count) {
      Slow.push_back(Sim->open(0, "primary"));
      Sim->send(0, Slow.back(), Verb::Read, "slow");
    }
    CallerSessionId Id = Sim->open(0, "primary");
    for (int Round = 0; Round < 60; ++Round) {
      CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).Code == Code::Done);
      Sim->run(Milliseconds{20});
    }
    for (CallerSessionId Late : Slow)
      CPPUNIT_ASSERT(Sim->answerOf(Late)->Code == Code::TimedOut);
  }

  // After a power loss, databases count the lost connections for some seconds
  // and reset new ones. Guards against hosts that treat such databases as
  // failed and refuse all statements.
  void waitsForDatabasesThatResetConnectionsAfterAPowerLoss() {
    auto Sim = std::make_unique<Simulation>(1);
    for (const char *Id : {"a", "b", "c"})
      Sim->setResetsConnections(Id, true);
    Sim->run(Milliseconds{2000});
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->send(0, Id, Verb::Write);
    Sim->run(Milliseconds{500});
    CPPUNIT_ASSERT(!Sim->answerOf(Id));
    for (const char *Database : {"a", "b", "c"})
      Sim->setResetsConnections(Database, false);
    Sim->run(Milliseconds{400});
    CPPUNIT_ASSERT(Sim->answerOf(Id)->Code == Code::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->promotions());
  }

  void replacesAPrimaryThatResetsAllConnections() {
    auto Sim = startSimulation();
    Sim->startCallers(2, Milliseconds{12000});
    Sim->run(Milliseconds{1000});
    Sim->crashDatabase("a", Milliseconds{1});
    Sim->setResetsConnections("a", true);
    Sim->run(Milliseconds{8000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Sim->promotions());
  }

  // Guards against closing a session whose caller has just sent its first
  // statement: a write could then not be repeated.
  void servesANewSessionOfAStoppingHost() {
    auto Sim = startSimulation();
    CallerSessionId Old = Sim->open(0, "primary");
    Sim->run(Milliseconds{300});
    CallerSessionId New = Sim->open(0, "primary");
    Sim->engine(0).sessions().closeIdleSessions(Sim->now());
    CPPUNIT_ASSERT(Sim->isClosed(Old));
    CPPUNIT_ASSERT(!Sim->isClosed(New));
    CPPUNIT_ASSERT(Sim->ask(0, New, Verb::Write).Code == Code::Done);
    CPPUNIT_ASSERT(Sim->isClosed(New));
  }

  void endsTransactionsWithoutAStatementOnStop() {
    auto Sim = startSimulation();
    CallerSessionId Id = Sim->open(0, "primary");
    Sim->ask(0, Id, Verb::Begin);
    Sim->engine(0).sessions().endTransactions(Sim->now());
    CPPUNIT_ASSERT(Sim->ask(0, Id, Verb::Write).Code == Code::Aborted);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Sim->acknowledgedWrites());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionServiceTest);

} // namespace nutmegloom
