#ifndef NUTMEGLOOM_TESTING_SCENARIO_HTTPCALLS_H
#define NUTMEGLOOM_TESTING_SCENARIO_HTTPCALLS_H

#include "protocol/httpconnection.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace nutmegloom::testing {

/// HTTP requests of a scenario that run at the same time.
class HttpCalls {
public:
  using Result = std::variant<HttpResponse, HttpFailure>;

  /// Starts a request. Requests with the same non-empty connection name use
  /// one connection, one after the other; others use a new one.
  std::uint64_t start(const std::string &Address,
                      const std::string &ConnectionName, HttpRequest Request,
                      std::chrono::milliseconds Timeout);
  /// The result, once; nothing while the request is in progress.
  std::optional<Result> take(std::uint64_t Number);
  /// Lets requests proceed for the given time.
  void proceed(std::chrono::milliseconds Time);
  void closeConnection(const std::string &ConnectionName);

private:
  boost::asio::io_context Io_{1};
  std::uint64_t Next_ = 1;
  std::map<std::uint64_t, Result> Results_;
  std::map<std::string, std::shared_ptr<HttpConnection>> Connections_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SCENARIO_HTTPCALLS_H
