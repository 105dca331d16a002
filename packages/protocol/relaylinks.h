#ifndef NUTMEGLOOM_PROTOCOL_RELAYLINKS_H
#define NUTMEGLOOM_PROTOCOL_RELAYLINKS_H

#include "protocol/streamacceptor.h"
#include "sessions/relaymessages.h"

#include <map>

namespace nutmegloom {

/// TCP connections between hosts that carry relayed statements. A host sends
/// requests on the connections that it opens and responses on those that it
/// accepts. A connection is opened by the first request to its host.
class RelayLinks {
public:
  struct Hooks {
    /// A message arrived on a connection that this host has opened.
    std::function<void(const HostName &, const RelayMessage &)>
        ResponseReceived;
    /// A part of a message arrived on a connection that this host has opened.
    std::function<void(const HostName &)> Progress;
    /// A connection that this host has opened was lost, or could not be
    /// opened.
    std::function<void(const HostName &, bool WasOpen)> Disconnected;
    /// A message arrived on an accepted connection.
    std::function<void(IncomingRelayId, const RelayMessage &)> RequestReceived;
    /// An accepted connection was closed by its peer or after an error.
    std::function<void(IncomingRelayId)> Closed;
    /// A message could not be decoded. Its connection is closed.
    std::function<void(const std::string &Detail)> DecodeFailed;
  };

  RelayLinks(boost::asio::io_context &Io, Hooks Callbacks);

  /// Listens at the address. Returns an error message; empty on success.
  std::string listen(const std::string &Ip, std::uint16_t Port);

  /// Stops listening and closes the accepted connections, once their responses
  /// are sent, without calling Closed.
  void stopAccepting();
  /// After stopAccepting(): number of connections whose responses are not sent
  /// yet.
  std::size_t unsent() const;

  /// Sends a message to a host. Without a connection to it, opens one to
  /// Address ("IP:port") and queues the message until then.
  void sendRequest(const HostName &Host, const std::string &Address,
                   const RelayMessage &Message);
  /// Closes the connection that this host has opened to another host, without
  /// calling Disconnected.
  void disconnect(const HostName &Host);
  /// Sends on an accepted connection. Does nothing if it is closed.
  void sendResponse(IncomingRelayId Link, const RelayMessage &Message);
  /// Closes an accepted connection without calling Closed.
  void close(IncomingRelayId Link);

private:
  struct Outgoing {
    std::shared_ptr<MessageStream> Stream;
    /// Messages to send once the connection is open.
    std::vector<std::string> Waiting;
    /// Number of the connection attempt; events of earlier ones are ignored.
    std::uint64_t Attempt = 0;
  };

  void onAccepted(const std::shared_ptr<MessageStream> &Stream);
  void connect(const HostName &Host, const std::string &Address);
  void onConnected(const HostName &Host, std::uint64_t Attempt,
                   const std::shared_ptr<MessageStream> &Stream);
  void onResponse(const HostName &Host, std::string_view Bytes);
  void onRequest(IncomingRelayId Link, std::string_view Bytes);
  /// Closes the connection to a host and calls Disconnected.
  void disconnectAndReport(const HostName &Host);

  boost::asio::io_context &Io_;
  StreamAcceptor Acceptor_;
  Hooks Hooks_;
  std::map<HostName, Outgoing> Outgoing_;
  std::map<IncomingRelayId, std::shared_ptr<MessageStream>> Incoming_;
  /// Accepted connections that are being closed.
  std::vector<std::shared_ptr<MessageStream>> Closing_;
  std::uint64_t LastAttempt_ = 0;
  IncomingRelayId LastLink_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_RELAYLINKS_H
