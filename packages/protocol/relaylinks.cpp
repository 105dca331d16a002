#include "protocol/relaylinks.h"

#include "protocol/relaycodec.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr int AcceptBacklog = 256;
/// Time-outs for connections to other hosts. They are shorter than the
/// defaults, because the network distance between hosts is short and another
/// host can be used instead.
constexpr ConnectTimeouts HostConnectTimeouts{Milliseconds{400},
                                              Milliseconds{1000}};
/// Time for another host to take the last responses.
constexpr Milliseconds DeliveryTimeout{5000};

} // namespace

RelayLinks::RelayLinks(asio::io_context &Io, Hooks Callbacks)
    : Io_(Io), Acceptor_(Io, Framing::LengthPrefixed, AcceptBacklog,
                         [this](const std::shared_ptr<MessageStream> &Stream) {
                           onAccepted(Stream);
                         }),
      Hooks_(std::move(Callbacks)) {}

std::string RelayLinks::listen(const std::string &Ip, std::uint16_t Port) {
  boost::system::error_code Error;
  tcp::endpoint Local(asio::ip::make_address(Ip, Error), Port);
  return Error ? Error.message() : Acceptor_.listen(Local);
}

void RelayLinks::onAccepted(const std::shared_ptr<MessageStream> &Stream) {
  IncomingRelayId Link = ++LastLink_;
  Incoming_[Link] = Stream;
  Stream->start(
      {[this, Link](std::string_view Bytes) { onRequest(Link, Bytes); },
       [this, Link] {
         if (Incoming_.erase(Link) > 0)
           Hooks_.Closed(Link);
       }});
}

void RelayLinks::stopAccepting() {
  Acceptor_.stop();
  for (auto &[Link, Stream] : std::exchange(Incoming_, {})) {
    Stream->closeWhenSent(DeliveryTimeout);
    Closing_.push_back(Stream);
  }
}

std::size_t RelayLinks::unsent() const {
  auto Unsent =
      std::count_if(Closing_.begin(), Closing_.end(), [](const auto &Stream) {
        return Stream->hasUnsentOutput();
      });
  return static_cast<std::size_t>(Unsent);
}

void RelayLinks::onRequest(IncomingRelayId Link, std::string_view Bytes) {
  auto Read = decodeRelayMessage(Bytes);
  if (auto *Error = std::get_if<RelayError>(&Read)) {
    Hooks_.DecodeFailed(Error->Detail);
    close(Link);
    Hooks_.Closed(Link);
    return;
  }
  Hooks_.RequestReceived(Link, std::get<RelayMessage>(Read));
}

void RelayLinks::sendResponse(IncomingRelayId Link,
                              const RelayMessage &Message) {
  auto Found = Incoming_.find(Link);
  if (Found != Incoming_.end())
    Found->second->writeMessage(encodeRelayMessage(Message));
}

void RelayLinks::close(IncomingRelayId Link) {
  auto Found = Incoming_.find(Link);
  if (Found == Incoming_.end())
    return;
  auto Stream = Found->second;
  Incoming_.erase(Found);
  Stream->close();
}

void RelayLinks::sendRequest(const HostName &Host, const std::string &Address,
                             const RelayMessage &Message) {
  auto [Found, IsNew] = Outgoing_.try_emplace(Host);
  std::string Bytes = encodeRelayMessage(Message);
  if (Found->second.Stream) {
    Found->second.Stream->writeMessage(Bytes);
    return;
  }
  Found->second.Waiting.push_back(std::move(Bytes));
  if (IsNew)
    connect(Host, Address);
}

void RelayLinks::connect(const HostName &Host, const std::string &Address) {
  std::uint64_t Attempt = ++LastAttempt_;
  Outgoing_[Host].Attempt = Attempt;
  connectStream(Io_, Address, Framing::LengthPrefixed, HostConnectTimeouts,
                [this, Host, Attempt](const auto &Stream, ConnectResult) {
                  onConnected(Host, Attempt, Stream);
                });
}

void RelayLinks::onConnected(const HostName &Host, std::uint64_t Attempt,
                             const std::shared_ptr<MessageStream> &Stream) {
  auto Found = Outgoing_.find(Host);
  if (Found == Outgoing_.end() || Found->second.Attempt != Attempt) {
    if (Stream)
      Stream->close();
    return;
  }
  if (!Stream) {
    disconnectAndReport(Host);
    return;
  }
  Outgoing &Opened = Found->second;
  Opened.Stream = Stream;
  Stream->start(
      {[this, Host](std::string_view Bytes) { onResponse(Host, Bytes); },
       [this, Host, Attempt] {
         auto Known = Outgoing_.find(Host);
         if (Known != Outgoing_.end() && Known->second.Attempt == Attempt)
           disconnectAndReport(Host);
       },
       [this, Host] { Hooks_.Progress(Host); }});
  for (const std::string &Bytes : std::exchange(Opened.Waiting, {}))
    Stream->writeMessage(Bytes);
}

void RelayLinks::onResponse(const HostName &Host, std::string_view Bytes) {
  auto Read = decodeRelayMessage(Bytes);
  if (auto *Error = std::get_if<RelayError>(&Read)) {
    Hooks_.DecodeFailed(Error->Detail);
    disconnectAndReport(Host);
    return;
  }
  Hooks_.ResponseReceived(Host, std::get<RelayMessage>(Read));
}

void RelayLinks::disconnectAndReport(const HostName &Host) {
  auto Found = Outgoing_.find(Host);
  bool WasOpen = Found != Outgoing_.end() && Found->second.Stream;
  disconnect(Host);
  Hooks_.Disconnected(Host, WasOpen);
}

void RelayLinks::disconnect(const HostName &Host) {
  auto Found = Outgoing_.find(Host);
  if (Found == Outgoing_.end())
    return;
  auto Stream = Found->second.Stream;
  Outgoing_.erase(Found);
  // Statements that the other host has not received are given up.
  if (Stream)
    Stream->abort();
}

} // namespace nutmegloom
