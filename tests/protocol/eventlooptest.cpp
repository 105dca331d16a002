#include "protocol/eventloop.h"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace nutmegloom {

class EventLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLoopTest);
  CPPUNIT_TEST(continuesAfterAnException);
  CPPUNIT_TEST(givesUpWhenExceptionsFollowOneAnother);
  CPPUNIT_TEST(continuesWhenExceptionsAreRare);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context Io_;
  TimePoint Now_{std::chrono::hours(1)};
  std::vector<std::string> Reported_;

  bool run() {
    return runEventLoop(
        Io_, [this] { return Now_; },
        [this](std::string_view Detail) { Reported_.emplace_back(Detail); });
  }

  void fail(Milliseconds Pause) {
    boost::asio::post(Io_, [this, Pause] {
      Now_ += Pause;
      throw std::runtime_error("unexpected");
    });
  }

  // Guards against an error in the handling of one message that ends the
  // process, and with it the sessions of all callers.
  void continuesAfterAnException() {
    bool Served = false;
    fail(Milliseconds{0});
    boost::asio::post(Io_, [&] { Served = true; });
    CPPUNIT_ASSERT(run());
    CPPUNIT_ASSERT(Served);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Reported_.size());
  }

  void givesUpWhenExceptionsFollowOneAnother() {
    for (int Count = 0; Count < 100; ++Count)
      fail(Milliseconds{10});
    CPPUNIT_ASSERT(!run());
    CPPUNIT_ASSERT_EQUAL(std::size_t(20), Reported_.size());
  }

  void continuesWhenExceptionsAreRare() {
    for (int Count = 0; Count < 100; ++Count)
      fail(Milliseconds{1000});
    CPPUNIT_ASSERT(run());
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), Reported_.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);

} // namespace nutmegloom
