#ifndef NUTMEGLOOM_PROTOCOL_MESSAGESTREAM_H
#define NUTMEGLOOM_PROTOCOL_MESSAGESTREAM_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegloom {

constexpr std::size_t MaximumLineBytes = std::size_t{1024} * 1024;
/// For length-prefixed messages; the largest one is a whole configuration.
constexpr std::size_t MaximumMessageBytes = std::size_t{16} * 1024 * 1024;

/// How messages are delimited in the byte stream.
enum class Framing {
  /// Lines terminated by CR LF.
  Lines,
  /// Each message is preceded by its length as a 4-byte little-endian integer.
  LengthPrefixed,
};

/// TCP connection that carries messages. It holds a reference to itself while
/// an operation is in progress. No handler is called after close() or
/// closeWhenSent(), and none is called inside a member function: a caller may
/// go on using what it holds, such as an entry that a handler erases.
class MessageStream : public std::enable_shared_from_this<MessageStream> {
public:
  struct Handlers {
    /// Receives a message without its framing. The view is valid only during
    /// the call.
    std::function<void(std::string_view)> Message;
    /// Called once if the peer closes the connection, the connection fails,
    /// the input is malformed or a size limit is exceeded.
    std::function<void()> Closed;
    /// Called when a part of a message has arrived; optional.
    std::function<void()> Progress = nullptr;
  };

  static std::shared_ptr<MessageStream>
  create(boost::asio::ip::tcp::socket Socket, Framing Mode = Framing::Lines);

  /// Starts to read.
  void start(Handlers Functions);
  /// Queues bytes that already contain their framing. Bytes that are queued
  /// during one event handler are sent together.
  void write(std::string_view Text);
  /// Queues one message and adds the framing.
  void writeMessage(std::string_view Message);
  /// Closes the connection after one non-blocking attempt to send the queued
  /// bytes. Doesn't call Closed.
  void close();
  /// Closes the connection by a reset: queued bytes, and sent ones that the
  /// peer has not received, are lost. Doesn't call Closed.
  void abort();
  /// Closes the connection once the peer has taken the queued bytes, at the
  /// latest after Timeout. Until then isOpen() is true and what the peer sends
  /// is discarded. Doesn't call Closed.
  void closeWhenSent(std::chrono::milliseconds Timeout);
  bool isOpen() const { return Open_; }
  /// True while queued bytes have not been passed to the system.
  bool hasUnsentOutput() const { return Open_ && !Output_.empty(); }

private:
  MessageStream(boost::asio::ip::tcp::socket Socket, Framing Mode)
      : Socket_(std::move(Socket)), Framing_(Mode) {}

  void waitUntilReadable();
  void onReadable();
  void deliverMessages(std::string_view Received);
  void flush();
  void waitUntilWritable();
  void fail();
  void resetHandlersLater();
  void release();
  /// Tells the peer that nothing follows, and waits for it to close.
  void endOutput();
  /// Closes the connection after a delay, in place of an earlier one.
  void closeAfter(std::chrono::milliseconds Delay);

  boost::asio::ip::tcp::socket Socket_;
  Framing Framing_;
  Handlers Functions_;
  std::string IncompleteInput_;
  std::string Output_;
  bool Open_ = true;
  /// closeWhenSent() was called.
  bool Closing_ = false;
  bool FlushScheduled_ = false;
  /// The limit of the queued output was exceeded; the connection is about to
  /// fail.
  bool Overflowed_ = false;
  bool WaitsForWritable_ = false;
  /// Runs while the connection is being closed.
  std::unique_ptr<boost::asio::steady_timer> CloseTimer_;
};

/// Sets TCP_USER_TIMEOUT, in milliseconds: the connection fails if sent data
/// stays unacknowledged for longer.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket, int Millis);

/// Parses "IP:port". Returns nullopt if the text isn't valid.
std::optional<boost::asio::ip::tcp::endpoint>
endpointOf(std::string_view Address);

/// Timeouts of an outgoing connection.
struct ConnectTimeouts {
  /// For establishing the connection.
  std::chrono::milliseconds Connect{700};
  /// TCP_USER_TIMEOUT: for the acknowledgement of sent data.
  std::chrono::milliseconds UserTimeout{1500};
};

enum class ConnectResult {
  Connected,
  /// No process listens at the address.
  Refused,
  /// The peer reset the connection.
  Reset,
  /// The connect timed out or failed with another error.
  NoAnswer,
};

/// The stream is null unless the result is Connected.
using ConnectHandler =
    std::function<void(std::shared_ptr<MessageStream>, ConnectResult)>;

/// Connects to "IP:port". The handler is called once, never before the function
/// returns; for an invalid address it gets NoAnswer.
void connectStream(boost::asio::io_context &Io, std::string_view Address,
                   Framing Mode, ConnectTimeouts Timeouts,
                   ConnectHandler Handler);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_MESSAGESTREAM_H
