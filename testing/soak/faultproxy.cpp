#include "testing/soak/faultproxy.h"

#include "protocol/messagestream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace nutmegloom::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr std::size_t BufferBytes = std::size_t{16} * 1024;

struct FaultProxy::Connection {
  explicit Connection(asio::io_context &Io)
      : ClientSocket(Io), TargetSocket(Io), ClientTimer(Io), TargetTimer(Io) {}

  tcp::socket &from(Direction Way) {
    return Way == Direction::ToTarget ? ClientSocket : TargetSocket;
  }
  tcp::socket &to(Direction Way) {
    return Way == Direction::ToTarget ? TargetSocket : ClientSocket;
  }
  asio::steady_timer &timer(Direction Way) {
    return Way == Direction::ToTarget ? ClientTimer : TargetTimer;
  }
  std::array<char, BufferBytes> &buffer(Direction Way) {
    return Way == Direction::ToTarget ? ClientBytes : TargetBytes;
  }

  /// Sockets to the process that connected and to the target.
  tcp::socket ClientSocket;
  tcp::socket TargetSocket;
  asio::steady_timer ClientTimer;
  asio::steady_timer TargetTimer;
  std::array<char, BufferBytes> ClientBytes{};
  std::array<char, BufferBytes> TargetBytes{};
  bool Silent = false;
};

FaultProxy::FaultProxy(asio::io_context &Io, std::string Target)
    : Io_(Io), Target_(std::move(Target)),
      Acceptor_(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  Address_ = "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  accept();
}

void FaultProxy::accept() {
  auto Accepted = std::make_shared<Connection>(Io_);
  Acceptor_.async_accept(Accepted->ClientSocket, [this, Accepted](auto Error) {
    if (Error)
      return;
    Connections_.insert(Accepted);
    Accepted->TargetSocket.async_connect(
        *endpointOf(Target_), [this, Accepted](auto Failure) {
          if (Failure) {
            end(Accepted);
            return;
          }
          boost::system::error_code Ignored;
          Accepted->ClientSocket.set_option(tcp::no_delay(true), Ignored);
          Accepted->TargetSocket.set_option(tcp::no_delay(true), Ignored);
          readNext(Accepted, Direction::ToTarget);
          readNext(Accepted, Direction::FromTarget);
        });
    accept();
  });
}

bool FaultProxy::isCut(const Connection &Relayed, Direction Way) const {
  bool Cut = Way == Direction::ToTarget ? CutToTarget_ : CutFromTarget_;
  return Cut || Relayed.Silent;
}

void FaultProxy::readNext(const std::shared_ptr<Connection> &Relayed,
                          Direction Way) {
  Relayed->from(Way).async_read_some(
      asio::buffer(Relayed->buffer(Way)),
      [this, Relayed, Way](auto Error, std::size_t Count) {
        if (Error) {
          // Across a cut, the end of one side is not passed on to the other.
          if (!isCut(*Relayed, Way))
            end(Relayed);
          return;
        }
        Relayed->timer(Way).expires_after(Delay_);
        Relayed->timer(Way).async_wait(
            [this, Relayed, Way, Count](auto Cancelled) {
              if (!Cancelled)
                forward(Relayed, Way, Count);
            });
      });
}

void FaultProxy::forward(const std::shared_ptr<Connection> &Relayed,
                         Direction Way, std::size_t Count) {
  // After a loss the rest of the stream would be malformed, so the connection
  // stays silent.
  if (isCut(*Relayed, Way)) {
    Relayed->Silent = true;
    readNext(Relayed, Way);
    return;
  }
  asio::async_write(Relayed->to(Way), asio::buffer(Relayed->buffer(Way), Count),
                    [this, Relayed, Way](auto Error, std::size_t) {
                      if (Error)
                        end(Relayed);
                      else
                        readNext(Relayed, Way);
                    });
}

void FaultProxy::end(const std::shared_ptr<Connection> &Relayed) {
  boost::system::error_code Ignored;
  Relayed->ClientSocket.close(Ignored);
  Relayed->TargetSocket.close(Ignored);
  Connections_.erase(Relayed);
}

void FaultProxy::setCut(bool ToTarget, bool FromTarget) {
  CutToTarget_ = ToTarget;
  CutFromTarget_ = FromTarget;
}

void FaultProxy::silence() {
  for (const auto &Relayed : Connections_)
    Relayed->Silent = true;
}

void FaultProxy::reset() {
  auto Ended = Connections_;
  for (const auto &Relayed : Ended) {
    boost::system::error_code Ignored;
    Relayed->ClientSocket.set_option(asio::socket_base::linger(true, 0),
                                     Ignored);
    end(Relayed);
  }
}

void FaultProxy::heal() {
  setDelay(std::chrono::milliseconds{0});
  setCut(false, false);
}

} // namespace nutmegloom::testing
