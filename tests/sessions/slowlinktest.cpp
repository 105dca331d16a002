#include "sessions/sessionengine.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

/// A host that relays to one member over a link on which a large configuration
/// takes seconds.
class SlowLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlowLinkTest);
  CPPUNIT_TEST(requestsAConfigurationOnceWhileItIsOnItsWay);
  CPPUNIT_TEST(requestsItAgainAfterTheLinkIsLost);
  CPPUNIT_TEST(noticesThatItsSourceIsSilent);
  CPPUNIT_TEST(keepsALinkOnWhichALargeMessageArrives);
  CPPUNIT_TEST(closesASilentLink);
  CPPUNIT_TEST_SUITE_END();

  TimePoint Now_{std::chrono::hours(1)};
  std::size_t Requests_ = 0;
  std::size_t ClosedLinks_ = 0;
  SessionEngine Engine_{"entry",
                        7,
                        {"x", "z", "r"},
                        [](const ZoneName &) { return Distance::SameZone; },
                        hooks()};

  SessionEngine::Hooks hooks() {
    SessionEngine::Hooks Hooks;
    Hooks.AskHost = [this](const HostName &, const RelayMessage &Message) {
      Requests_ += std::holds_alternative<ConfigurationRequest>(Message);
    };
    Hooks.CloseRelay = [this](const HostName &) { ++ClosedLinks_; };
    return Hooks;
  }

  void announceVersionFor(Milliseconds Span) {
    for (TimePoint End = Now_ + Span; Now_ < End; Now_ += Milliseconds{250})
      Engine_.onRelayAnswer("member", RelayPong{9, false}, Now_);
  }

  // Guards against a host that asks for the same configuration again and again,
  // which fills the link with copies of it.
  void requestsAConfigurationOnceWhileItIsOnItsWay() {
    announceVersionFor(Milliseconds{4500});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Requests_);
  }

  void requestsItAgainAfterTheLinkIsLost() {
    announceVersionFor(Milliseconds{1000});
    Engine_.router().onLinkLost("member", true, Now_);
    announceVersionFor(Milliseconds{1000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Requests_);
  }

  // Guards against waiting for a host that has lost power since it was asked.
  void noticesThatItsSourceIsSilent() {
    announceVersionFor(Milliseconds{250});
    for (int Count = 0; Count < 12; ++Count) {
      Now_ += Milliseconds{100};
      Engine_.router().tick(Now_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ClosedLinks_);
    Engine_.onRelayAnswer("other", RelayPong{9, false}, Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Requests_);
  }

  void startRelaying() {
    Engine_.setMember(false, Now_);
    Engine_.applyHosts({{"member", {"y", "z", "r"}}}, Now_);
    Engine_.tick(Now_);
  }

  // Guards against closing a link because an answer to a ping waits behind a
  // large message, which then has to be sent again.
  void keepsALinkOnWhichALargeMessageArrives() {
    startRelaying();
    for (int Count = 0; Count < 40; ++Count) {
      Now_ += Milliseconds{100};
      Engine_.router().onProgress("member", Now_);
      Engine_.router().tick(Now_);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), ClosedLinks_);
  }

  void closesASilentLink() {
    startRelaying();
    Now_ += Milliseconds{800};
    Engine_.router().tick(Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), ClosedLinks_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowLinkTest);

} // namespace nutmegloom
