#include "sessions/positionhistory.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace nutmegloom {

class PositionHistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PositionHistoryTest);
  CPPUNIT_TEST(hasNoFloorWithoutARecentSample);
  CPPUNIT_TEST(neverGivesAFloorOlderThanAllowed);
  CPPUNIT_TEST_SUITE_END();

  const TimePoint Start_{std::chrono::hours(1)};

  void hasNoFloorWithoutARecentSample() {
    PositionHistory History;
    CPPUNIT_ASSERT(!History.minimumPositionFor(Milliseconds{1500}, Start_));
    History.add({1, 10}, Start_);
    CPPUNIT_ASSERT(History.minimumPositionFor(Milliseconds{1500}, Start_));
    CPPUNIT_ASSERT(!History.minimumPositionFor(Milliseconds{1500},
                                               Start_ + Milliseconds{1500}));
  }

  // Guards against a floor that is too old because samples were thinned out.
  void neverGivesAFloorOlderThanAllowed() {
    bool Holds = rc::check("a floor covers all older positions", [this] {
      PositionHistory History;
      std::vector<std::pair<TimePoint, Position>> Added;
      TimePoint Now = Start_;
      std::uint64_t Index = 0;
      auto Count = *rc::gen::inRange(1, 400);
      for (int At = 0; At < Count; ++At) {
        Now += Milliseconds{*rc::gen::inRange(0, 60)};
        Index += *rc::gen::inRange<std::uint64_t>(0, 5);
        History.add({1, Index}, Now);
        Added.emplace_back(Now, Position{1, Index});
      }
      Milliseconds Age{*rc::gen::inRange(100, 3000)};
      std::optional<Position> Floor = History.minimumPositionFor(Age, Now);
      if (!Floor)
        return;
      for (const auto &[BegunAt, Known] : Added)
        if (BegunAt <= Now - Age)
          RC_ASSERT(*Floor >= Known);
    });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PositionHistoryTest);

} // namespace nutmegloom
