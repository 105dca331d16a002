#include "protocol/hostobservationsocket.h"

#include "protocol/hostobservationcodec.h"
#include "protocol/messagestream.h"

#include <boost/asio/io_context.hpp>

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::udp;

HostObservationSocket::HostObservationSocket(asio::io_context &Io,
                                             Hooks Callbacks)
    : Socket_(Io), Hooks_(std::move(Callbacks)) {}

std::string HostObservationSocket::open(const std::string &Ip,
                                        std::uint16_t Port) {
  boost::system::error_code Error;
  udp::endpoint Local(asio::ip::make_address(Ip, Error), Port);
  if (!Error)
    Socket_.open(udp::v4(), Error);
  if (!Error)
    Socket_.bind(Local, Error);
  if (!Error)
    Socket_.non_blocking(true, Error);
  if (Error)
    return Error.message();
  receive();
  return {};
}

void HostObservationSocket::receive() {
  Socket_.async_receive_from(
      asio::buffer(Buffer_), Sender_, [this](auto Error, auto Count) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error) {
          auto Read = decodeObservation({Buffer_.data(), Count});
          if (auto *Message = std::get_if<HostObservation>(&Read))
            Hooks_.Received(*Message);
          else
            Hooks_.DecodeFailed(std::get<ObservationError>(Read).Detail);
        }
        receive();
      });
}

void HostObservationSocket::send(const std::string &Address,
                                 const HostObservation &Message) {
  std::optional<asio::ip::tcp::endpoint> To = endpointOf(Address);
  if (!To)
    return;
  std::string Bytes = encodeObservation(Message);
  boost::system::error_code Ignored;
  Socket_.send_to(asio::buffer(Bytes), udp::endpoint(To->address(), To->port()),
                  0, Ignored);
}

} // namespace nutmegloom
