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

/// A response. Its Content-Type is application/json unless Headers has another.
struct HttpReply {
  int Status = 200;
  std::string Body;
  std::vector<std::pair<std::string, std::string>> Headers;
  /// Sends "Connection: close" and closes the connection after the response.
  bool Close = false;
};

/// One open connection of an HttpServer. Functions that answer do nothing when
/// no request waits for an answer.
class HttpSession {
public:
  virtual ~HttpSession() = default;

  /// Number of the connection; the server does not use it again.
  virtual std::uint64_t id() const = 0;
  /// Answers the current request, unless the connection is frozen.
  virtual void respond(const HttpReply &Reply) = 0;
  /// Sends the first Bytes bytes of the response, headers included, and closes
  /// the connection.
  virtual void respondTruncated(const HttpReply &Reply, std::size_t Bytes) = 0;
  /// Drops the current request without a response; the connection stays open.
  virtual void leaveUnanswered() = 0;
  /// Discards all further requests, and suppresses the response to the current
  /// one if respond() is called for it.
  virtual void freeze() = 0;
};

/// A received request, and the connection to answer it on.
struct HttpCall {
  std::string Method;
  /// Target without the query.
  std::string Path;
  std::map<std::string, std::string> Query;
  /// Header fields by their names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;
  std::shared_ptr<HttpSession> Session;

  /// Query parameter as a number; zero if it is absent or not a number.
  std::uint64_t queryNumber(const std::string &Name) const;
  /// Header field by its name in lower case; empty if it is absent.
  std::string header(const std::string &Name) const;
  /// Answers with the status and body, and keeps the connection open.
  void respond(int Status, std::string Text) const;
};

/// Minimal HTTP/1.1 server of the test programs. Handlers run on the thread
/// that runs the io_context.
class HttpServer {
public:
  struct Options {
    /// Called once for each request. The response may be sent later.
    std::function<void(const HttpCall &)> OnCall;
    /// Called for each accepted connection. Returns the delay before its first
    /// request is read.
    std::function<std::chrono::milliseconds(std::uint64_t Session)> OnOpen;
    /// Called when a connection has been closed.
    std::function<void(std::uint64_t Session)> OnClose;
  };

  virtual ~HttpServer() = default;
  /// Address that the server listens on, as "IP:port".
  virtual std::string address() const = 0;
  /// Freezes all open connections except the one with this number; zero
  /// excepts none. Connections that are accepted later work.
  virtual void freezeAll(std::uint64_t Except) = 0;
};

/// Listens on "IP:port"; port 0 selects a free port. Throws a std::exception if
/// the address is malformed or can't be bound.
std::shared_ptr<HttpServer> makeHttpServer(boost::asio::io_context &Io,
                                           const std::string &Address,
                                           HttpServer::Options Handlers);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SUPPORT_HTTPSERVER_H
