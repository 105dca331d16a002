#ifndef NUTMEGLOOM_PROTOCOL_PLATFORMCLIENT_H
#define NUTMEGLOOM_PROTOCOL_PLATFORMCLIENT_H

#include "core/membership.h"

#include <functional>
#include <memory>
#include <variant>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom {

/// An object of the platform's store. Version 0 means that it doesn't exist.
struct PlatformObject {
  std::uint64_t Version = 0;
  std::string Value;
};

enum class PlatformError {
  /// The store could not be reached; nothing was changed.
  Unreachable,
  /// No response or a server error; an update may have taken effect.
  NoAnswer,
  /// The condition of an update failed; nothing was changed.
  ConditionFailed,
  /// The response could not be parsed or has an unexpected status.
  Malformed,
  /// The watch ended without a newer version.
  Unchanged,
};
std::string_view nameOf(PlatformError Error);

/// Client of the platform API that holds the configuration and the host list of
/// nutmegloomd. PlatformHost uses ObjectStore (platform/objectstore.h), which
/// has another protocol.
class PlatformClient {
public:
  using ObjectHandler =
      std::function<void(std::variant<PlatformObject, PlatformError>)>;
  using ListHandler =
      std::function<void(std::variant<std::vector<ListedHost>, PlatformError>)>;

  virtual ~PlatformClient() = default;

  virtual void get(const std::string &Kind, const std::string &Name,
                   ObjectHandler Handler) = 0;
  /// Replaces the object if its version is Expected, where 0 means that it
  /// must not exist. Fails with ConditionFailed otherwise.
  virtual void put(const std::string &Kind, const std::string &Name,
                   std::uint64_t Expected, const std::string &Value,
                   ObjectHandler Handler) = 0;
  /// Waits for a version above After. Fails with Unchanged after Wait.
  virtual void watch(const std::string &Kind, const std::string &Name,
                     std::uint64_t After, Milliseconds Wait,
                     ObjectHandler Handler) = 0;
  virtual void listHosts(ListHandler Handler) = 0;
};

/// Creates a client of the platform at "IP:port". A call fails after Timeout; a
/// watch fails after Timeout plus its wait.
std::shared_ptr<PlatformClient> makePlatformClient(boost::asio::io_context &Io,
                                                   std::string Address,
                                                   Milliseconds Timeout);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PLATFORMCLIENT_H
