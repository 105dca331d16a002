#include "link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <vector>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t BufferBytes = std::size_t{16} * 1024;
using SegmentSize =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_MAXSEG>;
constexpr int EthernetSegmentBytes = 1448;
/// Receive buffer of a link with a limited rate, like the small window of a
/// connection over a distance.
constexpr int LimitedWindowBytes = 16 * 1024;

} // namespace

Link::Link(asio::io_context &Io, tcp::endpoint Listen, tcp::endpoint Target)
    : Io_(Io), Acceptor_(Io, Listen), Target_(std::move(Target)),
      Healed_(Io, asio::steady_timer::time_point::max()) {
  start(Io_, accept());
}

void Link::heal() {
  Cut_ = false;
  Healed_.cancel();
}

asio::awaitable<void> Link::waitUntilHealed() {
  boost::system::error_code Ignored;
  while (Cut_)
    co_await Healed_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
}

asio::awaitable<void> Link::accept() {
  while (true) {
    auto From = std::make_shared<tcp::socket>(Io_);
    co_await Acceptor_.async_accept(*From, asio::use_awaitable);
    if (Accepted)
      Accepted();
    start(Io_, connect(From));
  }
}

asio::awaitable<void> Link::connect(Socket From) {
  auto To = std::make_shared<tcp::socket>(Io_);
  co_await waitUntilHealed();
  boost::system::error_code Error;
  if (Rate_ > 0) {
    To->open(tcp::v4());
    To->set_option(asio::socket_base::receive_buffer_size(LimitedWindowBytes));
    To->set_option(SegmentSize(EthernetSegmentBytes));
  }
  co_await To->async_connect(Target_,
                             asio::redirect_error(asio::use_awaitable, Error));
  if (Error) {
    From->close(Error);
    co_return;
  }
  From->set_option(tcp::no_delay(true), Error);
  To->set_option(tcp::no_delay(true), Error);
  start(Io_, pass(From, To, false));
  start(Io_, pass(To, From, true));
}

asio::awaitable<void> Link::pass(Socket From, Socket To, bool Limited) {
  std::vector<char> Buffer(BufferBytes);
  boost::system::error_code Error;
  while (true) {
    std::size_t Count = co_await From->async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      break;
    co_await waitUntilHealed();
    if (Limited && Rate_ > 0)
      co_await pause(Milliseconds{Count * 1000 / Rate_ + 1});
    co_await asio::async_write(
        *To, asio::buffer(Buffer.data(), Count),
        asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      break;
  }
  co_await waitUntilHealed();
  boost::system::error_code Ignored;
  if (Error == asio::error::eof) {
    To->shutdown(tcp::socket::shutdown_send, Ignored);
    co_return;
  }
  To->set_option(asio::socket_base::linger(true, 0), Ignored);
  To->close(Ignored);
  From->close(Ignored);
}

} // namespace review
