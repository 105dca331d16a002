#include "platform/databaselinks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Checks the reported reason of connections that can't be opened.
class DatabaseLinksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseLinksTest);
  CPPUNIT_TEST(reportsAResetBeforeTheFirstAnswer);
  CPPUNIT_TEST(reportsARefusedConnection);
  CPPUNIT_TEST(sendsNoCommandAfterASuspension);
  CPPUNIT_TEST(withdrawsACommandThatIsGivenUp);
  CPPUNIT_TEST(withdrawsAStatementWhoseConnectionIsClosed);
  CPPUNIT_TEST_SUITE_END();

  struct Failure {
    OpenFailure Reason = OpenFailure::Answered;
    std::optional<StatementCode> Code;
  };

  asio::io_context Io_;
  TimePoint Now_;
  std::optional<Failure> Failed_;
  DatabaseLinks Links_{Io_,
                       {[this] { return Now_; },
                        [](ConnectionId, std::optional<Position>, TimePoint) {},
                        [this](ConnectionId, OpenFailure Reason,
                               std::optional<StatementCode> Code) {
                          Failed_ = Failure{Reason, Code};
                        },
                        [](ConnectionId) {},
                        [](ConnectionId, const StatementAnswer &) {}}};

  void open(std::uint16_t Port) {
    DatabaseListing Database;
    Database.Id = "a";
    Database.Group = "g";
    Database.Address = "127.0.0.1:" + std::to_string(Port);
    Links_.open(1, Database, {});
    while (!Failed_)
      Io_.run_one();
  }

  // After a power failure, databases may still count the connections of
  // processes that no longer exist and close new ones at once. Hosts must not
  // take such a reset for the loss of the primary and refuse its statements.
  void reportsAResetBeforeTheFirstAnswer() {
    tcp::acceptor Acceptor(Io_,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    Acceptor.async_accept([](auto Error, tcp::socket Socket) {
      CPPUNIT_ASSERT(!Error);
      // Lingering for 0 s resets the connection with the first message unread.
      Socket.set_option(asio::socket_base::linger(true, 0));
      Socket.close();
    });
    open(Acceptor.local_endpoint().port());
    CPPUNIT_ASSERT(Failed_->Reason == OpenFailure::Reset);
  }

  void reportsARefusedConnection() {
    std::uint16_t Port = 0;
    {
      tcp::acceptor Acceptor(
          Io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
      Port = Acceptor.local_endpoint().port();
    }
    open(Port);
    CPPUNIT_ASSERT(Failed_->Reason == OpenFailure::Refused);
  }

  // Guards against a host that is suspended while it connects to a database and
  // then sends a command, such as PAUSE, that rests on an outdated decision.
  void sendsNoCommandAfterASuspension() {
    tcp::acceptor Acceptor(Io_,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    std::string Received;
    std::shared_ptr<MessageStream> Database;
    Acceptor.async_accept([&](auto Error, tcp::socket Socket) {
      CPPUNIT_ASSERT(!Error);
      Database = MessageStream::create(std::move(Socket));
      Database->start({[&](std::string_view Line) {
                         Received += Line;
                         Now_ += Milliseconds{4000};
                         Database->write("READY I 3.1\r\n");
                       },
                       [] {}});
    });
    DatabaseListing Listing;
    Listing.Id = "a";
    Listing.Group = "g";
    Listing.Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    DatabaseCommand Pause;
    Pause.Verb = CommandVerb::Pause;
    Pause.Term = 4;
    bool Finished = false;
    Links_.executeOnce(Listing, Pause, [&](const DatabaseLinks::Reply &Reply) {
      Finished = true;
      CPPUNIT_ASSERT(!Reply.Report);
    });
    while (!Finished)
      Io_.run_one();
    Io_.poll();
    CPPUNIT_ASSERT(Received.find("PAUSE") == std::string::npos);
    Database->close();
  }

  /// Reads until the connection ends, and returns how it ends.
  static boost::system::error_code endOf(tcp::socket &Peer) {
    std::string Received;
    boost::system::error_code Error;
    asio::read(Peer, asio::dynamic_buffer(Received), Error);
    return Error;
  }

  // Guards against a command, such as RESUME, that a partition holds up and
  // that is carried out after another host has begun a promotion: only a reset
  // withdraws it.
  void withdrawsACommandThatIsGivenUp() {
    tcp::acceptor Acceptor(Io_,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    DatabaseListing Listing;
    Listing.Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    bool Finished = false;
    Links_.executeOnce(Listing, {},
                       [&](const DatabaseLinks::Reply &) { Finished = true; });
    tcp::socket Peer = Acceptor.accept();
    while (!Finished)
      Io_.run_one();
    CPPUNIT_ASSERT(endOf(Peer) == asio::error::connection_reset);
  }

  // The same for a statement whose outcome is in doubt.
  void withdrawsAStatementWhoseConnectionIsClosed() {
    tcp::acceptor Acceptor(Io_,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    DatabaseListing Listing;
    Listing.Address =
        "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
    Links_.open(1, Listing, {});
    tcp::socket Peer = Acceptor.accept();
    Io_.run_for(std::chrono::milliseconds(20));
    Links_.close(1);
    CPPUNIT_ASSERT(endOf(Peer) == asio::error::connection_reset);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseLinksTest);

} // namespace nutmegloom
