#ifndef NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONSOCKET_H
#define NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONSOCKET_H

#include "sessions/hosttable.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace nutmegloom {

/// UDP socket that sends and receives host observations, one per datagram.
class HostObservationSocket {
public:
  struct Hooks {
    std::function<void(const HostObservation &)> Received;
    /// A received datagram could not be decoded.
    std::function<void(const std::string &Detail)> DecodeFailed;
  };

  HostObservationSocket(boost::asio::io_context &Io, Hooks Callbacks);

  /// Binds to the address and starts to receive. Returns an error message;
  /// empty on success.
  std::string open(const std::string &Ip, std::uint16_t Port);
  /// Sends to "IP:port". Errors are ignored, since datagrams may be lost
  /// anyway.
  void send(const std::string &Address, const HostObservation &Message);

private:
  void receive();

  static constexpr std::size_t MaximumDatagramBytes = std::size_t{64} * 1024;

  boost::asio::ip::udp::socket Socket_;
  Hooks Hooks_;
  std::array<char, MaximumDatagramBytes> Buffer_{};
  boost::asio::ip::udp::endpoint Sender_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONSOCKET_H
