#ifndef NUTMEGLOOM_PROTOCOL_HTTPSERVER_H
#define NUTMEGLOOM_PROTOCOL_HTTPSERVER_H

#include "core/types.h"
#include "protocol/httpconnection.h"

namespace nutmegloom {

struct HttpServerLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 1048576;
  std::size_t Connections = 4096;
  /// From the accept of a connection to its first byte, and from the first
  /// byte of a request to its last.
  Milliseconds ReadTimeout{10000};
  /// Between two requests on a connection.
  Milliseconds IdleTimeout{60000};
  /// For sending a response.
  Milliseconds WriteTimeout{10000};
};

/// A received request. Its views are valid until Respond is called.
class HttpServerRequest {
public:
  std::string_view Method;
  std::string_view Target;
  std::string_view Body;
  /// IP address of the caller.
  std::string_view RemoteAddress;

  /// Returns the value of a header; the name is case-insensitive. Returns an
  /// empty view if the header is absent.
  virtual std::string_view header(std::string_view Name) const = 0;

protected:
  ~HttpServerRequest() = default;
};

struct HttpServerCounters {
  std::uint64_t Accepted = 0;
  /// Connections refused because the limit was reached.
  std::uint64_t Refused = 0;
  /// Requests rejected as malformed, truncated or too large.
  std::uint64_t Malformed = 0;
  /// Requests that were not received before ReadTimeout.
  std::uint64_t TimedOut = 0;
  /// Requests whose caller disconnected before the response.
  std::uint64_t CallersGone = 0;
};

/// HTTP/1.1 server with keep-alive. All functions must be called on the thread
/// of the io_context; all handlers run on it.
class HttpServer {
public:
  /// Sends the response. May be called at once or later; only the first call
  /// has an effect.
  using Respond = std::function<void(HttpResponse)>;
  /// Handles a request. The returned function may be empty; it is called if
  /// the caller disconnects before the response.
  using Handler =
      std::function<std::function<void()>(const HttpServerRequest &, Respond)>;
  struct Failure {
    std::string Detail;
  };

  static std::shared_ptr<HttpServer>
  create(boost::asio::io_context &Io, HttpServerLimits Limits, Handler Serve);
  virtual ~HttpServer() = default;

  /// Listens at "IP:port"; port 0 selects a free port. Returns the bound
  /// address.
  virtual std::variant<std::string, Failure>
  listen(const std::string &Address) = 0;
  /// Changes the limits. A request in progress keeps its size limits.
  virtual void setLimits(const HttpServerLimits &Limits) = 0;
  /// Closes each connection after its next response, so that callers reconnect
  /// to other hosts.
  virtual void beginDrain() = 0;
  /// Stops accepting, closes idle connections and lets requests in progress
  /// finish. Calls Stopped once no connection is open.
  virtual void stop(std::function<void()> Stopped) = 0;

  virtual std::size_t connections() const = 0;
  virtual const HttpServerCounters &counters() const = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_HTTPSERVER_H
