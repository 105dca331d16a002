#include "testing/soak/faultproxy.h"

#include "protocol/messagestream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace nutmegloom::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

static constexpr std::size_t BufferBytes = std::size_t{16} * 1024;

struct FaultProxy::Link {
  explicit Link(asio::io_context &Io)
      : Near(Io), Far(Io), NearTimer(Io), FarTimer(Io) {}

  tcp::socket &from(Direction Way) {
    return Way == Direction::ToTarget ? Near : Far;
  }
  tcp::socket &to(Direction Way) {
    return Way == Direction::ToTarget ? Far : Near;
  }
  asio::steady_timer &timer(Direction Way) {
    return Way == Direction::ToTarget ? NearTimer : FarTimer;
  }
  std::array<char, BufferBytes> &buffer(Direction Way) {
    return Way == Direction::ToTarget ? NearBytes : FarBytes;
  }

  /// Near: the process that connected. Far: the target.
  tcp::socket Near;
  tcp::socket Far;
  asio::steady_timer NearTimer;
  asio::steady_timer FarTimer;
  std::array<char, BufferBytes> NearBytes{};
  std::array<char, BufferBytes> FarBytes{};
  bool Silent = false;
};

FaultProxy::FaultProxy(asio::io_context &Io, std::string Target)
    : Io_(Io), Target_(std::move(Target)),
      Acceptor_(Io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
  Address_ = "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  accept();
}

void FaultProxy::accept() {
  auto Made = std::make_shared<Link>(Io_);
  Acceptor_.async_accept(Made->Near, [this, Made](auto Error) {
    if (Error)
      return;
    Links_.insert(Made);
    Made->Far.async_connect(*endpointOf(Target_), [this, Made](auto Failure) {
      if (Failure) {
        end(Made);
        return;
      }
      boost::system::error_code Ignored;
      Made->Near.set_option(tcp::no_delay(true), Ignored);
      Made->Far.set_option(tcp::no_delay(true), Ignored);
      pump(Made, Direction::ToTarget);
      pump(Made, Direction::FromTarget);
    });
    accept();
  });
}

bool FaultProxy::isCut(const Link &Over, Direction Way) const {
  bool Cut = Way == Direction::ToTarget ? CutToTarget_ : CutFromTarget_;
  return Cut || Over.Silent;
}

void FaultProxy::pump(const std::shared_ptr<Link> &Over, Direction Way) {
  Over->from(Way).async_read_some(
      asio::buffer(Over->buffer(Way)),
      [this, Over, Way](auto Error, std::size_t Count) {
        if (Error) {
          // A peer behind a cut does not learn that the other one has closed.
          if (!isCut(*Over, Way))
            end(Over);
          return;
        }
        Over->timer(Way).expires_after(Delay_);
        Over->timer(Way).async_wait([this, Over, Way, Count](auto Cancelled) {
          if (!Cancelled)
            pass(Over, Way, Count);
        });
      });
}

void FaultProxy::pass(const std::shared_ptr<Link> &Over, Direction Way,
                      std::size_t Count) {
  // Once bytes are missing the stream can't go on.
  if (isCut(*Over, Way)) {
    Over->Silent = true;
    pump(Over, Way);
    return;
  }
  asio::async_write(Over->to(Way), asio::buffer(Over->buffer(Way), Count),
                    [this, Over, Way](auto Error, std::size_t) {
                      if (Error)
                        end(Over);
                      else
                        pump(Over, Way);
                    });
}

void FaultProxy::end(const std::shared_ptr<Link> &Over) {
  boost::system::error_code Ignored;
  Over->Near.close(Ignored);
  Over->Far.close(Ignored);
  Links_.erase(Over);
}

void FaultProxy::setCut(bool ToTarget, bool FromTarget) {
  CutToTarget_ = ToTarget;
  CutFromTarget_ = FromTarget;
}

void FaultProxy::silence() {
  for (const auto &Over : Links_)
    Over->Silent = true;
}

void FaultProxy::reset() {
  auto Ended = Links_;
  for (const auto &Over : Ended) {
    boost::system::error_code Ignored;
    Over->Near.set_option(asio::socket_base::linger(true, 0), Ignored);
    end(Over);
  }
}

void FaultProxy::heal() {
  setDelay(std::chrono::milliseconds{0});
  setCut(false, false);
}

} // namespace nutmegloom::testing
