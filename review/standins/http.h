#ifndef NUTMEGLOOM_REVIEW_STANDINS_HTTP_H
#define NUTMEGLOOM_REVIEW_STANDINS_HTTP_H

#include "record.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <optional>

namespace review {

struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;
};

struct HttpReply {
  int Status = 200;
  std::string Body = "{}";
};

/// HTTP/1.1 server with keep-alive. A handler that returns nothing leaves the
/// request without a response.
class HttpServer {
public:
  using Handler =
      std::function<boost::asio::awaitable<std::optional<HttpReply>>(
          HttpRequest)>;

  HttpServer(boost::asio::io_context &Io,
             const boost::asio::ip::tcp::endpoint &Address, Handler Serve);

  boost::asio::ip::tcp::endpoint address() const {
    return Acceptor_.local_endpoint();
  }

private:
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket Socket);

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  Handler Serve_;
};

std::string textOf(const boost::asio::ip::tcp::endpoint &Address);

/// Status of a GET request, or 0 if there is no response within a second.
boost::asio::awaitable<int> getStatus(boost::asio::ip::tcp::endpoint Address,
                                      std::string Path);

} // namespace review

#endif // NUTMEGLOOM_REVIEW_STANDINS_HTTP_H
