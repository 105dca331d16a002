#include "testing/loadtool/latencystatistics.h"
#include "testing/loadtool/workload.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom::testing {

class LoadToolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadToolTest);
  CPPUNIT_TEST(findsPercentiles);
  CPPUNIT_TEST(hasNoPercentileWithoutValues);
  CPPUNIT_TEST(repeatsTheRequestsOfASeed);
  CPPUNIT_TEST(sendsTheStatedMix);
  CPPUNIT_TEST_SUITE_END();

  // A wrong bin would shift every figure of the benchmarks.
  void findsPercentiles() {
    LatencyStatistics Statistics;
    for (int Value = 1; Value <= 1000; ++Value)
      Statistics.record(Value);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, Statistics.percentile(0.50), 5);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(990, Statistics.percentile(0.99), 10);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, Statistics.greatest(), 0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1000), Statistics.count());
  }

  void hasNoPercentileWithoutValues() {
    CPPUNIT_ASSERT_EQUAL(0.0, LatencyStatistics().percentile(0.99));
  }

  static WorkloadOptions mix() {
    WorkloadOptions Options;
    Options.Seed = 7;
    Options.WriteShare = 0.3;
    Options.StragglerShare = 0.02;
    Options.StragglerMs = 50;
    Options.Classes = {"panels", "bookings"};
    return Options;
  }

  // Runs with different requests can't be compared.
  void repeatsTheRequestsOfASeed() {
    Workload First(mix());
    Workload Second(mix());
    for (int Count = 0; Count < 100; ++Count) {
      CPPUNIT_ASSERT_EQUAL(First.nextGap(100), Second.nextGap(100));
      const LoadRequest Left = First.next();
      const LoadRequest Right = Second.next();
      CPPUNIT_ASSERT_EQUAL(Left.Statement, Right.Statement);
      CPPUNIT_ASSERT_EQUAL(Left.Key, Right.Key);
      CPPUNIT_ASSERT_EQUAL(Left.Session, Right.Session);
      CPPUNIT_ASSERT_EQUAL(Left.WorkClass, Right.WorkClass);
    }
  }

  void sendsTheStatedMix() {
    Workload Requests(mix());
    int Writes = 0;
    int Stragglers = 0;
    for (int Count = 0; Count < 10000; ++Count) {
      const LoadRequest Request = Requests.next();
      Writes += Request.Kind == StatementKind::Write ? 1 : 0;
      Stragglers += Request.Straggler ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(Request.Kind == StatementKind::Write,
                           !Request.Key.empty());
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3000, Writes, 200);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(200, Stragglers, 60);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadToolTest);

} // namespace nutmegloom::testing
