#include "core/freshness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class FreshnessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FreshnessTest);
  CPPUNIT_TEST(isStaleBelowTheRequiredIndex);
  CPPUNIT_TEST(isFreshInALaterTermThatKeptTheWrite);
  CPPUNIT_TEST(reportsALostWriteAlthoughTheIndexIsHigher);
  CPPUNIT_TEST(isStaleInAnEarlierTerm);
  CPPUNIT_TEST(reportsALostWriteOfATermThatTheLogNeverHad);
  CPPUNIT_TEST_SUITE_END();

  const TermHistory OneTerm_{{1, 0}};
  const TermHistory TwoTerms_{{1, 0}, {2, 8}};

  void isStaleBelowTheRequiredIndex() {
    CPPUNIT_ASSERT(checkFreshness({1, 5}, 1, 4, OneTerm_) == Freshness::Stale);
    CPPUNIT_ASSERT(checkFreshness({1, 5}, 1, 5, OneTerm_) == Freshness::Fresh);
  }

  void isFreshInALaterTermThatKeptTheWrite() {
    CPPUNIT_ASSERT(checkFreshness({1, 8}, 2, 9, TwoTerms_) == Freshness::Fresh);
    CPPUNIT_ASSERT(checkFreshness({1, 8}, 2, 7, TwoTerms_) == Freshness::Stale);
  }

  // Comparing indexes alone would find entry 10 of term 1 in the log, because
  // term 2 has grown past index 10.
  void reportsALostWriteAlthoughTheIndexIsHigher() {
    CPPUNIT_ASSERT(checkFreshness({1, 10}, 2, 12, TwoTerms_) ==
                   Freshness::Lost);
  }

  // Term 2 began at index 4 of a log that did not survive. In this log the
  // entry at index 5 belongs to term 1.
  void reportsALostWriteOfATermThatTheLogNeverHad() {
    CPPUNIT_ASSERT(checkFreshness({2, 5}, 3, 7, {{1, 0}, {3, 6}}) ==
                   Freshness::Lost);
  }

  void isStaleInAnEarlierTerm() {
    CPPUNIT_ASSERT(checkFreshness({2, 9}, 1, 10, OneTerm_) == Freshness::Stale);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FreshnessTest);

} // namespace nutmegloom
