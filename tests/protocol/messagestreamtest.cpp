#include "protocol/messagestream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Tests a stream whose peer, a plain socket, does not read.
class MessageStreamTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessageStreamTest);
  CPPUNIT_TEST(callsNoHandlerDuringAWrite);
  CPPUNIT_TEST(failsOnceBeyondTheOutputLimit);
  CPPUNIT_TEST(callsNoHandlerDuringConnect);
  CPPUNIT_TEST_SUITE_END();

  /// More than a stream of lines queues.
  static constexpr std::size_t TooMuch = std::size_t{5} * 1024 * 1024;

  asio::io_context Io_;
  tcp::acceptor Acceptor_{Io_,
                          tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket Peer_{Io_};
  std::shared_ptr<MessageStream> Stream_;
  int Closed_ = 0;

public:
  void setUp() override {
    tcp::socket Socket(Io_);
    Socket.connect(Acceptor_.local_endpoint());
    Acceptor_.accept(Peer_);
    Stream_ = MessageStream::create(std::move(Socket));
    Stream_->start({[](std::string_view) {}, [this] { ++Closed_; }});
  }

private:
  // Guards against a caller that goes on with an entry which the handler of the
  // connection's end has erased: the process ended by itself.
  void callsNoHandlerDuringAWrite() {
    Stream_->write(std::string(TooMuch, 'x'));
    CPPUNIT_ASSERT_EQUAL(0, Closed_);
    Io_.poll();
    CPPUNIT_ASSERT_EQUAL(1, Closed_);
    CPPUNIT_ASSERT(!Stream_->isOpen());
  }

  void failsOnceBeyondTheOutputLimit() {
    // The peer's window is full, so that the stream waits until it can write.
    Stream_->write(std::string(TooMuch / 2, 'x'));
    Io_.poll();
    CPPUNIT_ASSERT_EQUAL(0, Closed_);
    for (int Part = 0; Part < 10; ++Part)
      Stream_->write(std::string(TooMuch, 'x'));
    CPPUNIT_ASSERT_EQUAL(0, Closed_);
    Io_.run_for(std::chrono::milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(1, Closed_);
  }

  void callsNoHandlerDuringConnect() {
    int Called = 0;
    connectStream(Io_, "10.0.0.9:70000", Framing::Lines, {},
                  [&](const auto &Stream, ConnectResult Result) {
                    ++Called;
                    CPPUNIT_ASSERT(!Stream);
                    CPPUNIT_ASSERT(Result == ConnectResult::NoAnswer);
                  });
    CPPUNIT_ASSERT_EQUAL(0, Called);
    Io_.poll();
    CPPUNIT_ASSERT_EQUAL(1, Called);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageStreamTest);

} // namespace nutmegloom
