#include "tests/core/answercheck.h"
#include "tests/core/enginefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

/// Tests an entry host that forwards requests. The group is in another region,
/// where the hosts "p1" and "p2" own it.
class RequestRouterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestRouterTest);
  CPPUNIT_TEST(forwardsToTheOwnerWithAKey);
  CPPUNIT_TEST(forwardsNothingWhenItIsTheOwner);
  CPPUNIT_TEST(followsARedirect);
  CPPUNIT_TEST(resolvesAfterARedirectOfAWriteThatMayHaveRun);
  CPPUNIT_TEST(retriesAReadAtTheNextOwner);
  CPPUNIT_TEST(resolvesAWriteThroughTheNextOwner);
  CPPUNIT_TEST(resendsAWriteThatWasNotSent);
  CPPUNIT_TEST(dropsTheLateAnswerOfAnEarlierAttempt);
  CPPUNIT_TEST(limitsRetriesToTenPercent);
  CPPUNIT_TEST(answersAtTheDeadline);
  CPPUNIT_TEST(endsATransactionWhoseOwnerIsGone);
  CPPUNIT_TEST(resolvesACommitWhoseOwnerIsGone);
  CPPUNIT_TEST_SUITE_END();

  EngineFixture Fixture_{true};

public:
  void setUp() override {
    Fixture_.addHost("p1", "far");
    Fixture_.addHost("p2", "far");
  }

private:
  /// Runs until the forwarded attempt with this number, counted from zero, is
  /// sent. Throws std::out_of_range if that takes more than 500 ms.
  EngineFixture::Forwarded forwarded(std::size_t Number) {
    for (int Step = 0; Step < 100 && Fixture_.Forwards.size() <= Number; ++Step)
      Fixture_.run(Milliseconds(5));
    return Fixture_.Forwards.at(Number);
  }

  void answer(const EngineFixture::Forwarded &Attempt, Outcome Result) {
    CallerAnswer Answer;
    Answer.Result = Result;
    Fixture_.Host->onForwardAnswer(Attempt.Attempt, Answer, Fixture_.Now);
  }

  /// Sent: the request may have reached the peer.
  void fail(const EngineFixture::Forwarded &Attempt, bool Sent) {
    Fixture_.Host->onForwardFailed(Attempt.Attempt, Sent, Fixture_.Now);
  }

  // Guards against executing a retried write twice: without an idempotency key
  // the first execution cannot be detected.
  void forwardsToTheOwnerWithAKey() {
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite(""));
    const auto First = forwarded(0);
    CPPUNIT_ASSERT(First.Host == "p1" || First.Host == "p2");
    CPPUNIT_ASSERT(!First.Request.Key.empty());
    answer(First, Outcome::Run);
    checkAnswer(Fixture_.await(Task), Outcome::Run, ErrorCode::None);
  }

  void forwardsNothingWhenItIsTheOwner() {
    EngineFixture Local;
    checkAnswer(Local.await(Local.submit(Local.makeWrite("k"))), Outcome::Run,
                ErrorCode::None);
    CPPUNIT_ASSERT(Local.Forwards.empty());
  }

  void followsARedirect() {
    Fixture_.addHost("other", "third");
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    CallerAnswer Redirect;
    Redirect.Result = Outcome::NotRun;
    Redirect.RedirectRegion = "third";
    Fixture_.Host->onForwardAnswer(forwarded(0).Attempt, Redirect,
                                   Fixture_.Now);
    const auto Second = forwarded(1);
    CPPUNIT_ASSERT_EQUAL(HostName("other"), Second.Host);
    CPPUNIT_ASSERT(Second.Request.Step == RequestStep::Statement);
    answer(Second, Outcome::Run);
    checkAnswer(Fixture_.await(Task), Outcome::Run, ErrorCode::None);
    // The next write goes to that region directly.
    Fixture_.submit(Fixture_.makeWrite("k2"));
    CPPUNIT_ASSERT_EQUAL(HostName("other"), forwarded(2).Host);
  }

  void resolvesAfterARedirectOfAWriteThatMayHaveRun() {
    Fixture_.submit(Fixture_.makeWrite("k"));
    CallerAnswer Redirect;
    Redirect.Result = Outcome::Unknown;
    Redirect.RedirectRegion = "third";
    Fixture_.Host->onForwardAnswer(forwarded(0).Attempt, Redirect,
                                   Fixture_.Now);
    CPPUNIT_ASSERT(forwarded(1).Request.Step == RequestStep::ResolveOutcome);
  }

  void retriesAReadAtTheNextOwner() {
    const TaskId Task = Fixture_.submit(Fixture_.makeRead("k"));
    const auto First = forwarded(0);
    fail(First, true);
    const auto Second = forwarded(1);
    CPPUNIT_ASSERT(Second.Host != First.Host);
    answer(Second, Outcome::Run);
    checkAnswer(Fixture_.await(Task), Outcome::Run, ErrorCode::None);
  }

  // Guards against a second execution, and against reporting an unknown outcome
  // that the next owner can determine.
  void resolvesAWriteThroughTheNextOwner() {
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    const auto First = forwarded(0);
    fail(First, true);
    const auto Second = forwarded(1);
    CPPUNIT_ASSERT(Second.Host != First.Host);
    CPPUNIT_ASSERT(Second.Request.Step == RequestStep::ResolveOutcome);
    CPPUNIT_ASSERT_EQUAL(std::string("k"), Second.Request.Key);
    answer(Second, Outcome::NotRun);
    checkAnswer(Fixture_.await(Task), Outcome::NotRun, ErrorCode::None);
  }

  void resendsAWriteThatWasNotSent() {
    Fixture_.submit(Fixture_.makeWrite("k"));
    fail(forwarded(0), false);
    CPPUNIT_ASSERT(forwarded(1).Request.Step == RequestStep::Statement);
  }

  // Guards against accepting the answer of an attempt that a later one has
  // replaced.
  void dropsTheLateAnswerOfAnEarlierAttempt() {
    const TaskId Task = Fixture_.submit(Fixture_.makeWrite("k"));
    const auto First = forwarded(0);
    Fixture_.Host->membership().onPeerConnectionLost(First.Host, Fixture_.Now);
    const auto Second = forwarded(1);
    answer(First, Outcome::Run);
    Fixture_.run(Milliseconds(20));
    CPPUNIT_ASSERT(!Fixture_.Answers.contains(Task));
    answer(Second, Outcome::NotRun);
    checkAnswer(Fixture_.await(Task), Outcome::NotRun, ErrorCode::None);
  }

  // Guards against retries that multiply the load during a failure.
  void limitsRetriesToTenPercent() {
    std::size_t Failed = 0;
    for (int Count = 0; Count < 200; ++Count) {
      setUp();
      Fixture_.submit(Fixture_.makeRead("k"));
      Fixture_.run(Milliseconds(40));
      for (; Failed < Fixture_.Forwards.size(); ++Failed)
        fail(Fixture_.Forwards[Failed], true);
    }
    Fixture_.run(Milliseconds(100));
    CPPUNIT_ASSERT(Fixture_.Host->counters().Retries >= 18);
    CPPUNIT_ASSERT(Fixture_.Host->counters().Retries <= 22);
  }

  void answersAtTheDeadline() {
    const TaskId Write = Fixture_.submit(Fixture_.makeWrite("k"));
    Fixture_.run(Milliseconds(1000));
    for (int Count = 0; Count < 50; ++Count) {
      setUp();
      Fixture_.run(Milliseconds(100));
    }
    checkAnswer(Fixture_.await(Write), Outcome::Unknown,
                ErrorCode::OutcomeUnknown);
  }

  // Guards against committing a transaction with a statement that was reported
  // as not run: the owner may be alive, with only the answer lost.
  void endsATransactionWhoseOwnerIsGone() {
    const TaskId Task = Fixture_.submit(
        Fixture_.makeStep(RequestStep::TransactionStatement, "p1.x-64622f30"));
    const auto First = forwarded(0);
    CPPUNIT_ASSERT_EQUAL(HostName("p1"), First.Host);
    CPPUNIT_ASSERT_EQUAL(GroupId("db/0"), First.Request.Group);
    fail(First, true);
    const auto Second = forwarded(1);
    CPPUNIT_ASSERT(Second.Request.Step == RequestStep::Rollback);
    CPPUNIT_ASSERT_EQUAL(HostName("p1"), Second.Host);
    fail(Second, false);
    checkAnswer(Fixture_.await(Task), Outcome::NotRun,
                ErrorCode::TransactionLost);
  }

  void resolvesACommitWhoseOwnerIsGone() {
    Fixture_.submit(
        Fixture_.makeStep(RequestStep::Commit, "p1.x-64622f30", "k"));
    fail(forwarded(0), true);
    const auto Second = forwarded(1);
    CPPUNIT_ASSERT_EQUAL(HostName("p2"), Second.Host);
    CPPUNIT_ASSERT(Second.Request.Step == RequestStep::ResolveOutcome);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestRouterTest);

} // namespace nutmegloom
