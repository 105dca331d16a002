#include "sessions/gracefulstop.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class GracefulStopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GracefulStopTest);
  CPPUNIT_TEST(stopsInSteps);
  CPPUNIT_TEST(finishesOnlyOnceNoSessionIsAccepted);
  CPPUNIT_TEST(exitsOnceTheLastAnswersAreSent);
  CPPUNIT_TEST_SUITE_END();

  using Step = GracefulStop::Step;

  TimePoint Now_{std::chrono::hours(1)};
  GracefulStop Stop_{Milliseconds{6000}};

  Step stepAfter(int Millis, std::size_t Sessions, bool Accepting) const {
    return Stop_.step(Sessions, Accepting, Now_ + Milliseconds{Millis});
  }

  void stopsInSteps() {
    CPPUNIT_ASSERT(!Stop_.isStopping());
    Stop_.begin(Now_);
    CPPUNIT_ASSERT(stepAfter(1000, 3, true) == Step::Serve);
    CPPUNIT_ASSERT(stepAfter(2500, 3, true) == Step::CloseIdle);
    CPPUNIT_ASSERT(stepAfter(3100, 3, false) == Step::EndTransactions);
    CPPUNIT_ASSERT(stepAfter(3100, 0, false) == Step::Finished);
    CPPUNIT_ASSERT(stepAfter(5500, 3, false) == Step::OutOfTime);
  }

  // Guards against a session that is accepted between the decision to finish
  // and the end of the process: its statement was cut off without an answer.
  void finishesOnlyOnceNoSessionIsAccepted() {
    Stop_.begin(Now_);
    CPPUNIT_ASSERT(stepAfter(3100, 0, true) == Step::EndTransactions);
    CPPUNIT_ASSERT(stepAfter(5500, 0, true) == Step::OutOfTime);
  }

  // Guards against a process that exits while callers still read its answers.
  void exitsOnceTheLastAnswersAreSent() {
    Stop_.begin(Now_);
    CPPUNIT_ASSERT(!Stop_.mayExit(1, Now_ + Milliseconds{5500}));
    CPPUNIT_ASSERT(Stop_.mayExit(0, Now_ + Milliseconds{3100}));
    CPPUNIT_ASSERT(Stop_.mayExit(1, Now_ + Milliseconds{5950}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GracefulStopTest);

} // namespace nutmegloom
