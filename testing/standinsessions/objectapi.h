#ifndef NUTMEGLOOM_TESTING_STANDINSESSIONS_OBJECTAPI_H
#define NUTMEGLOOM_TESTING_STANDINSESSIONS_OBJECTAPI_H

#include "protocol/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <random>

namespace nutmegloom::testing {

/// The platform's store with its objects, and the call that promotes, on
/// loopback. Watches are answered by the next change.
class ObjectApi {
public:
  ObjectApi(boost::asio::io_context &Io,
            std::function<bool(const std::string &Id)> Promote);

  const std::string &address() const { return Address_; }
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Content);
  void erase(const std::string &Kind, const std::string &Name);
  std::optional<nlohmann::json> find(const std::string &Kind,
                                     const std::string &Name) const;
  /// Every call is refused.
  void setDown(bool Down) { Down_ = Down; }
  /// Every write is done, and this share of them is not answered.
  void setUnansweredWriteShare(double Share) { UnansweredWriteShare_ = Share; }
  /// Watches are told that the history is gone.
  void dropHistory();
  std::size_t promotions() const { return Promotions_; }

private:
  struct Object {
    nlohmann::json Content;
    std::uint64_t Revision = 0;
  };
  struct Watch {
    std::string Kind;
    HttpServer::Respond Respond;
  };

  std::function<void()> serve(const HttpServerRequest &Request,
                              HttpServer::Respond Respond);
  HttpResponse list(const std::string &Kind) const;
  HttpResponse write(const std::string &Kind, std::string Name,
                     const std::string &Method, const std::string &Body);
  HttpResponse promote(const std::string &Body);
  void notifyWatches(const std::string &Kind, const std::string &Name,
                     bool Deleted);
  nlohmann::json encodeObject(const std::string &Name,
                              const Object &Encoded) const;

  std::function<bool(const std::string &)> Promote_;
  std::shared_ptr<HttpServer> Server_;
  std::string Address_;
  std::map<std::string, std::map<std::string, Object>> Objects_;
  /// Revision of the latest change of each kind.
  std::map<std::string, std::uint64_t> LastChanges_;
  std::vector<Watch> Watches_;
  std::uint64_t Revision_ = 10;
  std::size_t Promotions_ = 0;
  bool Down_ = false;
  double UnansweredWriteShare_ = 0;
  std::mt19937 Random_{1};
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINSESSIONS_OBJECTAPI_H
