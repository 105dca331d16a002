#ifndef NUTMEGLOOM_PROTOCOL_HTTPCONNECTION_H
#define NUTMEGLOOM_PROTOCOL_HTTPCONNECTION_H

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom {

struct HttpRequest {
  std::string Method = "GET";
  std::string Target = "/";
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;
};

struct HttpResponse {
  int Status = 0;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  /// Returns the value of a header; the name is case-insensitive. Returns an
  /// empty string if the header is absent.
  std::string header(std::string_view Name) const;
};

enum class HttpFailureKind {
  /// The address is not "IP:port".
  BadAddress,
  /// There is no usable connection; nothing was sent.
  NotConnected,
  /// The request was withdrawn before it was sent.
  Withdrawn,
  /// The connection was lost; the server may have received the request.
  Broken,
  /// No complete response arrived before the timeout.
  TimedOut,
  /// The response isn't valid HTTP, is truncated or exceeds a size limit.
  Malformed,
};

struct HttpFailure {
  HttpFailureKind Kind = HttpFailureKind::Broken;
  std::string Detail;
};

/// HTTP/1.1 client connection with keep-alive and one exchange at a time. It
/// holds a reference to itself while an operation is in progress. What the
/// server has not received of a request is lost when the exchange fails.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  using ConnectHandler = std::function<void(const HttpFailure *)>;
  using ExchangeHandler =
      std::function<void(std::variant<HttpResponse, HttpFailure>)>;

  /// Address is "IP:port". A response whose body is longer than MaximumBody
  /// bytes fails as Malformed.
  static std::shared_ptr<HttpConnection> create(boost::asio::io_context &Io,
                                                std::string Address,
                                                std::size_t MaximumBody);
  virtual ~HttpConnection() = default;

  /// Opens the connection. The handler gets a null pointer on success.
  virtual void connect(std::chrono::milliseconds Timeout,
                       ConnectHandler Handler) = 0;

  /// Sends a request and reads its response. If the connection isn't open or
  /// has an exchange in progress, the handler gets NotConnected. Any other
  /// failure closes the connection.
  virtual void exchange(HttpRequest Request, std::chrono::milliseconds Timeout,
                        ExchangeHandler Handler) = 0;

  /// Lets a response exceed its timeout as long as data keeps arriving with
  /// pauses below MaximumPause, for a large body over a slow link.
  virtual void allowSlowResponses(std::chrono::milliseconds MaximumPause) = 0;

  /// Sets a function that is called once when the connection is closed because
  /// of the peer: the peer closes it, sends data while no exchange is in
  /// progress, or sends a response that does not allow keep-alive. A failed
  /// exchange doesn't call it.
  virtual void setCloseHandler(std::function<void()> Handler) = 0;

  /// Closes the connection. An exchange in progress fails as Broken.
  virtual void close() = 0;

  virtual bool isOpen() const = 0;
};

/// Returns whether a request may still be sent.
using SendCheck = std::function<bool()>;

/// Connects, sends one request, reads its response and closes the connection.
/// Timeout covers both the connect and the exchange. The handler is called
/// exactly once. MaySend, if set, is called when the connection is open,
/// immediately before the request is written; if it returns false, the exchange
/// fails as Withdrawn.
void exchangeOnce(boost::asio::io_context &Io, const std::string &Address,
                  HttpRequest Request, std::chrono::milliseconds Timeout,
                  std::size_t MaximumBody,
                  HttpConnection::ExchangeHandler Handler,
                  SendCheck MaySend = nullptr);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_HTTPCONNECTION_H
