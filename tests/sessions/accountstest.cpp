#include "sessions/accounts.h"
#include "sessions/configurationfreshness.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class AccountsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccountsTest);
  CPPUNIT_TEST(findsTheAccountThatHoldsAKey);
  CPPUNIT_TEST(refusesAKeyOfTwoAccounts);
  CPPUNIT_TEST(namesAKeyWithoutRevealingIt);
  CPPUNIT_TEST(acceptsKeysOnlyWhileTheConfigurationIsConfirmed);
  CPPUNIT_TEST(keepsTheMomentsOfSeveralVersions);
  CPPUNIT_TEST(readsTheStoreWhenConfirmationsAreLate);
  CPPUNIT_TEST(acceptsAnyConfigurationWithoutABound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr Milliseconds Bound{5000};

  TimePoint Now_{std::chrono::hours(1)};

  static AccountSettings account(const AccountName &Name,
                                 const std::vector<std::string> &Keys) {
    AccountSettings Settings;
    Settings.Account = Name;
    for (const std::string &Key : Keys)
      Settings.Keys.insert(digestOf(Key));
    return Settings;
  }

  void findsTheAccountThatHoldsAKey() {
    AccountDirectory Directory(
        {{"a", account("a", {"k1", "k2"})}, {"b", account("b", {"k3"})}});
    CPPUNIT_ASSERT_EQUAL(AccountName("a"),
                         *Directory.accountOf(digestOf("k2")));
    CPPUNIT_ASSERT_EQUAL(AccountName("b"),
                         *Directory.accountOf(digestOf("k3")));
    CPPUNIT_ASSERT(!Directory.accountOf(digestOf("k4")));
    CPPUNIT_ASSERT(!Directory.accountOf(digestOf("")));
  }

  void refusesAKeyOfTwoAccounts() {
    AccountDirectory Directory({{"a", account("a", {"k1", "k2"})},
                                {"b", account("b", {"k2"})},
                                {"c", account("c", {"k2"})}});
    CPPUNIT_ASSERT(!Directory.accountOf(digestOf("k2")));
    CPPUNIT_ASSERT(Directory.accountOf(digestOf("k1")));
  }

  void namesAKeyWithoutRevealingIt() {
    // SHA-256 of "abc" begins with ba7816bf.
    CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf"), shortNameOf(digestOf("abc")));
  }

  // Guards against a host that can't hear of a withdrawn key and goes on to
  // accept it.
  void acceptsKeysOnlyWhileTheConfigurationIsConfirmed() {
    ConfigurationFreshness Freshness;
    Freshness.setBound(Bound);
    CPPUNIT_ASSERT(!Freshness.mayAcceptKeys(7, Now_));
    Freshness.confirm(7, Now_);
    CPPUNIT_ASSERT(Freshness.mayAcceptKeys(7, Now_ + Milliseconds{4500}));
    CPPUNIT_ASSERT(!Freshness.mayAcceptKeys(7, Now_ + Milliseconds{4800}));
    // An older moment, known from a slower message, changes nothing.
    Freshness.confirm(7, Now_ - Milliseconds{3000});
    CPPUNIT_ASSERT(Freshness.mayAcceptKeys(7, Now_ + Milliseconds{4500}));
    // A suspension of the host counts.
    CPPUNIT_ASSERT(!Freshness.mayAcceptKeys(7, Now_ + Milliseconds{60000}));
  }

  // A confirmation of a version that this host does not have yet says nothing
  // about the one that it uses, which may still be used until its own bound.
  void keepsTheMomentsOfSeveralVersions() {
    ConfigurationFreshness Freshness;
    Freshness.setBound(Bound);
    Freshness.confirm(7, Now_);
    Freshness.confirm(9, Now_ + Milliseconds{3000});
    CPPUNIT_ASSERT(Freshness.mayAcceptKeys(7, Now_ + Milliseconds{4500}));
    CPPUNIT_ASSERT(!Freshness.mayAcceptKeys(7, Now_ + Milliseconds{5500}));
    CPPUNIT_ASSERT(Freshness.mayAcceptKeys(9, Now_ + Milliseconds{5500}));
  }

  void readsTheStoreWhenConfirmationsAreLate() {
    ConfigurationFreshness Freshness;
    Freshness.setBound(Bound);
    Freshness.confirm(7, Now_);
    CPPUNIT_ASSERT(!Freshness.isReadDue(7, Now_ + Milliseconds{3000}));
    TimePoint Late = Now_ + Milliseconds{3600};
    CPPUNIT_ASSERT(Freshness.isReadDue(7, Late));
    Freshness.onReadBegun(Late);
    CPPUNIT_ASSERT(!Freshness.isReadDue(7, Late + Milliseconds{400}));
    CPPUNIT_ASSERT(Freshness.isReadDue(7, Late + Milliseconds{600}));
  }

  void acceptsAnyConfigurationWithoutABound() {
    ConfigurationFreshness Freshness;
    CPPUNIT_ASSERT(Freshness.mayAcceptKeys(7, Now_));
    CPPUNIT_ASSERT(!Freshness.isReadDue(7, Now_));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccountsTest);

} // namespace nutmegloom
