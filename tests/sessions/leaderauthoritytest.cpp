#include "sessions/leaderauthority.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class LeaderAuthorityTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaderAuthorityTest);
  CPPUNIT_TEST(expiresWithoutConfirmation);
  CPPUNIT_TEST(endsWithAClaim);
  CPPUNIT_TEST(ignoresAnOlderRecord);
  CPPUNIT_TEST(neverMovesAConfirmationBack);
  CPPUNIT_TEST_SUITE_END();

  const TimePoint Start_{std::chrono::hours(1)};

  static LeadershipRecord makeRecord(const DatabaseId &Leader,
                                     std::uint64_t Revision,
                                     LeadershipPhase Phase) {
    LeadershipRecord Record;
    Record.Group = "g";
    Record.Leader = Leader;
    Record.Revision = Revision;
    Record.Phase = Phase;
    return Record;
  }

  // Guards against a host that resumes from a pause and uses a primary that may
  // have been replaced.
  void expiresWithoutConfirmation() {
    LeaderAuthority Authority;
    Authority.confirm(makeRecord("a", 1, LeadershipPhase::Settled), Start_);
    CPPUNIT_ASSERT(Authority.leaderForSending("g", Start_) == "a");
    TimePoint End = Start_ + LeadershipValidity;
    CPPUNIT_ASSERT(Authority.mayAcknowledge("g", "a", End));
    CPPUNIT_ASSERT(!Authority.leaderForSending("g", End));
    CPPUNIT_ASSERT(!Authority.mayAcknowledge("g", "a", End + Milliseconds{1}));
  }

  void endsWithAClaim() {
    LeaderAuthority Authority;
    Authority.confirm(makeRecord("a", 1, LeadershipPhase::Settled), Start_);
    Authority.confirm(makeRecord("b", 2, LeadershipPhase::Promoting), Start_);
    CPPUNIT_ASSERT(!Authority.leaderForSending("g", Start_));
    CPPUNIT_ASSERT(!Authority.mayAcknowledge("g", "a", Start_));
    CPPUNIT_ASSERT(!Authority.mayAcknowledge("g", "b", Start_));
  }

  // The older record comes from a host that does not know of the claim yet.
  void ignoresAnOlderRecord() {
    LeaderAuthority Authority;
    Authority.confirm(makeRecord("b", 2, LeadershipPhase::Promoting), Start_);
    Authority.confirm(makeRecord("a", 1, LeadershipPhase::Settled),
                      Start_ + Milliseconds{5});
    CPPUNIT_ASSERT(!Authority.leaderForSending("g", Start_));
  }

  void neverMovesAConfirmationBack() {
    LeaderAuthority Authority;
    Authority.confirm(makeRecord("a", 1, LeadershipPhase::Settled), Start_);
    Authority.confirm(makeRecord("a", 1, LeadershipPhase::Settled),
                      Start_ - Milliseconds{500});
    CPPUNIT_ASSERT(Authority.confirmedAt("g") == Start_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderAuthorityTest);

} // namespace nutmegloom
