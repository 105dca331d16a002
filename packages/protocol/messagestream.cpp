#include "protocol/messagestream.h"

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
/// Limits for queued output that the peer doesn't read; the connection is
/// closed beyond them.
constexpr std::size_t MaximumLineOutputBytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t MaximumMessageOutputBytes = std::size_t{24} * 1024 * 1024;
constexpr std::size_t LengthBytes = 4;
/// How long a peer may take to close after the end of the output. To close a
/// connection with unread input resets it, and the peer may lose the output.
constexpr std::chrono::milliseconds PeerCloseTimeout{1000};

/// Result of parsing the first message of the input.
struct Frame {
  enum class Result { Complete, Incomplete, Malformed };
  Result State = Result::Incomplete;
  std::string_view Message;
  /// Length of the message including its framing, in bytes.
  std::size_t Size = 0;
};

Frame parseLine(std::string_view Input) {
  std::size_t End = Input.find(LineEnd);
  if (End == std::string_view::npos)
    return {};
  std::string_view Line = Input.substr(0, End);
  // Another parser could take a lone CR or LF for the end of the line and read
  // the rest as another message.
  if (Line.find_first_of(LineEnd) != std::string_view::npos)
    return {Frame::Result::Malformed, {}, 0};
  return {Frame::Result::Complete, Line, End + LineEnd.size()};
}

std::string lengthPrefix(std::size_t Length) {
  std::string Prefix;
  for (std::size_t At = 0; At < LengthBytes; ++At)
    Prefix += static_cast<char>((Length >> (8 * At)) & 0xFF);
  return Prefix;
}

Frame parseLengthPrefixed(std::string_view Input) {
  if (Input.size() < LengthBytes)
    return {};
  std::size_t Length = 0;
  for (std::size_t At = 0; At < LengthBytes; ++At)
    Length |= std::size_t{static_cast<unsigned char>(Input[At])} << (8 * At);
  if (Length > MaximumMessageBytes)
    return {Frame::Result::Malformed, {}, 0};
  if (Input.size() < LengthBytes + Length)
    return {};
  return {Frame::Result::Complete, Input.substr(LengthBytes, Length),
          LengthBytes + Length};
}

} // namespace

std::shared_ptr<MessageStream> MessageStream::create(tcp::socket Socket,
                                                     Framing Mode) {
  boost::system::error_code Ignored;
  Socket.non_blocking(true, Ignored);
  Socket.set_option(tcp::no_delay(true), Ignored);
  return std::shared_ptr<MessageStream>(
      new MessageStream(std::move(Socket), Mode));
}

void MessageStream::start(Handlers Functions) {
  Functions_ = std::move(Functions);
  waitUntilReadable();
}

/// Waits for readiness instead of starting a read, which would need a buffer
/// for each of the many idle connections.
void MessageStream::waitUntilReadable() {
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

void MessageStream::onReadable() {
  static std::array<char, ReadBytes> Buffer;
  boost::system::error_code Error;
  std::size_t Count = Socket_.read_some(asio::buffer(Buffer), Error);
  if (Error == asio::error::would_block) {
    waitUntilReadable();
    return;
  }
  if (Error) {
    fail();
    return;
  }
  auto Self = shared_from_this();
  if (!Closing_)
    deliverMessages({Buffer.data(), Count});
  if (Open_)
    waitUntilReadable();
}

void MessageStream::deliverMessages(std::string_view Received) {
  std::string Joined;
  std::string_view Input = Received;
  if (!IncompleteInput_.empty()) {
    Joined = std::move(IncompleteInput_);
    IncompleteInput_.clear();
    Joined += Received;
    Input = Joined;
  } else if (Functions_.Message) {
    // The static buffer may be overwritten while a handler runs, so its input
    // is copied.
    Joined.assign(Received);
    Input = Joined;
  }
  while (Open_ && !Closing_) {
    Frame Next = Framing_ == Framing::Lines ? parseLine(Input)
                                            : parseLengthPrefixed(Input);
    if (Next.State == Frame::Result::Malformed) {
      fail();
      return;
    }
    if (Next.State == Frame::Result::Incomplete)
      break;
    Input.remove_prefix(Next.Size);
    Functions_.Message(Next.Message);
  }
  if (!Open_ || Closing_)
    return;
  std::size_t Limit = Framing_ == Framing::Lines
                          ? MaximumLineBytes
                          : MaximumMessageBytes + LengthBytes;
  if (Input.size() > Limit) {
    fail();
    return;
  }
  IncompleteInput_.assign(Input);
  if (!IncompleteInput_.empty() && Functions_.Progress)
    Functions_.Progress();
}

void MessageStream::writeMessage(std::string_view Message) {
  if (Framing_ == Framing::LengthPrefixed)
    write(lengthPrefix(Message.size()));
  write(Message);
  if (Framing_ == Framing::Lines)
    write(LineEnd);
}

void MessageStream::write(std::string_view Text) {
  if (!Open_ || Closing_ || Overflowed_)
    return;
  Output_ += Text;
  std::size_t Limit = Framing_ == Framing::Lines ? MaximumLineOutputBytes
                                                 : MaximumMessageOutputBytes;
  Overflowed_ = Output_.size() > Limit;
  if (FlushScheduled_ || (WaitsForWritable_ && !Overflowed_))
    return;
  FlushScheduled_ = true;
  asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
    Self->FlushScheduled_ = false;
    if (Self->Overflowed_)
      Self->fail();
    else if (Self->Open_ && !Self->WaitsForWritable_)
      Self->flush();
  });
}

void MessageStream::flush() {
  boost::system::error_code Error;
  std::size_t Count = Socket_.write_some(asio::buffer(Output_), Error);
  if (Error && Error != asio::error::would_block) {
    fail();
    return;
  }
  Output_.erase(0, Count);
  if (!Output_.empty())
    waitUntilWritable();
  else if (Closing_)
    endOutput();
}

void MessageStream::waitUntilWritable() {
  WaitsForWritable_ = true;
  Socket_.async_wait(tcp::socket::wait_write,
                     [Self = shared_from_this()](auto Error) {
                       Self->WaitsForWritable_ = false;
                       if (!Self->Open_)
                         return;
                       if (Error)
                         Self->fail();
                       else
                         Self->flush();
                     });
}

void MessageStream::fail() {
  if (!Open_)
    return;
  auto Self = shared_from_this();
  auto Closed = std::move(Functions_.Closed);
  bool Reports = !Closing_;
  close();
  if (Closed && Reports)
    Closed();
}

void MessageStream::close() {
  if (!Open_)
    return;
  boost::system::error_code Ignored;
  if (!Output_.empty())
    Socket_.write_some(asio::buffer(Output_), Ignored);
  Socket_.shutdown(tcp::socket::shutdown_both, Ignored);
  release();
}

void MessageStream::abort() {
  if (!Open_)
    return;
  boost::system::error_code Ignored;
  Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
  release();
}

void MessageStream::release() {
  boost::system::error_code Ignored;
  Open_ = false;
  CloseTimer_.reset();
  Output_.clear();
  Socket_.close(Ignored);
  resetHandlersLater();
}

/// Handlers may hold references to this object. They are reset later because
/// one of them may be running now.
void MessageStream::resetHandlersLater() {
  asio::post(Socket_.get_executor(),
             [Self = shared_from_this()] { Self->Functions_ = Handlers{}; });
}

void MessageStream::closeWhenSent(std::chrono::milliseconds Timeout) {
  if (!Open_ || Closing_)
    return;
  Closing_ = true;
  IncompleteInput_.clear();
  resetHandlersLater();
  closeAfter(Timeout);
  if (Output_.empty())
    endOutput();
}

void MessageStream::endOutput() {
  boost::system::error_code Ignored;
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  closeAfter(PeerCloseTimeout);
}

void MessageStream::closeAfter(std::chrono::milliseconds Delay) {
  CloseTimer_ =
      std::make_unique<asio::steady_timer>(Socket_.get_executor(), Delay);
  CloseTimer_->async_wait([Weak = weak_from_this()](auto Error) {
    auto Self = Weak.lock();
    if (Self && !Error)
      Self->close();
  });
}

void setTcpUserTimeout(tcp::socket &Socket, int Millis) {
  boost::system::error_code Ignored;
  using UserTimeoutOption =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  Socket.set_option(UserTimeoutOption(Millis), Ignored);
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

static ConnectResult resultOf(const boost::system::error_code &Error) {
  if (Error == asio::error::connection_refused)
    return ConnectResult::Refused;
  if (Error == asio::error::connection_reset)
    return ConnectResult::Reset;
  return ConnectResult::NoAnswer;
}

void connectStream(asio::io_context &Io, std::string_view Address, Framing Mode,
                   ConnectTimeouts Timeouts, ConnectHandler Handler) {
  std::optional<tcp::endpoint> Endpoint = endpointOf(Address);
  if (!Endpoint) {
    asio::post(Io, [Handler = std::move(Handler)] {
      Handler(nullptr, ConnectResult::NoAnswer);
    });
    return;
  }
  auto Socket = std::make_shared<tcp::socket>(Io);
  auto Timer = std::make_shared<asio::steady_timer>(Io, Timeouts.Connect);
  Timer->async_wait([Socket](auto Error) {
    boost::system::error_code Ignored;
    if (!Error)
      Socket->close(Ignored);
  });
  auto UserTimeout = static_cast<int>(Timeouts.UserTimeout.count());
  Socket->async_connect(*Endpoint, [Socket, Timer, Mode, UserTimeout,
                                    Handler = std::move(Handler)](auto Error) {
    Timer->cancel();
    if (Error || !Socket->is_open()) {
      Handler(nullptr, resultOf(Error));
      return;
    }
    setTcpUserTimeout(*Socket, UserTimeout);
    Handler(MessageStream::create(std::move(*Socket), Mode),
            ConnectResult::Connected);
  });
}

} // namespace nutmegloom
