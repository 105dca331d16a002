#include "sessions/hosttable.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class HostTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HostTableTest);
  CPPUNIT_TEST(boundsTheAgeOfAMessageByItsEcho);
  CPPUNIT_TEST(ignoresAnEchoOfAnEarlierProcess);
  CPPUNIT_TEST(requiresEveryListedHostToFollow);
  CPPUNIT_TEST(resetsTheRevisionsOfARestartedHost);
  CPPUNIT_TEST(requiresAHostListReadAfterTheClaim);
  CPPUNIT_TEST(countsListedHostsAsConnectionHolders);
  CPPUNIT_TEST_SUITE_END();

  TimePoint Now_{std::chrono::hours(1)};
  HostTable Table_{"self", 7};

  HostObservation makeMessage(std::uint64_t Incarnation, std::uint64_t SentAt,
                              std::uint64_t Revision) const {
    HostObservation Message;
    Message.Host = "peer";
    Message.Incarnation = Incarnation;
    Message.SentAt = SentAt;
    Message.EchoIncarnation = 7;
    Message.EchoSentAt = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(
            (Now_ - Milliseconds{80}).time_since_epoch())
            .count());
    GroupObservation Group;
    Group.Record.Group = "g";
    Group.Record.Revision = Revision;
    Message.Groups.push_back(Group);
    return Message;
  }

  // A datagram may be delayed, so only the echoed send time bounds its age.
  void boundsTheAgeOfAMessageByItsEcho() {
    CPPUNIT_ASSERT(Table_.onMessage(makeMessage(1, 1, 5), Now_) ==
                   Now_ - Milliseconds{80});
  }

  // After a power loss the monotonic clock starts again, so the echo of an
  // earlier process could look recent.
  void ignoresAnEchoOfAnEarlierProcess() {
    HostObservation Message = makeMessage(1, 1, 5);
    Message.EchoIncarnation = 6;
    CPPUNIT_ASSERT(!Table_.onMessage(Message, Now_));
  }

  void requiresEveryListedHostToFollow() {
    Table_.applyListed({{"self", {"x", "", ""}},
                        {"peer", {"y", "", ""}},
                        {"silent", {"z", "", ""}}},
                       Now_);
    Table_.onMessage(makeMessage(1, 1, 5), Now_);
    CPPUNIT_ASSERT(!Table_.allAtRevision("g", 5, Now_));
    Table_.applyListed({{"self", {"x", "", ""}}, {"peer", {"y", "", ""}}},
                       Now_);
    CPPUNIT_ASSERT(Table_.allAtRevision("g", 5, Now_));
    CPPUNIT_ASSERT(!Table_.allAtRevision("g", 6, Now_));
  }

  void resetsTheRevisionsOfARestartedHost() {
    Table_.applyListed({{"peer", {"y", "", ""}}}, Now_);
    Table_.onMessage(makeMessage(1, 9, 5), Now_);
    HostObservation Restarted = makeMessage(2, 1, 5);
    Restarted.Groups.clear();
    Table_.onMessage(Restarted, Now_);
    CPPUNIT_ASSERT(!Table_.allAtRevision("g", 5, Now_));
  }

  // Guards against missing a host that was added after the list was read: it
  // may still use the old record.
  void requiresAHostListReadAfterTheClaim() {
    Table_.applyListed({{"peer", {"y", "", ""}}}, Now_);
    Table_.onMessage(makeMessage(1, 1, 5), Now_);
    CPPUNIT_ASSERT(!Table_.allAtRevision("g", 5, Now_ + Milliseconds{1}));
  }

  // Guards against a host that was started and takes all connections of a
  // database, because it has not heard of the others yet.
  void countsListedHostsAsConnectionHolders() {
    Table_.applyListed({{"self", {"x", "", ""}},
                        {"peer", {"y", "", ""}},
                        {"silent", {"z", "", ""}},
                        {"former", {"", "", ""}}},
                       Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Table_.connectionHolders(Now_));
    Table_.onMessage(makeMessage(1, 1, 5), Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2),
                         Table_.connectionHolders(Now_ + Milliseconds{4000}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostTableTest);

} // namespace nutmegloom
