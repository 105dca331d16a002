#include "sessions/hostschedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class HostScheduleTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostScheduleTest);
  CPPUNIT_TEST(readsRecordsOnlyOnceItIsListed);
  CPPUNIT_TEST(onlyTheFirstHostOfARegionReadsRecords);
  CPPUNIT_TEST(refreshesWhenAnotherHostIsAhead);
  CPPUNIT_TEST_SUITE_END();

  TimePoint Now_{std::chrono::hours(1)};
  SessionEngine Engine_{"h2",
                        7,
                        {"x", "z", "r"},
                        [](const ZoneName &) { return Distance::SameZone; },
                        hooks()};
  HostSchedule Schedule_{"h2", "r", Engine_};

  static SessionEngine::Hooks hooks() {
    SessionEngine::Hooks Hooks;
    Hooks.LeadershipChanged = [](const LeadershipRecord &) {};
    Hooks.Promotions.Report = [](const PromotionReport &) {};
    return Hooks;
  }

  void receiveObservation(const HostName &Host, std::uint64_t Version) {
    HostObservation Message;
    Message.Host = Host;
    Message.Region = "r";
    Message.Incarnation = 1;
    Message.SentAt = ++Sent_;
    Message.ConfigurationVersion = Version;
    Engine_.onObservation(Message, Now_);
  }
  std::uint64_t Sent_ = 0;

  // Promoters must find every host that reads records in the host list, so a
  // host must be listed before it reads them.
  void readsRecordsOnlyOnceItIsListed() {
    CPPUNIT_ASSERT(!Schedule_.isRecordsReadDue(Now_));
    Schedule_.onRegistered();
    CPPUNIT_ASSERT(Schedule_.isRecordsReadDue(Now_));
    Schedule_.onRecordsReadBegun(Now_);
    CPPUNIT_ASSERT(!Schedule_.isRecordsReadDue(Now_ + Milliseconds{400}));
    CPPUNIT_ASSERT(Schedule_.onRecordsRead(true, Now_) ==
                   PeerScope::SameRegion);
    CPPUNIT_ASSERT(Schedule_.isRecordsReadDue(Now_ + Milliseconds{400}));
  }

  void onlyTheFirstHostOfARegionReadsRecords() {
    Schedule_.onRegistered();
    Schedule_.onRecordsReadBegun(Now_);
    Schedule_.onRecordsRead(true, Now_);
    Now_ += Milliseconds{400};
    receiveObservation("h1", 0);
    CPPUNIT_ASSERT(!Schedule_.isRecordsReadDue(Now_));
    // The first host is no longer live, so this one is the first again.
    CPPUNIT_ASSERT(Schedule_.isRecordsReadDue(Now_ + Milliseconds{1300}));
  }

  // Guards against a host that misses changes because its own watch has
  // stalled.
  void refreshesWhenAnotherHostIsAhead() {
    receiveObservation("h1", 5);
    CPPUNIT_ASSERT(!Schedule_.refreshDue(Now_).Configuration);
    Now_ += Milliseconds{600};
    CPPUNIT_ASSERT(Schedule_.refreshDue(Now_).Configuration);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostScheduleTest);

} // namespace nutmegloom
