#include "core/replicaselector.h"
#include "core/ownership.h"
#include "core/termcheck.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class ReplicaSelectorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaSelectorTest);
  CPPUNIT_TEST(predictsTheProgressOfAReplica);
  CPPUNIT_TEST(resetsProgressWhenTheLogTermChanges);
  CPPUNIT_TEST_SUITE_END();

  Tables Data_;
  Policy Limits_;
  OwnershipSystem Owners_{Data_, "host"};
  TermCheck Terms_{Data_, Limits_};
  GroupAccess Access_{Data_, Owners_, Terms_, "host", "near"};
  ReplicaSelector Selector_{Data_, Limits_, Access_, {}};
  TimePoint Start_{std::chrono::hours(1)};

  /// Reports one new log entry per millisecond for one second.
  void observeProgress() {
    for (std::uint64_t At = 0; At <= 1000; At += 100)
      Selector_.observe("b", 1, 100 + At, Start_ + Milliseconds(At));
  }

  // Guards against reading at the primary although a replica has caught up
  // since its last status.
  void predictsTheProgressOfAReplica() {
    observeProgress();
    const TimePoint Now = Start_ + Milliseconds(1100);
    CPPUNIT_ASSERT(Selector_.predictedIndex("b", Now) > 1150);
    CPPUNIT_ASSERT(Selector_.predictedIndex("b", Now) <= 1200);
    // Without a new status the predicted progress is limited.
    CPPUNIT_ASSERT(Selector_.predictedIndex("b", Now + std::chrono::hours(1)) <=
                   1500);
    Selector_.onStaleRead("b", Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1100),
                         Selector_.predictedIndex("b", Now));
  }

  void resetsProgressWhenTheLogTermChanges() {
    observeProgress();
    const TimePoint Now = Start_ + Milliseconds(1100);
    Selector_.observe("b", 2, 500, Now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(500),
                         Selector_.predictedIndex("b", Now + Milliseconds(90)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaSelectorTest);

} // namespace nutmegloom
