#ifndef NUTMEGLOOM_PROTOCOL_PEERNETWORK_H
#define NUTMEGLOOM_PROTOCOL_PEERNETWORK_H

#include "core/messages.h"

#include <functional>
#include <memory>
#include <utility>
#include <variant>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom {

/// Cap'n Proto RPC between hosts. The KJ event loop runs on its own thread. All
/// functions must be called on the thread of the io_context; all handlers run
/// on it.
class PeerNetwork {
public:
  using AnswerFunction = std::function<void(const CallerAnswer &)>;

  /// Handlers for the requests of peers.
  struct Service {
    /// Executes a forwarded request. Answer must be called once. The returned
    /// function is called if the peer cancels the request or disconnects
    /// before the answer.
    std::function<std::function<void()>(const CallerRequest &,
                                        AnswerFunction Answer)>
        Execute;
    /// Handles a heartbeat and returns this host's own.
    std::function<PeerHeartbeat(const PeerHeartbeat &)> Heartbeat;
    /// Returns the version and the text of the active configuration.
    std::function<std::pair<std::uint64_t, std::string>()> Configuration;
  };

  /// Failure of a call. Sent is true if the request may have reached the peer.
  struct Failure {
    bool Sent = false;
    std::string Detail;
  };

  virtual ~PeerNetwork() = default;

  /// Starts to accept connections of peers. Blocks until the address is bound;
  /// returns it as "IP:port".
  virtual std::variant<std::string, Failure> listen(Service Functions) = 0;

  virtual void
  execute(const std::string &Address, const CallerRequest &Request,
          std::function<void(std::variant<CallerAnswer, Failure>)> Handler) = 0;
  virtual void heartbeat(
      const std::string &Address, const PeerHeartbeat &Heartbeat,
      std::function<void(std::variant<PeerHeartbeat, Failure>)> Handler) = 0;
  virtual void getConfiguration(
      const std::string &Address,
      std::function<
          void(std::variant<std::pair<std::uint64_t, std::string>, Failure>)>
          Handler) = 0;
  /// Fails all pending calls, closes all connections and joins the thread.
  virtual void stop() = 0;
};

std::shared_ptr<PeerNetwork> makePeerNetwork(boost::asio::io_context &Io,
                                             std::string ListenAddress);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PEERNETWORK_H
