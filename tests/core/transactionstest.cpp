#include "core/transactionid.h"
#include "tests/core/answercheck.h"
#include "tests/core/enginefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class TransactionsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransactionsTest);
  CPPUNIT_TEST(encodesOwnerAndGroupInTheId);
  CPPUNIT_TEST(commitsOnce);
  CPPUNIT_TEST(reservesItsConnection);
  CPPUNIT_TEST(rollsBackAtItsDeadline);
  CPPUNIT_TEST(rollsBackWhenTheCallerDisconnects);
  CPPUNIT_TEST(rollsBackWhenAStatementTakesTooLong);
  CPPUNIT_TEST(recoversTheOutcomeOfALostCommit);
  CPPUNIT_TEST(reportsACommitAsUnknownAfterARollback);
  CPPUNIT_TEST(refusesAConcurrentStep);
  CPPUNIT_TEST(endsWhenThePrimaryIsReplaced);
  CPPUNIT_TEST(refusesNewTransactionsWhileDraining);
  CPPUNIT_TEST_SUITE_END();

  EngineFixture Fixture_;

  const CallerAnswer &step(RequestStep Step, const std::string &Id,
                           const std::string &Key = std::string()) {
    return Fixture_.await(Fixture_.submit(Fixture_.makeStep(Step, Id, Key)));
  }

  void encodesOwnerAndGroupInTheId() {
    const std::string Id = Fixture_.begin();
    CPPUNIT_ASSERT(Id.starts_with("self.example.id"));
    const auto Parts = parseTransactionId(Id);
    CPPUNIT_ASSERT(Parts && Parts->Owner == "self.example");
    CPPUNIT_ASSERT_EQUAL(GroupId("db/0"), Parts->Group);
    for (const char *Invalid :
         {"", "a", "a.b", "a.b-", "a.b-6", "a.b-zz", ".b-61", "a-61.b"})
      CPPUNIT_ASSERT(!parseTransactionId(Invalid));
  }

  void commitsOnce() {
    const std::string Id = Fixture_.begin();
    checkAnswer(step(RequestStep::TransactionStatement, Id), Outcome::Run,
                ErrorCode::None);
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::Run,
                ErrorCode::None);
    // A repeated commit, which may arrive through any host, returns the outcome
    // of the first one.
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::Run,
                ErrorCode::None);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fixture_.primary()->countOf("k"));
  }

  // Guards against running statements of other callers inside a transaction.
  void reservesItsConnection() {
    Fixture_.begin();
    const ConnectionId Pinned = Fixture_.Sent.back().Connection;
    for (int Count = 0; Count < 30; ++Count)
      Fixture_.submit(Fixture_.makeWrite("k" + std::to_string(Count)));
    Fixture_.run(Milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t(31), Fixture_.Answers.size());
    for (const auto &[Connection, Request] : Fixture_.Sent)
      CPPUNIT_ASSERT(Connection != Pinned ||
                     Request.Operation == DatabaseOperation::Begin);
  }

  void rollsBackAtItsDeadline() {
    const std::string Id = Fixture_.begin();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         Fixture_.primary()->OpenTransactions.size());
    Fixture_.run(Milliseconds(5100));
    CPPUNIT_ASSERT(Fixture_.primary()->OpenTransactions.empty());
    CPPUNIT_ASSERT(Fixture_.Host->isIdle());
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::NotRun,
                ErrorCode::TransactionLost);
    checkAnswer(step(RequestStep::Rollback, Id), Outcome::NotRun,
                ErrorCode::None);
  }

  void rollsBackWhenTheCallerDisconnects() {
    const std::string Id = Fixture_.begin();
    Fixture_.ServiceTime = Milliseconds(200);
    const TaskId Task = Fixture_.submit(
        Fixture_.makeStep(RequestStep::TransactionStatement, Id));
    Fixture_.run(Milliseconds(50));
    Fixture_.Host->cancel(Task, Fixture_.Now);
    CPPUNIT_ASSERT(Fixture_.primary()->OpenTransactions.empty());
    Fixture_.run(Milliseconds(300));
    CPPUNIT_ASSERT(!Fixture_.Answers.contains(Task));
    CPPUNIT_ASSERT(Fixture_.Host->isIdle());
  }

  // Guards against committing a statement that was reported as not run.
  void rollsBackWhenAStatementTakesTooLong() {
    const std::string Id = Fixture_.begin();
    Fixture_.ServiceTime = Milliseconds(500);
    CallerRequest Slow =
        Fixture_.makeStep(RequestStep::TransactionStatement, Id);
    Slow.Deadline = Fixture_.Now + Milliseconds(200);
    checkAnswer(Fixture_.await(Fixture_.submit(Slow)), Outcome::NotRun,
                ErrorCode::TransactionLost);
    Fixture_.ServiceTime = Milliseconds(1);
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::NotRun,
                ErrorCode::TransactionLost);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Fixture_.primary()->countOf("k"));
  }

  void recoversTheOutcomeOfALostCommit() {
    const std::string Id = Fixture_.begin();
    Fixture_.AnswersToLose = 1;
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::Run,
                ErrorCode::None);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Fixture_.primary()->countOf("k"));
  }

  void reportsACommitAsUnknownAfterARollback() {
    const std::string Id = Fixture_.begin();
    step(RequestStep::Commit, Id, "k");
    checkAnswer(step(RequestStep::Rollback, Id), Outcome::Unknown,
                ErrorCode::TransactionLost);
  }

  void refusesAConcurrentStep() {
    const std::string Id = Fixture_.begin();
    Fixture_.ServiceTime = Milliseconds(100);
    const TaskId First = Fixture_.submit(
        Fixture_.makeStep(RequestStep::TransactionStatement, Id));
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::NotRun,
                ErrorCode::BadRequest);
    checkAnswer(Fixture_.await(First), Outcome::Run, ErrorCode::None);
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::Run,
                ErrorCode::None);
  }

  void endsWhenThePrimaryIsReplaced() {
    const std::string Id = Fixture_.begin();
    Fixture_.setIsolated("a", true);
    Fixture_.run(Milliseconds(3500));
    CPPUNIT_ASSERT(Fixture_.Host->isIdle());
    checkAnswer(step(RequestStep::TransactionStatement, Id), Outcome::NotRun,
                ErrorCode::TransactionLost);
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::NotRun,
                ErrorCode::TransactionLost);
  }

  void refusesNewTransactionsWhileDraining() {
    const std::string Id = Fixture_.begin();
    Fixture_.Host->beginDrain(Fixture_.Now);
    // Hosts that do not know of the drain yet still forward to this one.
    Fixture_.Host->submitForwarded(
        99, Fixture_.makeStep(RequestStep::Begin, ""), Fixture_.Now);
    checkAnswer(Fixture_.await(99), Outcome::NotRun, ErrorCode::NotReady);
    CPPUNIT_ASSERT(!Fixture_.Host->isIdle());
    checkAnswer(step(RequestStep::Commit, Id, "k"), Outcome::Run,
                ErrorCode::None);
    CPPUNIT_ASSERT(Fixture_.Host->isIdle());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransactionsTest);

} // namespace nutmegloom
