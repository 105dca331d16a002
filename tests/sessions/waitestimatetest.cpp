#include "sessions/waitestimate.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class WaitEstimateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WaitEstimateTest);
  CPPUNIT_TEST(growsWithTheQueue);
  CPPUNIT_TEST(isUnknownWithoutConnections);
  CPPUNIT_TEST(letsTheFirstStatementTry);
  CPPUNIT_TEST_SUITE_END();

  void growsWithTheQueue() {
    std::optional<WaitEstimate> Wait = estimateWait(10, {{2, 100.0}});
    CPPUNIT_ASSERT(Wait->Start == Milliseconds{500});
    CPPUNIT_ASSERT(Wait->Answer == Milliseconds{600});
    Wait = estimateWait(10, {{2, 100.0}, {3, 100.0}});
    CPPUNIT_ASSERT(Wait->Start == Milliseconds{200});
  }

  void isUnknownWithoutConnections() {
    CPPUNIT_ASSERT(!estimateWait(10, {}));
    CPPUNIT_ASSERT(!estimateWait(10, {{0, 100.0}}));
  }

  // Guards against refusing everything for good after a database was slow.
  void letsTheFirstStatementTry() {
    CPPUNIT_ASSERT(!estimateWait(0, {{1, 60000.0}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitEstimateTest);

} // namespace nutmegloom
