#include "tests/core/answercheck.h"
#include "tests/core/enginefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class EngineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineTest);
  CPPUNIT_TEST(acknowledgesAWriteOnlyOnceAMajorityHoldsIt);
  CPPUNIT_TEST(delaysAnAnswerWhileTheTermCheckFails);
  CPPUNIT_TEST(readsWithoutATokenAtThePrimary);
  CPPUNIT_TEST(readsAtThePrimaryWhileReplicasLag);
  CPPUNIT_TEST(neverReturnsDataOlderThanTheToken);
  CPPUNIT_TEST(dropsAnswersOfADiscardedBranch);
  CPPUNIT_TEST(reportsALostWriteOfTheSession);
  CPPUNIT_TEST(movesReadsAwayFromALeavingReplica);
  CPPUNIT_TEST(movesReadsAwayFromAnUnreachableReplica);
  CPPUNIT_TEST(servesReadsWhileThereIsNoPrimary);
  CPPUNIT_TEST(answersWaitingWritesWithNotRun);
  CPPUNIT_TEST(boundsTheWritesThatWaitForAPrimary);
  CPPUNIT_TEST(recoversTheOutcomeOfAWriteWithALostAnswer);
  CPPUNIT_TEST(closesTheKeyBeforeReportingNotRun);
  CPPUNIT_TEST(confirmsAClosedKeyBeforeReportingNotRun);
  CPPUNIT_TEST(reportsReuseOfAKey);
  CPPUNIT_TEST(resolvesAWriteAtTheNewPrimary);
  CPPUNIT_TEST(resolvesAWriteInFlightOnceThePrimaryIsReplaced);
  CPPUNIT_TEST(closesAnUnresponsiveConnection);
  CPPUNIT_TEST(waitsForASlowWriteThatTheDatabaseReports);
  CPPUNIT_TEST(dropsAnAnswerOfAnotherExchange);
  CPPUNIT_TEST(resolvesAWriteBeforeItsDeadline);
  CPPUNIT_TEST(staysWithinItsShareOfConnections);
  CPPUNIT_TEST(cancelsAWaitingWrite);
  CPPUNIT_TEST(finishesRunningWorkWhileDraining);
  CPPUNIT_TEST(keepsARemovedGroupUntilItsWorkEnds);
  CPPUNIT_TEST_SUITE_END();

  EngineFixture Fixture_;

  void write(const std::string &Key) {
    CPPUNIT_ASSERT(
        Fixture_.await(Fixture_.submit(Fixture_.makeWrite(Key))).Result ==
        Outcome::Run);
  }

  // Guards against acknowledging a write that only the primary holds.
  void acknowledgesAWriteOnlyOnceAMajorityHoldsIt() {
    Fixture_.database("b").Lag = Fixture_.database("c").Lag = Milliseconds(300);
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    Fixture_.run(Milliseconds(250));
    CPPUNIT_ASSERT(!Fixture_.Answers.contains(Task));
    checkAnswer(Fixture_.await(Task), Outcome::Run, ErrorCode::None);
  }

  // Guards against returning the answer of a primary that was replaced without
  // this host noticing, for example while the host was paused.
  void delaysAnAnswerWhileTheTermCheckFails() {
    CallerRequest Read = Fixture_.makeRead("k");
    Read.Required.reset();
    Fixture_.ServiceTime = Milliseconds(600);
    const TaskId Task = Fixture_.submit(Read);
    Fixture_.run(Milliseconds(100));
    Fixture_.setIsolated("b", true);
    Fixture_.setIsolated("c", true);
    Fixture_.run(Milliseconds(700));
    CPPUNIT_ASSERT(!Fixture_.Answers.contains(Task));
    Fixture_.setIsolated("b", false);
    checkAnswer(Fixture_.await(Task), Outcome::Run, ErrorCode::None);
  }

  // A session that has lost its token must still see its own writes, so a read
  // without a required position goes to the primary.
  void readsWithoutATokenAtThePrimary() {
    write("k");
    CallerRequest Read = Fixture_.makeRead("k");
    Read.Required.reset();
    const CallerAnswer &Answer = Fixture_.await(Fixture_.submit(Read));
    CPPUNIT_ASSERT_EQUAL(DatabaseId("a"), Answer.Database);
    CPPUNIT_ASSERT(!Answer.FromReplica);
  }

  void readsAtThePrimaryWhileReplicasLag() {
    Fixture_.database("c").Lag = Milliseconds(5000);
    Fixture_.database("b").Lag = Milliseconds(200);
    write("k");
    Fixture_.database("b").Leaving = true;
    Fixture_.run(Milliseconds(300));
    CallerRequest Read = Fixture_.makeRead("k");
    Read.Required = Position{1, 2};
    CPPUNIT_ASSERT_EQUAL(DatabaseId("a"),
                         Fixture_.await(Fixture_.submit(Read)).Database);
  }

  // Guards against relying on the predicted position of a replica: the logs of
  // the replicas are truncated between their last status and the read.
  void neverReturnsDataOlderThanTheToken() {
    write("k");
    Fixture_.run(Milliseconds(20));
    for (const char *Id : {"b", "c"}) {
      Fixture_.database(Id).Log.resize(1);
      Fixture_.database(Id).Lag = Milliseconds(5000);
    }
    CallerRequest Read = Fixture_.makeRead("k");
    Read.Required = Position{1, 2};
    const CallerAnswer &Answer = Fixture_.await(Fixture_.submit(Read));
    CPPUNIT_ASSERT_EQUAL(std::string("found"), Answer.Body);
    CPPUNIT_ASSERT(Fixture_.Host->counters().StaleAnswersDropped > 0);
  }

  // Guards against reading entries that a failover discarded. The last status
  // of the replica was sent before it held them.
  void dropsAnswersOfADiscardedBranch() {
    Fixture_.setIsolated("c", true);
    Fixture_.run(Milliseconds(50));
    Fixture_.setIsolated("a", true);
    Fixture_.setIsolated("c", false);
    Fixture_.run(Milliseconds(4000));
    CPPUNIT_ASSERT(Fixture_.primary()->Term > 1);
    const DatabaseId Replica = Fixture_.primary()->Id == "b" ? "c" : "b";
    FakeDatabase &Branch = Fixture_.database(Replica);
    Branch.Lag = Milliseconds(60000);
    Branch.Log.resize(1);
    for (int Count = 0; Count < 4; ++Count)
      Branch.Log.push_back({1, "cut off", false, 0, Fixture_.Now});
    const CallerAnswer &Answer =
        Fixture_.await(Fixture_.submit(Fixture_.makeRead("cut off")));
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), Answer.Body);
  }

  void reportsALostWriteOfTheSession() {
    Fixture_.setIsolated("a", true);
    Fixture_.run(Milliseconds(4000));
    CallerRequest Read = Fixture_.makeRead("k");
    Read.Required = Position{1, 40};
    checkAnswer(Fixture_.await(Fixture_.submit(Read)), Outcome::NotRun,
                ErrorCode::WriteLost);
  }

  void movesReadsAwayFromALeavingReplica() {
    Fixture_.database("b").Leaving = true;
    Fixture_.run(Milliseconds(400));
    for (int Count = 0; Count < 20; ++Count)
      CPPUNIT_ASSERT_EQUAL(
          DatabaseId("c"),
          Fixture_.await(Fixture_.submit(Fixture_.makeRead("k"))).Database);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture_.connectionsOf("b"));
  }

  // Guards against reads that fail or wait while another replica is reachable.
  void movesReadsAwayFromAnUnreachableReplica() {
    Fixture_.await(Fixture_.submit(Fixture_.makeRead("k")));
    Fixture_.setIsolated("b", true);
    Fixture_.run(Milliseconds(330));
    for (int Count = 0; Count < 5; ++Count)
      Fixture_.await(Fixture_.submit(Fixture_.makeRead("k")));
    for (const auto &[Task, Answer] : Fixture_.Answers)
      checkAnswer(Answer, Outcome::Run, ErrorCode::None);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), Fixture_.Host->counters().Retries);
  }

  void servesReadsWhileThereIsNoPrimary() {
    Fixture_.setIsolated("a", true);
    Fixture_.setIsolated("b", true);
    Fixture_.run(Milliseconds(3000));
    const CallerAnswer &Answer =
        Fixture_.await(Fixture_.submit(Fixture_.makeRead("k")));
    checkAnswer(Answer, Outcome::Run, ErrorCode::None);
    CPPUNIT_ASSERT(Answer.FromReplica);
  }

  // Guards against sending a write to a primary that has no majority to confirm
  // it, which would leave the outcome unknown.
  void answersWaitingWritesWithNotRun() {
    Fixture_.setIsolated("b", true);
    Fixture_.setIsolated("c", true);
    Fixture_.run(Milliseconds(1000));
    const CallerAnswer &Answer =
        Fixture_.await(Fixture_.submit(Fixture_.makeWrite("k")));
    checkAnswer(Answer, Outcome::NotRun, ErrorCode::NoPrimary);
    CPPUNIT_ASSERT(Answer.RetryAfter > Milliseconds(0));
  }

  void boundsTheWritesThatWaitForAPrimary() {
    Fixture_.setIsolated("a", true);
    Fixture_.setIsolated("b", true);
    Fixture_.run(Milliseconds(1000));
    const std::size_t Bound = Fixture_.Host->policy().WaitingRequests;
    for (std::size_t Count = 0; Count < Bound + 5; ++Count)
      Fixture_.submit(Fixture_.makeWrite("k" + std::to_string(Count)));
    Fixture_.run(Milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Fixture_.Answers.size());
  }

  void recoversTheOutcomeOfAWriteWithALostAnswer() {
    Fixture_.AnswersToLose = 1;
    const CallerAnswer &Answer =
        Fixture_.await(Fixture_.submit(Fixture_.makeWrite("k")));
    checkAnswer(Answer, Outcome::Run, ErrorCode::None);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fixture_.primary()->countOf("k"));
  }

  // Guards against executing a delayed request of a write that was reported as
  // not run.
  void closesTheKeyBeforeReportingNotRun() {
    Fixture_.RequestDelay = Milliseconds(300);
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    Fixture_.run(Milliseconds(50));
    Fixture_.RequestDelay = Milliseconds(0);
    Fixture_.breakConnections("a");
    checkAnswer(Fixture_.await(Task), Outcome::NotRun,
                ErrorCode::ConnectionLost);
    Fixture_.run(Milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture_.primary()->countOf("k"));
  }

  // Guards against a failover that loses the closed key: an owner that resumes
  // later could then send its copy of the write to the new primary.
  void confirmsAClosedKeyBeforeReportingNotRun() {
    Fixture_.RequestDelay = Milliseconds(300);
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    Fixture_.run(Milliseconds(50));
    Fixture_.RequestDelay = Milliseconds(0);
    Fixture_.database("b").Lag = Fixture_.database("c").Lag = Milliseconds(400);
    Fixture_.breakConnections("a");
    Fixture_.run(Milliseconds(300));
    CPPUNIT_ASSERT(!Fixture_.Answers.contains(Task));
    checkAnswer(Fixture_.await(Task), Outcome::NotRun,
                ErrorCode::ConnectionLost);
  }

  void reportsReuseOfAKey() {
    write("k");
    CallerRequest Other = Fixture_.makeWrite("k");
    Other.Fingerprint = 2;
    checkAnswer(Fixture_.await(Fixture_.submit(Other)), Outcome::NotRun,
                ErrorCode::KeyReused);
  }

  // Guards against an unknown or wrong outcome of a write whose primary fails
  // before a majority holds the write.
  void resolvesAWriteAtTheNewPrimary() {
    Fixture_.database("b").Lag = Fixture_.database("c").Lag =
        Milliseconds(1000);
    CallerRequest Write = Fixture_.makeWrite("k");
    Write.Deadline += Milliseconds(5000);
    const TaskId Task = Fixture_.submit(Write);
    Fixture_.run(Milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fixture_.database("a").countOf("k"));
    Fixture_.setIsolated("a", true);
    checkAnswer(Fixture_.await(Task), Outcome::NotRun, ErrorCode::NoPrimary);
    Fixture_.setIsolated("a", false);
    Fixture_.run(Milliseconds(3000));
    for (const auto &[Id, Each] : Fixture_.Databases)
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Each.countOf("k"));
  }

  // Guards against a write in flight that waits for the connection time-out of
  // 2 s although its primary has already been replaced.
  void resolvesAWriteInFlightOnceThePrimaryIsReplaced() {
    Fixture_.RequestDelay = Milliseconds(10000);
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    Fixture_.run(Milliseconds(50));
    Fixture_.RequestDelay = Milliseconds(0);
    Fixture_.setIsolated("a", true);
    Fixture_.run(Milliseconds(1800));
    CPPUNIT_ASSERT(Fixture_.primary()->Id != "a");
    CPPUNIT_ASSERT(Fixture_.Answers.contains(Task));
    checkAnswer(Fixture_.await(Task), Outcome::NotRun,
                ErrorCode::ConnectionLost);
  }

  // Guards against requests that wait on open connections that the database no
  // longer serves, while new connections work.
  void closesAnUnresponsiveConnection() {
    write("k1");
    for (int Count = 0; Count < 4; ++Count)
      Fixture_.submit(Fixture_.makeRead("k1"));
    Fixture_.run(Milliseconds(50));
    Fixture_.stallConnections();
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k2"));
    const TaskId Read = Fixture_.submit(Fixture_.makeRead("k1"));
    Fixture_.run(Milliseconds(800));
    CPPUNIT_ASSERT(Fixture_.Answers.contains(Read));
    checkAnswer(Fixture_.await(Task), Outcome::NotRun,
                ErrorCode::ConnectionLost);
    checkAnswer(Fixture_.await(Fixture_.submit(Fixture_.makeWrite("k3"))),
                Outcome::Run, ErrorCode::None);
    CPPUNIT_ASSERT(Fixture_.Violation.empty());
  }

  // Guards against abandoning a slow write that the database still executes.
  void waitsForASlowWriteThatTheDatabaseReports() {
    Fixture_.ServiceTime = Milliseconds(3000);
    checkAnswer(Fixture_.await(Fixture_.submit(Fixture_.makeWrite("k"))),
                Outcome::Run, ErrorCode::None);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fixture_.Sent.size());
  }

  // Guards against returning a late answer of another exchange to the wrong
  // caller.
  void dropsAnAnswerOfAnotherExchange() {
    Fixture_.ServiceTime = Milliseconds(100);
    CallerRequest Read = Fixture_.makeRead("k");
    Read.Required.reset();
    const TaskId Task = Fixture_.submit(Read);
    Fixture_.run(Milliseconds(50));
    DatabaseAnswer Late;
    Late.Exchange = Fixture_.Sent.back().Request.Exchange - 1;
    Late.Result = "of another caller";
    Late.LogTerm = Late.Index = 1;
    Late.Terms = {{1, 0}};
    Fixture_.Host->onDatabaseAnswer(Fixture_.Sent.back().Connection, Late,
                                    Fixture_.Now);
    CPPUNIT_ASSERT_EQUAL(std::string("absent"), Fixture_.await(Task).Body);
  }

  // Guards against an unknown outcome of a write that would end after its
  // deadline: its key is closed in time.
  void resolvesAWriteBeforeItsDeadline() {
    Fixture_.ServiceTime = Milliseconds(700);
    CallerRequest Write = Fixture_.makeWrite("k");
    Write.Deadline = Fixture_.Now + Milliseconds(600);
    const TaskId Task = Fixture_.submit(Write);
    Fixture_.run(Milliseconds(100));
    Fixture_.ServiceTime = Milliseconds(1);
    checkAnswer(Fixture_.await(Task), Outcome::NotRun,
                ErrorCode::DeadlineExceeded);
    Fixture_.run(Milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture_.primary()->countOf("k"));
  }

  void staysWithinItsShareOfConnections() {
    for (int Count = 0; Count < 200; ++Count) {
      Fixture_.submit(Fixture_.makeWrite("k" + std::to_string(Count)));
      Fixture_.submit(Fixture_.makeStep(RequestStep::Begin, ""));
    }
    Fixture_.run(Milliseconds(1500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Fixture_.PeakConnections);
  }

  void cancelsAWaitingWrite() {
    Fixture_.setIsolated("a", true);
    Fixture_.run(Milliseconds(600));
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    Fixture_.run(Milliseconds(20));
    Fixture_.Host->cancel(Task, Fixture_.Now);
    Fixture_.run(Milliseconds(5000));
    CPPUNIT_ASSERT(Fixture_.Answers.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture_.primary()->countOf("k"));
    CPPUNIT_ASSERT(Fixture_.Host->isIdle());
  }

  void finishesRunningWorkWhileDraining() {
    Fixture_.ServiceTime = Milliseconds(50);
    const TaskId Running = Fixture_.submit(Fixture_.makeWrite("k1"));
    Fixture_.run(Milliseconds(20));
    Fixture_.Host->beginDrain(Fixture_.Now);
    CPPUNIT_ASSERT(!Fixture_.Host->isIdle());
    const TaskId Late = Fixture_.submit(Fixture_.makeWrite("k2"));
    checkAnswer(Fixture_.await(Late), Outcome::NotRun, ErrorCode::NotReady);
    checkAnswer(Fixture_.await(Running), Outcome::Run, ErrorCode::None);
    CPPUNIT_ASSERT(Fixture_.Host->isIdle());
  }

  void keepsARemovedGroupUntilItsWorkEnds() {
    Fixture_.ServiceTime = Milliseconds(1500);
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    Fixture_.run(Milliseconds(20));
    Fixture_.Host->applyConfiguration(SiteConfiguration(), Fixture_.Now);
    checkAnswer(Fixture_.await(Task), Outcome::Run, ErrorCode::None);
    Fixture_.run(Milliseconds(1100));
    CPPUNIT_ASSERT(Fixture_.Host->tables().Groups.empty());
    CPPUNIT_ASSERT(Fixture_.Host->tables().Databases.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EngineTest);

} // namespace nutmegloom
