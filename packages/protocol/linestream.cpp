#include "protocol/linestream.h"

#include <boost/asio/post.hpp>

#include <netinet/tcp.h>

#include <array>
#include <charconv>

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::size_t ReadBytes = std::size_t{32} * 1024;
/// Text that a peer does not take is bounded by this.
constexpr std::size_t MaximumOutputBytes = std::size_t{4} * 1024 * 1024;

} // namespace

std::shared_ptr<LineStream> LineStream::create(tcp::socket Socket) {
  boost::system::error_code Ignored;
  Socket.non_blocking(true, Ignored);
  Socket.set_option(tcp::no_delay(true), Ignored);
  return std::shared_ptr<LineStream>(new LineStream(std::move(Socket)));
}

void LineStream::start(Handlers Functions) {
  Functions_ = std::move(Functions);
  waitForInput();
}

/// Waiting for readiness instead of reading keeps no buffer for the many
/// connections that are idle.
void LineStream::waitForInput() {
  Socket_.async_wait(tcp::socket::wait_read,
                     [Self = shared_from_this()](auto Error) {
                       if (!Self->Open_)
                         return;
                       if (Error)
                         Self->fail();
                       else
                         Self->onReadable();
                     });
}

void LineStream::onReadable() {
  static std::array<char, ReadBytes> Buffer;
  boost::system::error_code Error;
  std::size_t Count = Socket_.read_some(asio::buffer(Buffer), Error);
  if (Error == asio::error::would_block) {
    waitForInput();
    return;
  }
  if (Error) {
    fail();
    return;
  }
  auto Self = shared_from_this();
  takeLines({Buffer.data(), Count});
  if (Open_)
    waitForInput();
}

void LineStream::takeLines(std::string_view Fresh) {
  std::string Joined;
  std::string_view Input = Fresh;
  if (!Partial_.empty()) {
    Joined = std::move(Partial_);
    Partial_.clear();
    Joined += Fresh;
    Input = Joined;
  } else if (Functions_.Line) {
    // The shared buffer may be read into again while a handler runs.
    Joined.assign(Fresh);
    Input = Joined;
  }
  while (Open_) {
    std::size_t End = Input.find(LineEnd);
    if (End == std::string_view::npos)
      break;
    std::string_view Line = Input.substr(0, End);
    // Half a line end inside a line could pass for another message elsewhere.
    if (Line.find_first_of(LineEnd) != std::string_view::npos) {
      fail();
      return;
    }
    Input.remove_prefix(End + LineEnd.size());
    Functions_.Line(Line);
  }
  if (!Open_)
    return;
  if (Input.size() > MaximumLineBytes) {
    fail();
    return;
  }
  Partial_.assign(Input);
}

void LineStream::write(std::string_view Text) {
  if (!Open_)
    return;
  Output_ += Text;
  if (Output_.size() > MaximumOutputBytes) {
    fail();
    return;
  }
  if (FlushScheduled_ || WaitsForRoom_)
    return;
  FlushScheduled_ = true;
  asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    Self->FlushScheduled_ = false;
    if (Self->Open_)
      Self->flush();
  });
}

void LineStream::flush() {
  boost::system::error_code Error;
  std::size_t Count = Socket_.write_some(asio::buffer(Output_), Error);
  if (Error && Error != asio::error::would_block) {
    fail();
    return;
  }
  Output_.erase(0, Count);
  if (!Output_.empty())
    waitForRoom();
}

void LineStream::waitForRoom() {
  WaitsForRoom_ = true;
  Socket_.async_wait(tcp::socket::wait_write,
                     [Self = shared_from_this()](auto Error) {
                       Self->WaitsForRoom_ = false;
                       if (!Self->Open_)
                         return;
                       if (Error)
                         Self->fail();
                       else
                         Self->flush();
                     });
}

void LineStream::fail() {
  if (!Open_)
    return;
  auto Self = shared_from_this();
  auto Closed = std::move(Functions_.Closed);
  close();
  if (Closed)
    Closed();
}

void LineStream::close() {
  if (!Open_)
    return;
  boost::system::error_code Ignored;
  if (!Output_.empty())
    Socket_.write_some(asio::buffer(Output_), Ignored);
  Open_ = false;
  Output_.clear();
  Socket_.shutdown(tcp::socket::shutdown_both, Ignored);
  Socket_.close(Ignored);
  // Handlers may hold this object alive.
  asio::post(Socket_.get_executor(),
             [Self = shared_from_this()] { Self->Functions_ = Handlers{}; });
}

void setUnansweredTimeout(tcp::socket &Socket, int Millis) {
  boost::system::error_code Ignored;
  using UserTimeout =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeout(Millis), Ignored);
}

std::optional<tcp::endpoint> endpointOf(std::string_view Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  boost::system::error_code Error;
  auto Ip =
      asio::ip::make_address(std::string(Address.substr(0, Colon)), Error);
  std::uint16_t Port = 0;
  std::string_view Digits = Address.substr(Colon + 1);
  auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Port);
  if (Error || Parsed.ec != std::errc() ||
      Parsed.ptr != Digits.data() + Digits.size())
    return std::nullopt;
  return tcp::endpoint(Ip, Port);
}

} // namespace nutmegloom
