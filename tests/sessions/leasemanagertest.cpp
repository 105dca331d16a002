#include "sessions/leasemanager.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

/// Tests the lease of one process against a store that loses it.
class LeaseManagerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeaseManagerTest);
  CPPUNIT_TEST(givesNoTokenTwiceAfterTheStoreForgotThem);
  CPPUNIT_TEST(givesHigherTokensThanOtherHostsKnow);
  CPPUNIT_TEST(waitsForAHolderThatHasNotHeardOfTheEra);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Milliseconds Step{50};

  TimePoint Now_{std::chrono::hours(1)};
  HostTable Hosts_{"self", 7};
  std::optional<PromotionLease> Written_;

  LeaseManager makeManager() {
    return {Hosts_, [this](const PromotionLease &Lease, StoreRevision) {
              Written_ = Lease;
            }};
  }

  /// A lease of another host.
  static PromotionLease leaseOfOther(std::uint64_t Token, StoreRevision At,
                                     std::uint64_t WrittenInEra) {
    return {"other", 1, Token, At, WrittenInEra};
  }

  /// Returns the token of the lease that the host writes once it may.
  std::uint64_t acquire(LeaseManager &Manager) {
    Written_.reset();
    TimePoint End = Now_ + HolderTimeout * 2;
    while (!Written_ && Now_ < End) {
      Now_ += Step;
      Manager.acquireOrRenew(Now_);
    }
    CPPUNIT_ASSERT(Written_);
    return Written_->Token;
  }

  // Guards against two holders that promote with the same token: all processes
  // were restarted, and the store came back from a copy of before the first
  // one.
  void givesNoTokenTwiceAfterTheStoreForgotThem() {
    LeaseManager First = makeManager();
    First.onRead(leaseOfOther(8, StoreRevision(40, 1), 1), Now_);
    std::uint64_t Token = acquire(First);
    LeaseManager WithoutLease = makeManager();
    WithoutLease.onAbsent(2, Now_);
    CPPUNIT_ASSERT(acquire(WithoutLease) > Token);
    LeaseManager WithCopy = makeManager();
    WithCopy.onRead(leaseOfOther(5, StoreRevision(30, 2), 1), Now_);
    CPPUNIT_ASSERT(acquire(WithCopy) > Token);
  }

  void givesHigherTokensThanOtherHostsKnow() {
    LeaseManager Manager = makeManager();
    Manager.onAbsent(2, Now_);
    std::uint64_t Known = std::uint64_t{1} << 40;
    Manager.onRead(leaseOfOther(Known, StoreRevision(40, 1), 1), Now_);
    CPPUNIT_ASSERT(acquire(Manager) > Known);
  }

  // Guards against two holders at the same time: one that is cut off from the
  // store goes on for as long as its lease is valid.
  void waitsForAHolderThatHasNotHeardOfTheEra() {
    LeaseManager Manager = makeManager();
    Manager.onRead(leaseOfOther(8, StoreRevision(40, 1), 1), Now_);
    Now_ += HolderTimeout * 2;
    Manager.onAbsent(2, Now_);
    CPPUNIT_ASSERT(!Manager.mayAcquire(Now_ + HolderTimeout - Step));
    CPPUNIT_ASSERT(Manager.mayAcquire(Now_ + HolderTimeout));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseManagerTest);

} // namespace nutmegloom
