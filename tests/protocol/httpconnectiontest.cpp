#include "protocol/httpconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

/// Tests of responses that arrive slowly.
class HttpConnectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpConnectionTest);
  CPPUNIT_TEST(acceptsSlowResponse);
  CPPUNIT_TEST(timesOutStalledResponse);
  CPPUNIT_TEST(timesOutWithoutAllowedPause);
  CPPUNIT_TEST(sendsNothingOnceARequestIsWithdrawn);
  CPPUNIT_TEST(sendsNothingOnceItsTimeHasPassed);
  CPPUNIT_TEST(deliversNothingOnceARequestIsGivenUp);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds Timeout{300};
  static constexpr int Pieces = 12;

  asio::io_context Io_;
  tcp::acceptor Acceptor_{Io_,
                          tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
  tcp::socket Peer_{Io_};
  asio::steady_timer Timer_{Io_};
  std::optional<std::variant<HttpResponse, HttpFailure>> Result_;

  /// Announces a body of Pieces bytes and sends only the first Sent of them,
  /// with a pause before each.
  void serve(int Sent) {
    Acceptor_.async_accept(Peer_, [this, Sent](auto Error) {
      CPPUNIT_ASSERT(!Error);
      asio::write(Peer_, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                      std::to_string(Pieces) + "\r\n\r\n"));
      sendPiece(Sent);
    });
  }

  void sendPiece(int Left) {
    if (Left == 0)
      return;
    Timer_.expires_after(milliseconds{50});
    Timer_.async_wait([this, Left](auto Error) {
      if (Error)
        return;
      boost::system::error_code Ignored;
      asio::write(Peer_, asio::buffer("x", 1), Ignored);
      sendPiece(Left - 1);
    });
  }

  void sendRequest(milliseconds MaximumPause) {
    auto Connection = HttpConnection::create(
        Io_, "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port()),
        1000);
    if (MaximumPause.count() > 0)
      Connection->allowSlowResponses(MaximumPause);
    Connection->connect(
        Timeout, [this, Connection](const HttpFailure *Failure) {
          CPPUNIT_ASSERT(!Failure);
          Connection->exchange(HttpRequest{}, Timeout,
                               [this](auto Result) { Result_ = Result; });
        });
    while (!Result_)
      Io_.run_one();
  }

  // Without the allowed pause, a configuration of 1 MB timed out on a slow link
  // between regions. It was requested again and again, which saturated the
  // link.
  void acceptsSlowResponse() {
    serve(Pieces);
    sendRequest(milliseconds{2000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(Pieces),
                         std::get<HttpResponse>(*Result_).Body.size());
  }

  void timesOutStalledResponse() {
    serve(Pieces - 1);
    sendRequest(milliseconds{400});
    CPPUNIT_ASSERT(std::get<HttpFailure>(*Result_).Kind ==
                   HttpFailureKind::TimedOut);
  }

  void timesOutWithoutAllowedPause() {
    serve(Pieces);
    sendRequest(milliseconds{0});
    CPPUNIT_ASSERT(std::get<HttpFailure>(*Result_).Kind ==
                   HttpFailureKind::TimedOut);
  }

  /// Returns what the peer receives of a request before the connection ends.
  std::string bytesOf(SendCheck MaySend, milliseconds TimeToSend) {
    std::string Received;
    Acceptor_.async_accept(Peer_, [&](auto Error) {
      CPPUNIT_ASSERT(!Error);
      asio::async_read(Peer_, asio::dynamic_buffer(Received),
                       [](auto, std::size_t) {});
    });
    exchangeOnce(
        Io_, "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port()),
        {}, TimeToSend, 1024,
        [this](auto Result) { Result_ = std::move(Result); },
        std::move(MaySend));
    Io_.run_for(std::chrono::seconds(2));
    return Received;
  }

  HttpFailureKind failureKind() const {
    return std::get<HttpFailure>(Result_.value()).Kind;
  }

  // Guards against a process that was suspended while it connected and then
  // sends a request to which it has no right any more.
  void sendsNothingOnceARequestIsWithdrawn() {
    std::string Received = bytesOf([] { return false; }, Timeout);
    CPPUNIT_ASSERT_EQUAL(std::string(), Received);
    CPPUNIT_ASSERT(failureKind() == HttpFailureKind::Withdrawn);
  }

  void sendsNothingOnceItsTimeHasPassed() {
    std::string Received = bytesOf(nullptr, milliseconds{0});
    CPPUNIT_ASSERT_EQUAL(std::string(), Received);
    CPPUNIT_ASSERT(failureKind() == HttpFailureKind::Withdrawn ||
                   failureKind() == HttpFailureKind::NotConnected);
  }

  // Guards against a request that takes effect long after its sender has given
  // it up: a partition held it up, and the end of the connection did not
  // withdraw it. Here the peer's window is full.
  void deliversNothingOnceARequestIsGivenUp() {
    constexpr std::size_t BodyBytes = std::size_t{256} * 1024;
    Acceptor_.set_option(asio::socket_base::receive_buffer_size(2048));
    Acceptor_.async_accept(Peer_, [](auto Error) { CPPUNIT_ASSERT(!Error); });
    HttpRequest Request;
    Request.Method = "POST";
    Request.Body = std::string(BodyBytes, 'x');
    exchangeOnce(
        Io_, "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port()),
        Request, Timeout, 1024,
        [this](auto Result) { Result_ = std::move(Result); });
    while (!Result_)
      Io_.run_one();
    CPPUNIT_ASSERT(failureKind() == HttpFailureKind::TimedOut);
    std::string Received;
    boost::system::error_code Error;
    asio::read(Peer_, asio::dynamic_buffer(Received), Error);
    CPPUNIT_ASSERT(Error == asio::error::connection_reset);
    CPPUNIT_ASSERT(Received.size() < BodyBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpConnectionTest);

} // namespace nutmegloom
