#include "protocol/messagestream.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
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
  CPPUNIT_TEST(deliversItsOutputToASlowPeerBeforeItCloses);
  CPPUNIT_TEST(closesOnAPeerThatTakesNothing);
  CPPUNIT_TEST(discardsInputWhileItCloses);
  CPPUNIT_TEST_SUITE_END();

  /// More than a stream of lines queues.
  static constexpr std::size_t TooMuch = std::size_t{5} * 1024 * 1024;
  /// More than the system takes while the peer does not read.
  static constexpr std::size_t MuchOutput = std::size_t{4} * 1024 * 1024 - 1;

  asio::io_context Io_;
  tcp::acceptor Acceptor_{Io_,
                          tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket Peer_{Io_};
  std::shared_ptr<MessageStream> Stream_;
  int Messages_ = 0;
  int Closed_ = 0;

public:
  void setUp() override {
    tcp::socket Socket(Io_);
    Socket.connect(Acceptor_.local_endpoint());
    Acceptor_.accept(Peer_);
    Stream_ = MessageStream::create(std::move(Socket));
    Stream_->start(
        {[this](std::string_view) { ++Messages_; }, [this] { ++Closed_; }});
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

  // Guards against an answer that is cut off because the peer reads slowly
  // while a host drains.
  void deliversItsOutputToASlowPeerBeforeItCloses() {
    std::string Sent(MuchOutput, 'x');
    Stream_->write(Sent);
    Io_.poll();
    CPPUNIT_ASSERT(Stream_->hasUnsentOutput());
    Stream_->closeWhenSent(std::chrono::seconds(10));
    std::string Received;
    std::array<char, 4096> Part{};
    boost::system::error_code Error;
    while (!Error) {
      Io_.poll();
      Received.append(Part.data(), Peer_.read_some(asio::buffer(Part), Error));
    }
    CPPUNIT_ASSERT(Error == asio::error::eof);
    CPPUNIT_ASSERT_EQUAL(Sent.size(), Received.size());
    Peer_.close();
    Io_.run_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT(!Stream_->isOpen());
    CPPUNIT_ASSERT_EQUAL(0, Closed_);
  }

  void closesOnAPeerThatTakesNothing() {
    Stream_->write(std::string(MuchOutput, 'x'));
    Io_.poll();
    Stream_->closeWhenSent(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(Stream_->isOpen());
    Io_.run_for(std::chrono::milliseconds(500));
    CPPUNIT_ASSERT(!Stream_->isOpen());
    CPPUNIT_ASSERT_EQUAL(0, Closed_);
  }

  void discardsInputWhileItCloses() {
    Stream_->write("last\r\n");
    Stream_->closeWhenSent(std::chrono::seconds(10));
    Stream_->write("ignored\r\n");
    asio::write(Peer_, asio::buffer("late message\r\n", 14));
    Io_.run_for(std::chrono::milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(0, Messages_);
    std::string Received;
    boost::system::error_code Error;
    asio::read(Peer_, asio::dynamic_buffer(Received), Error);
    CPPUNIT_ASSERT(Error == asio::error::eof);
    CPPUNIT_ASSERT_EQUAL(std::string("last\r\n"), Received);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessageStreamTest);

} // namespace nutmegloom
