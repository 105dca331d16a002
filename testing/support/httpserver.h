#ifndef NUTMEGLOOM_TESTING_SUPPORT_HTTPSERVER_H
#define NUTMEGLOOM_TESTING_SUPPORT_HTTPSERVER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom::testing {

struct HttpReply {
  int Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  /// Closes the connection after the reply.
  bool Close = false;
};

/// One open connection of an HttpServer.
class HttpSession {
public:
  virtual ~HttpSession() = default;

  /// Number of the connection, never reused by the server.
  virtual std::uint64_t id() const = 0;
  /// Answers the call in progress.
  virtual void respond(const HttpReply &Reply) = 0;
  /// Sends the first Bytes of the reply and closes the connection.
  virtual void respondTruncated(const HttpReply &Reply, std::size_t Bytes) = 0;
  /// Ends the call in progress without an answer; the connection stays open.
  virtual void leaveUnanswered() = 0;
  /// Reads and discards everything from now on and never answers again.
  virtual void freeze() = 0;
};

/// A request that waits for an answer.
struct HttpCall {
  std::string Method;
  /// Target without the query.
  std::string Path;
  std::map<std::string, std::string> Query;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::shared_ptr<HttpSession> Session;

  std::uint64_t queryNumber(const std::string &Name) const;
  std::string header(const std::string &Name) const;
  void respond(int Status, std::string Text) const;
};

/// A small HTTP/1.1 server for the test programs, on one thread.
class HttpServer {
public:
  struct Options {
    /// Called once for each request; it or later code answers it.
    std::function<void(const HttpCall &)> OnCall;
    /// A connection was accepted; returns the time until it is served.
    std::function<std::chrono::milliseconds(std::uint64_t Session)> OnOpen;
    std::function<void(std::uint64_t Session)> OnClose;
  };

  virtual ~HttpServer() = default;
  /// Address in use, as "IP:port".
  virtual std::string address() const = 0;
  /// Freezes all connections that are open now, except one.
  virtual void freezeAll(std::uint64_t Except) = 0;
};

/// Listens on "IP:port"; port 0 chooses a free port. Throws
/// std::runtime_error if the address can't be used.
std::shared_ptr<HttpServer> makeHttpServer(boost::asio::io_context &Io,
                                           const std::string &Address,
                                           HttpServer::Options Handlers);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SUPPORT_HTTPSERVER_H
