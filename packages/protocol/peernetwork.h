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

/// Cap'n Proto RPC between hosts. The KJ event loop runs on a thread of its
/// own; all functions are called on and all handlers run on the thread of the
/// io_context.
class PeerNetwork {
public:
  using AnswerFunction = std::function<void(const CallerAnswer &)>;

  /// What this host serves to its peers.
  struct Service {
    /// A forwarded task. Answer is called once. The returned function is
    /// called if the peer goes away before the answer.
    std::function<std::function<void()>(const CallerRequest &,
                                        AnswerFunction Answer)>
        Execute;
    /// A heartbeat; returns this host's own.
    std::function<PeerHeartbeat(const PeerHeartbeat &)> Heartbeat;
    /// Version and text of the configuration in force.
    std::function<std::pair<std::uint64_t, std::string>()> Configuration;
  };

  /// Failure of a call. Sent tells whether it may have reached the peer.
  struct Failure {
    bool Sent = false;
    std::string Detail;
  };

  virtual ~PeerNetwork() = default;

  /// Starts to serve. Returns the address in use ("IP:port"), or an error
  /// text as Failure.
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
  /// Ends all calls and connections and the thread.
  virtual void stop() = 0;
};

std::shared_ptr<PeerNetwork> makePeerNetwork(boost::asio::io_context &Io,
                                             std::string ListenAddress);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PEERNETWORK_H
