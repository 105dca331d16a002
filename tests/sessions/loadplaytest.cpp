#include "loadplay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

/// Plays heavy loads and checks what callers get.
class LoadPlayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadPlayTest);
  CPPUNIT_TEST(servesALoadWithinCapacity);
  CPPUNIT_TEST(refusesEarlyWhenOnlyTheLeaderCanServe);
  CPPUNIT_TEST(leavesRoomForHostsThatComeBack);
  CPPUNIT_TEST(servesRightAfterAllHostsLostPower);
  CPPUNIT_TEST_SUITE_END();

  void servesALoadWithinCapacity() {
    LoadPlay::Parameters Chosen;
    Chosen.ReadsPerSecond = 300;
    LoadPlay Play(Chosen);
    LoadPlay::Outcome Result = Play.run(Milliseconds{5000});
    CPPUNIT_ASSERT_EQUAL(Result.Sent, Result.Served);
  }

  // Guards against counting the idle connections to replicas that lag behind:
  // a read then waited for the leader until shortly before its deadline, and
  // was refused only then.
  void refusesEarlyWhenOnlyTheLeaderCanServe() {
    LoadPlay::Parameters Chosen;
    Chosen.ReplicasLag = true;
    Chosen.ReadsPerSecond = 225; // 1.5 times what the leader can serve
    LoadPlay Play(Chosen);
    Play.run(Milliseconds{3000});
    LoadPlay::Outcome Result = Play.run(Milliseconds{5000});
    // The leader serves 150 reads a second.
    CPPUNIT_ASSERT(Result.Served >= 5 * 150 * 9 / 10);
    CPPUNIT_ASSERT(Result.LongestRefusal <= Chosen.Deadline / 4);
  }

  // A database goes on counting the connections of hosts that lost power, so
  // the hosts together hold no more than half of its connection cap while they
  // need no more.
  void leavesRoomForHostsThatComeBack() {
    LoadPlay::Parameters Chosen;
    Chosen.ReadsPerSecond = 100;
    LoadPlay Play(Chosen);
    Play.run(Milliseconds{5000});
    for (const char *Id : {"a", "b", "c"})
      CPPUNIT_ASSERT(Play.connectionsOf(Id) <= Chosen.ConnectionCap / 2);
  }

  void servesRightAfterAllHostsLostPower() {
    LoadPlay::Parameters Chosen;
    Chosen.ReadsPerSecond = 200;
    LoadPlay Play(Chosen);
    Play.run(Milliseconds{5000});
    Play.restartHosts(Milliseconds{1000});
    LoadPlay::Outcome Result = Play.run(Milliseconds{1000});
    CPPUNIT_ASSERT_EQUAL(Result.Sent, Result.Served);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPlayTest);

} // namespace nutmegloom
