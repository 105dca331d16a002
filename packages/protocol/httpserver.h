#ifndef NUTMEGLOOM_PROTOCOL_HTTPSERVER_H
#define NUTMEGLOOM_PROTOCOL_HTTPSERVER_H

#include "core/types.h"
#include "protocol/httpconnection.h"

namespace nutmegloom {

struct HttpServerLimits {
  std::size_t HeaderBytes = 16384;
  std::size_t BodyBytes = 1048576;
  std::size_t Connections = 4096;
  /// From the first byte of a request, or from the accept of a connection, to
  /// its last byte.
  Milliseconds ReadTimeout{10000};
  /// Between two requests of a connection.
  Milliseconds IdleTimeout{60000};
  /// For the response to be taken by the caller.
  Milliseconds WriteTimeout{10000};
};

/// A received request. The views are valid until its response is given.
class HttpServerRequest {
public:
  std::string_view Method;
  std::string_view Target;
  std::string_view Body;
  /// IP address of the caller.
  std::string_view RemoteAddress;

  /// Value of a header, compared without case; empty when it is absent.
  virtual std::string_view header(std::string_view Name) const = 0;

protected:
  ~HttpServerRequest() = default;
};

struct HttpServerCounters {
  std::uint64_t Accepted = 0;
  /// Connections refused because the limit was reached.
  std::uint64_t Refused = 0;
  /// Requests refused as malformed, truncated or too large.
  std::uint64_t Malformed = 0;
  /// Requests that were not received in time.
  std::uint64_t TimedOut = 0;
  /// Requests whose caller went away before the response.
  std::uint64_t CallersGone = 0;
};

/// HTTP/1.1 server with keep-alive. All functions are called on and all
/// handlers run on the thread of the io_context.
class HttpServer {
public:
  /// Gives the response, at once or later. Calls after the first do nothing.
  using Respond = std::function<void(HttpResponse)>;
  /// Serves a request. The returned function may be empty; it is called if
  /// the caller goes away before the response.
  using Handler =
      std::function<std::function<void()>(const HttpServerRequest &, Respond)>;
  struct Failure {
    std::string Detail;
  };

  static std::shared_ptr<HttpServer>
  create(boost::asio::io_context &Io, HttpServerLimits Limits, Handler Serve);
  virtual ~HttpServer() = default;

  /// Accepts connections at "IP:port"; port 0 picks a free one. Returns the
  /// address in use.
  virtual std::variant<std::string, Failure>
  listen(const std::string &Address) = 0;
  /// Changes the limits for requests that start later.
  virtual void setLimits(const HttpServerLimits &Limits) = 0;
  /// Closes each connection after its next response, so that callers move to
  /// other hosts.
  virtual void beginDrain() = 0;
  /// Accepts no more, closes idle connections and lets the rest finish.
  /// Stopped is called once no connection is open.
  virtual void stop(std::function<void()> Stopped) = 0;

  virtual std::size_t connections() const = 0;
  virtual const HttpServerCounters &counters() const = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_HTTPSERVER_H
