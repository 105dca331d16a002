#ifndef NUTMEGLOOM_TESTING_STANDINSESSIONS_OBJECTAPI_H
#define NUTMEGLOOM_TESTING_STANDINSESSIONS_OBJECTAPI_H

#include "protocol/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <random>

namespace nutmegloom::testing {

/// Simulated object store of the platform, and its promotion API, on a loopback
/// port. A watch is answered by the next change of its kind.
class ObjectApi {
public:
  /// Promote is called for each promotion request; false refuses it with 409.
  ObjectApi(boost::asio::io_context &Io,
            std::function<bool(const std::string &Id)> Promote);

  const std::string &address() const { return Address_; }
  /// Creates or replaces an object under the next revision.
  void put(const std::string &Kind, const std::string &Name,
           const nlohmann::json &Content);
  /// Creates or replaces an object whose content is passed on as it is. It may
  /// be any text, also one that is not valid JSON.
  void putText(const std::string &Kind, const std::string &Name,
               std::string Content);
  void erase(const std::string &Kind, const std::string &Name);
  std::optional<nlohmann::json> find(const std::string &Kind,
                                     const std::string &Name) const;
  /// While down, each request is answered with 503.
  void setDown(bool Down) { Down_ = Down; }
  /// Leaves this share of the writes, from 0 to 1, without a response although
  /// they are executed.
  void setUnansweredWriteShare(double Share) { UnansweredWriteShare_ = Share; }
  /// Answers open watches with 410, as a store that has dropped its history.
  void dropHistory();
  /// Keeps a copy of the present objects and revisions.
  void copy();
  /// Cuts off open watches and returns to the copy, in the next era. Revisions
  /// since the copy are given out again.
  void restore();
  /// Number of promotion requests.
  std::size_t promotions() const { return Promotions_; }

private:
  struct Object {
    /// JSON text.
    std::string Content;
    std::uint64_t Revision = 0;
  };
  struct Watch {
    std::string Kind;
    HttpServer::Respond Respond;
  };

  std::function<void()> serve(const HttpServerRequest &Request,
                              HttpServer::Respond Respond);
  HttpResponse answer(int Status, std::string Body = "{}") const;
  HttpResponse list(const std::string &Kind) const;
  HttpResponse write(const std::string &Kind, std::string Name,
                     const std::string &Method, const std::string &Body);
  HttpResponse promote(const std::string &Body);
  void answerWatches(int Status);
  void notifyWatches(const std::string &Kind, const std::string &Name,
                     bool Deleted);
  static std::string encodeObject(const std::string &Name,
                                  const Object &Encoded);

  /// What a copy of the store contains.
  struct Content {
    std::map<std::string, std::map<std::string, Object>> Objects;
    /// Revision of the latest change of each kind.
    std::map<std::string, std::uint64_t> LastChanges;
    std::uint64_t Revision = 10;
  };

  std::function<bool(const std::string &)> Promote_;
  std::shared_ptr<HttpServer> Server_;
  std::string Address_;
  Content Present_;
  Content Copy_;
  std::uint64_t Era_ = 1;
  std::vector<Watch> Watches_;
  std::size_t Promotions_ = 0;
  bool Down_ = false;
  double UnansweredWriteShare_ = 0;
  std::mt19937 Random_{1};
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINSESSIONS_OBJECTAPI_H
