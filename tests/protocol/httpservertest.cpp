#include "protocol/httpserver.h"

#include <boost/asio.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <random>
#include <thread>

namespace nutmegloom {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

HttpResponse makeResponse(std::string Body) {
  HttpResponse Response;
  Response.Status = 200;
  Response.Body = std::move(Body);
  return Response;
}

/// Server on loopback with its own thread. A request for "/hold" stores its
/// Respond function in Held; any other is answered with its target, its body
/// and its header X-Test.
class RunningServer {
public:
  explicit RunningServer(HttpServerLimits Limits = {}) {
    Server = HttpServer::create(
        Io, Limits,
        [this](const HttpServerRequest &Request,
               HttpServer::Respond Answer) -> std::function<void()> {
          if (Request.Target == "/hold") {
            Held = std::move(Answer);
            Holding.set_value();
            return [this] { CallerDisconnected.set_value(); };
          }
          Answer(makeResponse(std::string(Request.Target) + " " +
                              std::string(Request.Body) + " " +
                              std::string(Request.header("x-test"))));
          return {};
        });
    auto Listening = Server->listen("127.0.0.1:0");
    Address = std::get<std::string>(Listening);
    Thread = std::thread([this] { Io.run(); });
  }
  ~RunningServer() {
    Io.stop();
    Thread.join();
    // Held owns a connection, which must be destroyed before the io_context.
    Held = nullptr;
  }
  RunningServer(const RunningServer &) = delete;
  RunningServer &operator=(const RunningServer &) = delete;

  asio::io_context Io;
  std::shared_ptr<HttpServer> Server;
  std::string Address;
  HttpServer::Respond Held;
  std::promise<void> Holding;
  std::promise<void> CallerDisconnected;
  std::thread Thread;
};

class Client {
public:
  explicit Client(const RunningServer &Server) : Socket(Io) {
    auto Port = std::stoi(Server.Address.substr(Server.Address.rfind(':') + 1));
    Socket.connect({asio::ip::make_address("127.0.0.1"),
                    static_cast<unsigned short>(Port)});
  }
  void send(const std::string &Text) {
    asio::write(Socket, asio::buffer(Text));
  }
  /// Reads up to and including Mark.
  std::string readTo(const std::string &Mark) {
    std::string Text;
    auto Size = asio::read_until(Socket, asio::dynamic_buffer(Input), Mark);
    Text = Input.substr(0, Size);
    Input.erase(0, Size);
    return Text;
  }
  /// Reads until the server closes the connection.
  std::string readToEnd() {
    boost::system::error_code Error;
    asio::read(Socket, asio::dynamic_buffer(Input), Error);
    CPPUNIT_ASSERT_EQUAL(std::string("End of file"), Error.message());
    return std::exchange(Input, {});
  }

  asio::io_context Io;
  tcp::socket Socket;
  std::string Input;
};

void checkProblem(const std::string &Response, const std::string &Status,
                  const std::string &Code) {
  CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + Status,
                       Response.substr(0, 9 + Status.size()));
  CPPUNIT_ASSERT(Response.find("application/problem+json") !=
                 std::string::npos);
  CPPUNIT_ASSERT(Response.find("\"code\":\"" + Code + "\"") !=
                 std::string::npos);
  CPPUNIT_ASSERT(Response.find(R"("outcome":"not_run")") != std::string::npos);
}

} // namespace

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(keepsConnectionsOpen);
  CPPUNIT_TEST(acceptsFragmentedRequest);
  CPPUNIT_TEST(continuesOnExpectation);
  CPPUNIT_TEST(refusesMalformedInput);
  CPPUNIT_TEST(survivesMutatedRequests);
  CPPUNIT_TEST(refusesLargeHeader);
  CPPUNIT_TEST(refusesLargeBody);
  CPPUNIT_TEST(refusesTruncatedRequest);
  CPPUNIT_TEST(refusesSlowRequest);
  CPPUNIT_TEST(closesIdleConnection);
  CPPUNIT_TEST(limitsConnections);
  CPPUNIT_TEST(reportsCallerDisconnect);
  CPPUNIT_TEST(finishesRunningRequestOnStop);
  CPPUNIT_TEST_SUITE_END();

  /// Pipelined requests must all be answered, in the order of the requests.
  void keepsConnectionsOpen() {
    RunningServer Server;
    Client Caller(Server);
    Caller.send("GET /a HTTP/1.1\r\nHost: h\r\nX-Test: one\r\n\r\n"
                "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
    CPPUNIT_ASSERT(Caller.readTo("/a  one").starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT(Caller.readTo("/b xyz ").starts_with("HTTP/1.1 200"));
    Caller.send("GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
    Caller.readTo("/c  ");
  }

  /// Parsing must not depend on how TCP splits the input.
  void acceptsFragmentedRequest() {
    RunningServer Server;
    Client Caller(Server);
    Caller.Socket.set_option(tcp::no_delay(true));
    for (char Byte :
         std::string("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n2\r\nab\r\n3;x=y\r\ncde\r\n0\r\n\r\n"))
      Caller.send(std::string(1, Byte));
    Caller.readTo("/p abcde ");
  }

  /// A caller may wait for "100 Continue" before it sends the body.
  void continuesOnExpectation() {
    RunningServer Server;
    Client Caller(Server);
    Caller.send("POST /e HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
                "Expect: 100-continue\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 100 Continue\r\n\r\n"),
                         Caller.readTo("\r\n\r\n"));
    Caller.send("ok");
    Caller.readTo("/e ok ");
  }

  /// Malformed input must be rejected with an error. Input that two parsers
  /// would read differently allows request smuggling.
  void refusesMalformedInput() {
    RunningServer Server;
    for (const std::string &Input :
         {std::string("nonsense\r\n\r\n"),
          std::string("GET / HTTP/9.9\r\n\r\n"),
          std::string("GET / HTTP/1.1\r\nno colon\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 1\r\n"
                      "Content-Length: 2\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nContent-Length: 5\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
          std::string("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                      "\r\nzz\r\n")}) {
      Client Caller(Server);
      Caller.send(Input);
      checkProblem(Caller.readToEnd(), "400", "bad_request");
    }
  }

  /// Sends random mutations of a valid request. None may crash the process or
  /// leave its connection open.
  void survivesMutatedRequests() {
    RunningServer Server;
    constexpr unsigned Seed = 20261;
    std::mt19937 Random(Seed);
    const std::string Valid =
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "Expect: 100-continue\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: v\r\n\r\n";
    for (int Round = 0; Round < 500; ++Round) {
      std::string Input = Valid;
      for (unsigned Change = Random() % 4 + 1; Change > 0; --Change) {
        std::size_t At = Random() % Input.size();
        if (Random() % 2)
          Input[At] = static_cast<char>(Random());
        else
          Input.insert(At, Input.substr(Random() % Input.size(), 3));
      }
      Client Caller(Server);
      Caller.send(Input);
      Caller.Socket.shutdown(tcp::socket::shutdown_send);
      std::string Response = Caller.readToEnd();
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(Seed) + ", round " +
                                 std::to_string(Round) + ": " + Input,
                             Response.empty() ||
                                 Response.starts_with("HTTP/1.1 "));
    }
    Client Caller(Server);
    Caller.send("GET /after HTTP/1.1\r\nHost: h\r\n\r\n");
    Caller.readTo("/after  ");
  }

  /// Without a limit, memory would grow with the header.
  void refusesLargeHeader() {
    RunningServer Server({.HeaderBytes = 512});
    Client Caller(Server);
    Caller.send("GET / HTTP/1.1\r\nX-Long: " + std::string(100000, 'x'));
    checkProblem(Caller.readToEnd(), "431", "header_too_large");
  }

  /// Without a limit, memory would grow with the body. The connection must not
  /// be reset while the caller still sends, which could destroy the response.
  void refusesLargeBody() {
    RunningServer Server({.BodyBytes = 1000});
    Client WithLength(Server);
    WithLength.send("POST / HTTP/1.1\r\nContent-Length: 1000001\r\n\r\n" +
                    std::string(1000001, 'x'));
    checkProblem(WithLength.readToEnd(), "413", "too_large");
    Client Chunked(Server);
    Chunked.send("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3e9\r\n" +
                 std::string(1001, 'x'));
    checkProblem(Chunked.readToEnd(), "413", "too_large");
  }

  /// A truncated body must not be handled as a complete one.
  void refusesTruncatedRequest() {
    RunningServer Server;
    Client Caller(Server);
    Caller.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    Caller.Socket.shutdown(tcp::socket::shutdown_send);
    checkProblem(Caller.readToEnd(), "400", "bad_request");
  }

  /// A caller must not occupy a connection by sending slowly or not at all.
  void refusesSlowRequest() {
    RunningServer Server({.ReadTimeout = Milliseconds(30)});
    Client Partial(Server);
    Partial.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
    checkProblem(Partial.readToEnd(), "408", "bad_request");
    Client Silent(Server);
    checkProblem(Silent.readToEnd(), "408", "bad_request");
  }

  /// Idle connections must not use up the limit forever.
  void closesIdleConnection() {
    RunningServer Server({.IdleTimeout = Milliseconds(30)});
    Client Caller(Server);
    Caller.send("GET /i HTTP/1.1\r\nHost: h\r\n\r\n");
    Caller.readTo("/i  ");
    CPPUNIT_ASSERT_EQUAL(std::string(), Caller.readToEnd());
  }

  /// A connection above the limit gets an error response; the others keep
  /// working.
  void limitsConnections() {
    RunningServer Server({.Connections = 1});
    Client First(Server);
    First.send("GET /f HTTP/1.1\r\nHost: h\r\n\r\n");
    First.readTo("/f  ");
    Client Second(Server);
    std::string Response = Second.readToEnd();
    checkProblem(Response, "503", "overloaded");
    CPPUNIT_ASSERT(Response.find("Retry-After: 1\r\n") != std::string::npos);
    First.send("GET /g HTTP/1.1\r\nHost: h\r\n\r\n");
    First.readTo("/g  ");
  }

  /// Without a report of the disconnect, the caller's work and transactions
  /// would stay open.
  void reportsCallerDisconnect() {
    RunningServer Server;
    {
      Client Caller(Server);
      Caller.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
      Server.Holding.get_future().wait();
    }
    Server.CallerDisconnected.get_future().wait();
    // A late response must not reach another connection or crash.
    std::promise<void> Answered;
    asio::post(Server.Io, [&] {
      Server.Held(makeResponse("late"));
      Answered.set_value();
    });
    Answered.get_future().wait();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Server.Server->connections());
  }

  /// A planned stop must let requests in progress finish and must not wait for
  /// idle connections.
  void finishesRunningRequestOnStop() {
    RunningServer Server;
    Client Idle(Server);
    Idle.send("GET /i HTTP/1.1\r\nHost: h\r\n\r\n");
    Idle.readTo("/i  ");
    Client Running(Server);
    Running.send("GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    Server.Holding.get_future().wait();
    std::promise<void> Stopped;
    asio::post(Server.Io,
               [&] { Server.Server->stop([&] { Stopped.set_value(); }); });
    CPPUNIT_ASSERT_EQUAL(std::string(), Idle.readToEnd());
    asio::post(Server.Io, [&] { Server.Held(makeResponse("held")); });
    std::string Response = Running.readToEnd();
    CPPUNIT_ASSERT(Response.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT(Response.ends_with("held"));
    Running.Socket.close();
    Stopped.get_future().wait();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace nutmegloom
