#include "protocol/peernetwork.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

namespace {

using Configuration = std::pair<std::uint64_t, std::string>;
using Failure = PeerNetwork::Failure;

/// Host that serves peers. Execute stores the request and its answer function.
struct TestHost {
  std::shared_ptr<PeerNetwork> Network;
  std::string Address;
  std::optional<CallerRequest> Request;
  PeerNetwork::AnswerFunction Answer;
  bool Cancelled = false;
  std::optional<PeerHeartbeat> LastHeartbeat;

  explicit TestHost(boost::asio::io_context &Io,
                    const std::string &ListenAddress = "127.0.0.1:0")
      : Network(makePeerNetwork(Io, ListenAddress)) {
    PeerNetwork::Service Service;
    Service.Execute = [this](const CallerRequest &Arrived,
                             PeerNetwork::AnswerFunction Function) {
      Request = Arrived;
      Answer = std::move(Function);
      return [this] { Cancelled = true; };
    };
    Service.Heartbeat = [this](const PeerHeartbeat &Arrived) {
      LastHeartbeat = Arrived;
      return PeerHeartbeat{"own", "2", {}, {}, Address, HostState::Ready,
                           3,     {}};
    };
    Service.Configuration = [] { return Configuration(7, "text"); };
    const auto Listening = Network->listen(Service);
    CPPUNIT_ASSERT(std::holds_alternative<std::string>(Listening));
    Address = std::get<std::string>(Listening);
  }
  ~TestHost() { Network->stop(); }
};

} // namespace

class PeerNetworkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerNetworkTest);
  CPPUNIT_TEST(transmitsEveryFieldOfTask);
  CPPUNIT_TEST(exchangesHeartbeatsAndConfigurations);
  CPPUNIT_TEST(reportsNotSentForUnreachablePeer);
  CPPUNIT_TEST(reportsSentWhenPeerStopsDuringTask);
  CPPUNIT_TEST(cancelsTaskAfterDeadline);
  CPPUNIT_TEST(keepsServingAfterMalformedInput);
  CPPUNIT_TEST(keepsServingAfterOversizedMessages);
  CPPUNIT_TEST(reconnectsAfterPeerRestart);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context Io_;
  // Keeps the context running while only the threads of the peers have work.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Guard_ = boost::asio::make_work_guard(Io_);

  void runUntil(const std::function<bool()> &IsDone) {
    while (!IsDone())
      Io_.run_one();
  }

  template <typename T> struct ResultHolder {
    std::optional<std::variant<T, Failure>> Value;
    auto handler() {
      return [this](std::variant<T, Failure> Arrived) {
        Value = std::move(Arrived);
      };
    }
  };

  std::variant<CallerAnswer, Failure> execute(PeerNetwork &From,
                                              const std::string &Address,
                                              const CallerRequest &Request) {
    ResultHolder<CallerAnswer> Result;
    From.execute(Address, Request, Result.handler());
    runUntil([&] { return Result.Value.has_value(); });
    return *Result.Value;
  }

  std::variant<Configuration, Failure> fetch(PeerNetwork &From,
                                             const std::string &Address) {
    ResultHolder<Configuration> Result;
    From.getConfiguration(Address, Result.handler());
    runUntil([&] { return Result.Value.has_value(); });
    return *Result.Value;
  }

  static CallerRequest makeRequest() {
    CallerRequest Request;
    Request.Step = RequestStep::Commit;
    Request.Group = "salas-db/1";
    Request.Kind = StatementKind::Write;
    Request.Statement = "{\"op\":\"get\"}";
    Request.StatementDigest = 11;
    Request.MaximumAge = Milliseconds(12);
    Request.Required = Position{3, 14};
    Request.Key = "key";
    Request.Fingerprint = 15;
    Request.Transaction = "transaction";
    Request.WorkClass = "panel";
    Request.Caller = "caller";
    Request.Deadline = std::chrono::steady_clock::now() + Milliseconds(30000);
    Request.TraceParent = "trace";
    return Request;
  }

  // A field that is not encoded would be lost between entry host and owner.
  void transmitsEveryFieldOfTask() {
    TestHost Owner(Io_);
    TestHost Entry(Io_);
    const CallerRequest Request = makeRequest();
    ResultHolder<CallerAnswer> Result;
    Entry.Network->execute(Owner.Address, Request, Result.handler());
    runUntil([&] { return Owner.Request.has_value(); });
    const CallerRequest &Arrived = *Owner.Request;
    CPPUNIT_ASSERT(Arrived.Step == Request.Step);
    CPPUNIT_ASSERT(Arrived.Group == Request.Group);
    CPPUNIT_ASSERT(Arrived.Kind == Request.Kind);
    CPPUNIT_ASSERT(Arrived.Statement == Request.Statement);
    CPPUNIT_ASSERT(Arrived.StatementDigest == Request.StatementDigest);
    CPPUNIT_ASSERT(Arrived.MaximumAge == Request.MaximumAge);
    CPPUNIT_ASSERT(Arrived.Required == Request.Required);
    CPPUNIT_ASSERT(Arrived.Key == Request.Key);
    CPPUNIT_ASSERT(Arrived.Fingerprint == Request.Fingerprint);
    CPPUNIT_ASSERT(Arrived.Transaction == Request.Transaction);
    CPPUNIT_ASSERT(Arrived.WorkClass == Request.WorkClass);
    CPPUNIT_ASSERT(Arrived.Caller == Request.Caller);
    CPPUNIT_ASSERT(Arrived.TraceParent == Request.TraceParent);
    CPPUNIT_ASSERT(Arrived.Deadline > std::chrono::steady_clock::now());

    const CallerAnswer Answer{
        Outcome::NotRun, ErrorCode::Overloaded, "detail",        "body",
        Position{4, 5},  "salas-db-2",          Milliseconds(6), true,
        "transaction",   Milliseconds(7),       "lima",          true};
    Owner.Answer(Answer);
    runUntil([&] { return Result.Value.has_value(); });
    const auto &Got = std::get<CallerAnswer>(*Result.Value);
    CPPUNIT_ASSERT(Got.Result == Answer.Result && Got.Error == Answer.Error);
    CPPUNIT_ASSERT(Got.Detail == Answer.Detail && Got.Body == Answer.Body);
    CPPUNIT_ASSERT(Got.Seen == Answer.Seen && Got.Age == Answer.Age);
    CPPUNIT_ASSERT(Got.Database == Answer.Database);
    CPPUNIT_ASSERT(Got.Replayed == Answer.Replayed);
    CPPUNIT_ASSERT(Got.Transaction == Answer.Transaction);
    CPPUNIT_ASSERT(Got.RetryAfter == Answer.RetryAfter);
    CPPUNIT_ASSERT(Got.RedirectRegion == Answer.RedirectRegion);
    CPPUNIT_ASSERT(Got.FromReplica == Answer.FromReplica);
    CPPUNIT_ASSERT(!Owner.Cancelled);
  }

  // Without the summaries in heartbeats, hosts that have only a seed in common
  // would not learn of each other.
  void exchangesHeartbeatsAndConfigurations() {
    TestHost Near(Io_);
    TestHost Far(Io_);
    PeerHeartbeat Heartbeat{"near",
                            "1",
                            "lima",
                            "lima-miraflores",
                            Near.Address,
                            HostState::Leaving,
                            9,
                            {}};
    Heartbeat.Known.push_back({"third", "4", "lima", "lima-sanisidro",
                               "127.0.0.1:1", HostState::Ready, 8,
                               Milliseconds(20), true});
    ResultHolder<PeerHeartbeat> Result;
    Near.Network->heartbeat(Far.Address, Heartbeat, Result.handler());
    runUntil([&] { return Result.Value.has_value(); });
    CPPUNIT_ASSERT(std::get<PeerHeartbeat>(*Result.Value).Host == "own");
    CPPUNIT_ASSERT(Far.LastHeartbeat->State == HostState::Leaving);
    CPPUNIT_ASSERT(Far.LastHeartbeat->Zone == Heartbeat.Zone &&
                   Far.LastHeartbeat->ConfigurationVersion == 9);
    CPPUNIT_ASSERT(Far.LastHeartbeat->Known.size() == 1);
    const PeerSummary &Known = Far.LastHeartbeat->Known.front();
    CPPUNIT_ASSERT(Known.Host == "third" && Known.Suspected &&
                   Known.Age == Milliseconds(20));
    CPPUNIT_ASSERT(std::get<Configuration>(fetch(*Near.Network, Far.Address)) ==
                   Configuration(7, "text"));
  }

  // If a write that was not sent were reported as sent, its outcome would have
  // to be settled. If one that may have arrived were reported as not sent, it
  // would be executed twice.
  void reportsNotSentForUnreachablePeer() {
    TestHost Entry(Io_);
    std::string Address;
    {
      TestHost Gone(Io_);
      Address = Gone.Address;
    }
    for (const std::string &Target :
         {Address, std::string("unix:/tmp/x"), std::string("localhost:1"),
          std::string()}) {
      const auto Result = execute(*Entry.Network, Target, makeRequest());
      CPPUNIT_ASSERT(!std::get<Failure>(Result).Sent);
    }
  }

  void reportsSentWhenPeerStopsDuringTask() {
    TestHost Entry(Io_);
    TestHost Owner(Io_);
    ResultHolder<CallerAnswer> Result;
    Entry.Network->execute(Owner.Address, makeRequest(), Result.handler());
    runUntil([&] { return Owner.Request.has_value(); });
    Owner.Network->stop();
    runUntil([&] { return Result.Value.has_value(); });
    CPPUNIT_ASSERT(std::get<Failure>(*Result.Value).Sent);
  }

  // Without a timeout, an owner that doesn't answer would block the call.
  // Without a cancellation, the owner would go on working for a caller that no
  // longer waits.
  void cancelsTaskAfterDeadline() {
    TestHost Entry(Io_);
    TestHost Owner(Io_);
    CallerRequest Request = makeRequest();
    Request.Deadline = std::chrono::steady_clock::now();
    const auto Result = execute(*Entry.Network, Owner.Address, Request);
    CPPUNIT_ASSERT(std::get<Failure>(Result).Sent);
    runUntil([&] { return Owner.Cancelled; });
  }

  void keepsServingAfterMalformedInput() {
    TestHost Entry(Io_);
    TestHost Owner(Io_);
    using boost::asio::ip::tcp;
    const auto Port = static_cast<std::uint16_t>(
        std::stoi(Owner.Address.substr(Owner.Address.rfind(':') + 1)));
    // Another protocol, a segment table that claims 16 GiB, and a truncated
    // message.
    for (const std::string &Bytes :
         {std::string("GET / HTTP/1.1\r\n\r\n"),
          std::string("\0\0\0\0\xff\xff\xff\x7f", 8),
          std::string("\0\0\0\0\x01\0\0\0\0\0", 10)}) {
      tcp::socket Socket(Io_);
      Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
      boost::asio::write(Socket, boost::asio::buffer(Bytes));
      // Errors are ignored, since the peer may close the connection first.
      boost::system::error_code Error;
      Socket.shutdown(tcp::socket::shutdown_send, Error);
      std::array<char, 4096> Reply{};
      Error.clear();
      while (!Error)
        Socket.read_some(boost::asio::buffer(Reply), Error);
    }
    const auto Result = fetch(*Entry.Network, Owner.Address);
    CPPUNIT_ASSERT(std::holds_alternative<Configuration>(Result));
  }

  void keepsServingAfterOversizedMessages() {
    TestHost Entry(Io_);
    TestHost Owner(Io_);
    ResultHolder<CallerAnswer> Result;
    Entry.Network->execute(Owner.Address, makeRequest(), Result.handler());
    runUntil([&] { return Owner.Request.has_value(); });
    CallerAnswer Large;
    Large.Body.assign(std::size_t(8) << 20, 'x');
    Owner.Answer(Large);
    runUntil([&] { return Result.Value.has_value(); });
    CPPUNIT_ASSERT(std::get<Failure>(*Result.Value).Sent);
    CPPUNIT_ASSERT(std::holds_alternative<Configuration>(
        fetch(*Entry.Network, Owner.Address)));
    CallerRequest Request = makeRequest();
    Request.Statement = Large.Body;
    CPPUNIT_ASSERT(
        !std::get<Failure>(execute(*Entry.Network, Owner.Address, Request))
             .Sent);
  }

  // If a failed connection were kept, a restarted host could never be reached
  // again.
  void reconnectsAfterPeerRestart() {
    TestHost Entry(Io_);
    auto Owner = std::make_unique<TestHost>(Io_);
    const std::string Address = Owner->Address;
    CPPUNIT_ASSERT(
        std::holds_alternative<Configuration>(fetch(*Entry.Network, Address)));
    Owner.reset();
    CPPUNIT_ASSERT(
        std::holds_alternative<Failure>(fetch(*Entry.Network, Address)));
    TestHost Restarted(Io_, Address);
    // Calls fail at once until the backoff ends.
    while (!std::holds_alternative<Configuration>(
        fetch(*Entry.Network, Address))) {
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNetworkTest);

} // namespace nutmegloom
