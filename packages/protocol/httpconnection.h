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

  /// Value of a header, compared without case; empty when it is absent.
  std::string header(std::string_view Name) const;
};

enum class HttpFailureKind {
  /// The address is not "IP:port".
  BadAddress,
  /// No connection could be made: nothing was sent.
  NotConnected,
  /// The connection broke after bytes may have been sent.
  Broken,
  /// No whole answer came within the time limit.
  TimedOut,
  /// The answer isn't valid HTTP, is cut short or too large.
  Malformed,
};

struct HttpFailure {
  HttpFailureKind Kind = HttpFailureKind::Broken;
  std::string Detail;
};

/// One client connection over HTTP/1.1 with keep-alive: one exchange at a
/// time. It keeps itself alive while an operation is in progress.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  using ConnectHandler = std::function<void(const HttpFailure *)>;
  using ExchangeHandler =
      std::function<void(std::variant<HttpResponse, HttpFailure>)>;

  /// Address is "IP:port". Answers above MaximumBody bytes are refused.
  static std::shared_ptr<HttpConnection> create(boost::asio::io_context &Io,
                                                std::string Address,
                                                std::size_t MaximumBody);
  virtual ~HttpConnection() = default;

  /// Connects. The handler gets a null pointer on success.
  virtual void connect(std::chrono::milliseconds Timeout,
                       ConnectHandler Handler) = 0;

  /// Sends a request on a connected connection that owes no answer. A failure
  /// closes the connection.
  virtual void exchange(HttpRequest Request, std::chrono::milliseconds Timeout,
                        ExchangeHandler Handler) = 0;

  /// Lets a response go on beyond its time limit while bytes come with pauses
  /// below Pause: a large body over a slow link.
  virtual void allowSlowResponses(std::chrono::milliseconds MaximumPause) = 0;

  /// Sets the function that is called when the peer closes the connection
  /// while no exchange is in progress.
  virtual void setCloseHandler(std::function<void()> Handler) = 0;

  /// Closes the connection. An exchange in progress ends with Broken.
  virtual void close() = 0;

  virtual bool isOpen() const = 0;
};

/// Connects, does one exchange and closes. The handler is called once.
void exchangeOnce(boost::asio::io_context &Io, const std::string &Address,
                  HttpRequest Request, std::chrono::milliseconds Timeout,
                  std::size_t MaximumBody,
                  HttpConnection::ExchangeHandler Handler);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_HTTPCONNECTION_H
