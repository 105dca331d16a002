#include "protocol/streamacceptor.h"

#include <cppunit/extensions/HelperMacros.h>
#include <sys/resource.h>

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::tcp;

class StreamAcceptorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamAcceptorTest);
  CPPUNIT_TEST(acceptsAgainOnceADescriptorIsFree);
  CPPUNIT_TEST(stopsListening);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io_;
  std::vector<std::shared_ptr<MessageStream>> Accepted_;
  StreamAcceptor Acceptor_{Io_, Framing::Lines, 16,
                           [this](std::shared_ptr<MessageStream> Stream) {
                             Accepted_.push_back(std::move(Stream));
                           }};
  tcp::endpoint Address_;

  void listen() {
    tcp::acceptor Probe(Io_,
                        tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    Address_ = Probe.local_endpoint();
    Probe.close();
    CPPUNIT_ASSERT_EQUAL(std::string(), Acceptor_.listen(Address_));
  }

  /// Number of handlers that ran within Span.
  std::size_t runFor(std::chrono::milliseconds Span) {
    Io_.restart();
    return Io_.run_for(Span);
  }

  // Guards against a loop that uses the whole processor while no descriptor is
  // free, since the waiting connection stays readable.
  void acceptsAgainOnceADescriptorIsFree() {
    listen();
    tcp::socket Client(Io_);
    Client.open(tcp::v4());
    rlimit Before{};
    getrlimit(RLIMIT_NOFILE, &Before);
    rlimit Lowered = Before;
    Lowered.rlim_cur = static_cast<rlim_t>(Client.native_handle()) + 1;
    setrlimit(RLIMIT_NOFILE, &Lowered);
    Client.connect(Address_);
    std::size_t Handlers = runFor(std::chrono::milliseconds{300});
    setrlimit(RLIMIT_NOFILE, &Before);
    CPPUNIT_ASSERT(Accepted_.empty());
    CPPUNIT_ASSERT(Handlers < 50);
    runFor(std::chrono::milliseconds{300});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Accepted_.size());
  }

  void stopsListening() {
    listen();
    CPPUNIT_ASSERT(Acceptor_.isListening());
    Acceptor_.stop();
    CPPUNIT_ASSERT(!Acceptor_.isListening());
    tcp::socket Client(Io_);
    boost::system::error_code Error;
    Client.connect(Address_, Error);
    CPPUNIT_ASSERT(Error == asio::error::connection_refused);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamAcceptorTest);

} // namespace nutmegloom
