#ifndef NUTMEGLOOM_REVIEW_STORE_H
#define NUTMEGLOOM_REVIEW_STORE_H

#include "network.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <vector>

namespace review {

using nlohmann::json;

/// A request and a response of the platform's HTTP interfaces.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers;
  std::string Body;
};
struct HttpResponse {
  int Status = 200;
  std::string Body = "{}";
};
using HttpHandler = std::function<HttpResponse(const HttpRequest &)>;

/// Serves HTTP/1.1 with open connections. While IsCut returns true, nothing is
/// read and nothing is sent, as behind a silent partition. Headers: further
/// lines of each response. OnRequest is called when a request has been read.
void serveHttp(const std::shared_ptr<Socket> &Connection,
               const HttpHandler &Handler, const std::function<bool()> &IsCut,
               const std::function<std::string()> &Headers,
               const std::function<void(const HttpRequest &)> &OnRequest = {});

/// The platform's metadata store, as PROTOCOL.md and NEWS.md describe it.
class Store {
public:
  /// Opens an entrance of the store. The machine that uses it can be cut off.
  struct Entrance {
    std::unique_ptr<Listener> Port;
    std::atomic<bool> Cut{false};
  };
  std::shared_ptr<Entrance> open(const std::string &Ip);

  /// Writes of the operator and the databases. Returns the new revision.
  std::uint64_t put(const std::string &Kind, const std::string &Name,
                    const json &Spec);
  void erase(const std::string &Kind, const std::string &Name);
  json find(const std::string &Kind, const std::string &Name);
  std::uint64_t revision();

  /// Keeps a copy of the present content and history.
  void copy();
  /// Goes away: requests are answered with 503, and watches are cut off.
  void goAway();
  /// Comes back with the copy, in the next era.
  void comeBackFromCopy();

private:
  struct Object {
    json Spec;
    json Finalizers = json::array();
    std::uint64_t Revision = 0;
  };
  struct Event {
    std::uint64_t Revision = 0;
    std::string Kind;
    json Encoded;
  };
  struct Content {
    std::uint64_t Revision = 1;
    std::map<std::string, std::map<std::string, Object>> Objects;
    std::vector<Event> History;
  };

  HttpResponse handle(const HttpRequest &Request);
  HttpResponse list(const std::string &Kind) const;
  HttpResponse watch(const std::string &Kind, const HttpRequest &Request,
                     std::unique_lock<std::mutex> &Lock);
  HttpResponse write(const std::string &Kind, const std::string &Path,
                     const HttpRequest &Request);
  std::uint64_t replace(const std::string &Kind, const std::string &Name,
                        const json &Spec, const json &Finalizers);
  void remove(const std::string &Kind, const std::string &Name);
  static json encode(const std::string &Name, const Object &Stored);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  Content Present_;
  Content Copy_;
  bool Away_ = false;
  std::uint64_t Era_ = 1;
};

} // namespace review

#endif // NUTMEGLOOM_REVIEW_STORE_H
