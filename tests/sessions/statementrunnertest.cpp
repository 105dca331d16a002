#include "sessions/statementrunner.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class StatementRunnerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementRunnerTest);
  CPPUNIT_TEST(waitsForALeaderThatIsExpectedInTime);
  CPPUNIT_TEST(refusesWhenNoLeaderIsExpectedInTime);
  CPPUNIT_TEST_SUITE_END();

  TimePoint Now_{std::chrono::hours(1)};
  DatabaseTable Table_{[](const ZoneName &) { return Distance::SameZone; }};
  LeaderAuthority Authority_;
  Milliseconds LeaderExpectedIn_{0};
  std::vector<StatementResult> Finished_;
  StatementRunner Runner_{Table_, Authority_, {}, hooks()};

  StatementRunner::Hooks hooks() {
    StatementRunner::Hooks Hooks;
    Hooks.Finished = [this](CallerSessionId, StatementResult Result,
                            TimePoint) {
      Finished_.push_back(std::move(Result));
    };
    Hooks.LeaderExpectedIn = [this](const GroupId &, TimePoint) {
      return std::optional(LeaderExpectedIn_);
    };
    return Hooks;
  }

  void submit(Milliseconds TimeLeft) {
    StatementWork Work;
    Work.Session = 1;
    Work.Group = "g";
    Work.NeedsLeader = true;
    Work.ReceivedAt = Now_;
    Work.Deadline = Now_ + TimeLeft;
    Runner_.submit(std::move(Work), Now_);
    Runner_.tick(Now_);
  }

  void waitsForALeaderThatIsExpectedInTime() {
    LeaderExpectedIn_ = Milliseconds{800};
    submit(Milliseconds{1000});
    CPPUNIT_ASSERT(Finished_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Runner_.waiting());
  }

  void refusesWhenNoLeaderIsExpectedInTime() {
    LeaderExpectedIn_ = Milliseconds{1700};
    submit(Milliseconds{1000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Finished_.size());
    CPPUNIT_ASSERT(Finished_[0].Answer.Code == StatementCode::Busy);
    CPPUNIT_ASSERT(Finished_[0].RetryAfter == LeaderExpectedIn_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementRunnerTest);

} // namespace nutmegloom
