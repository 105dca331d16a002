#ifndef NUTMEGLOOM_REVIEW_STANDINS_STORE_H
#define NUTMEGLOOM_REVIEW_STANDINS_STORE_H

#include "http.h"

#include <nlohmann/json.hpp>

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace review {

/// The platform's metadata store. It answers each call, and its history goes
/// back to its start.
class Store {
public:
  Store(boost::asio::io_context &Io,
        const boost::asio::ip::tcp::endpoint &Address);

  boost::asio::ip::tcp::endpoint address() const { return Server_.address(); }
  /// Creates or replaces an object. Nothing changes if only Sequence differs.
  void put(const std::string &Kind, const std::string &Name,
           nlohmann::json Spec);
  /// Creates an entry of another writer, whose spec is bytes that can't be
  /// read: they are no UTF-8.
  void putUnreadable(const std::string &Kind, const std::string &Name);
  void erase(const std::string &Kind, const std::string &Name);
  /// The spec of an object, or null.
  nlohmann::json specOf(const std::string &Kind, const std::string &Name) const;

private:
  struct Object {
    nlohmann::json Spec;
    nlohmann::json Finalizers = nlohmann::json::array();
    std::uint64_t Revision = 0;
  };
  struct Change {
    std::uint64_t Revision;
    std::string Kind;
    nlohmann::json Event;
  };

  boost::asio::awaitable<std::optional<HttpReply>> serve(HttpRequest Request);
  boost::asio::awaitable<HttpReply> watch(std::string Kind, std::uint64_t From,
                                          Milliseconds Wait);
  HttpReply list(const std::string &Kind, const std::string &After) const;
  HttpReply write(const HttpRequest &Request, const std::string &Kind,
                  std::string Name);
  nlohmann::json encode(const std::string &Name, const Object &Stored) const;
  void addChange(const std::string &Kind, const std::string &Name,
                 bool Deleted);

  std::map<std::string, std::map<std::string, Object>> Objects_;
  std::deque<Change> Changes_;
  std::uint64_t Revision_ = 7;
  /// Cancelled at each change, which wakes the waiting watches.
  boost::asio::steady_timer Changed_;
  HttpServer Server_;
};

} // namespace review

#endif // NUTMEGLOOM_REVIEW_STANDINS_STORE_H
