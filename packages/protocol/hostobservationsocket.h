#ifndef NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONSOCKET_H
#define NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONSOCKET_H

#include "sessions/hosttable.h"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace nutmegloom {

/// Sends and receives hosts' observations as datagrams.
class HostObservationSocket {
public:
  struct Hooks {
    std::function<void(const HostObservation &)> Received;
    /// A datagram that is not an observation.
    std::function<void(const std::string &Detail)> DecodeFailed;
  };

  HostObservationSocket(boost::asio::io_context &Io, Hooks Functions);

  /// Receives at the address. Returns what is wrong with it; empty: nothing.
  std::string open(const std::string &Ip, std::uint16_t Port);
  /// Sends to "IP:port". What can't be sent is lost, as datagrams may be.
  void send(const std::string &Address, const HostObservation &Message);

private:
  void receive();

  static constexpr std::size_t MaximumDatagramBytes = std::size_t{64} * 1024;

  boost::asio::ip::udp::socket Socket_;
  Hooks Functions_;
  std::array<char, MaximumDatagramBytes> Buffer_{};
  boost::asio::ip::udp::endpoint Sender_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONSOCKET_H
