#ifndef NUTMEGLOOM_PROTOCOL_MESSAGESTREAM_H
#define NUTMEGLOOM_PROTOCOL_MESSAGESTREAM_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegloom {

/// Greatest length of a line, in bytes.
constexpr std::size_t MaximumLineBytes = std::size_t{1024} * 1024;
/// Greatest length of a message with a length prefix: a whole configuration.
constexpr std::size_t MaximumMessageBytes = std::size_t{16} * 1024 * 1024;

/// How a stream of bytes is cut into messages.
enum class Framing {
  /// Lines that end with CR LF.
  Lines,
  /// Four bytes with the length, least significant first, before each message.
  LengthPrefixed,
};

/// A TCP connection that carries messages. It keeps itself alive while an
/// operation is in progress; after close no handler is called any more.
class MessageStream : public std::enable_shared_from_this<MessageStream> {
public:
  struct Handlers {
    /// A message without its framing. It is valid during the call.
    std::function<void(std::string_view)> Message;
    /// The peer has closed, or the connection broke.
    std::function<void()> Closed;
  };

  static std::shared_ptr<MessageStream>
  create(boost::asio::ip::tcp::socket Socket, Framing Mode = Framing::Lines);

  /// Begins to read.
  void start(Handlers Functions);
  /// Queues bytes that carry their framing already; what is queued in one turn
  /// goes out together.
  void write(std::string_view Text);
  /// Queues one message with the stream's framing.
  void writeMessage(std::string_view Message);
  /// Closes; text that is queued is tried once more.
  void close();
  bool isOpen() const { return Open_; }

private:
  MessageStream(boost::asio::ip::tcp::socket Socket, Framing Mode)
      : Socket_(std::move(Socket)), Framing_(Mode) {}

  void waitUntilReadable();
  void onReadable();
  void deliverMessages(std::string_view Received);
  void flush();
  void waitUntilWritable();
  void fail();

  boost::asio::ip::tcp::socket Socket_;
  Framing Framing_;
  Handlers Functions_;
  std::string IncompleteInput_;
  std::string Output_;
  bool Open_ = true;
  bool FlushScheduled_ = false;
  bool WaitsForWritable_ = false;
};

/// Time after which unanswered bytes break a connection.
void setTcpUserTimeout(boost::asio::ip::tcp::socket &Socket, int Millis);

/// Parses "IP:port". Nothing: it is neither.
std::optional<boost::asio::ip::tcp::endpoint>
endpointOf(std::string_view Address);

/// Limits of an outgoing connection.
struct ConnectTimeouts {
  /// Time to connect.
  std::chrono::milliseconds Connect{700};
  /// Bytes that the peer does not acknowledge for this long break it.
  std::chrono::milliseconds UserTimeout{1500};
};

enum class ConnectResult {
  Connected,
  /// Nothing listens at the address.
  Refused,
  /// The peer has closed the connection at once.
  Reset,
  NoAnswer,
};

/// Gets a stream only when it is connected.
using ConnectHandler =
    std::function<void(std::shared_ptr<MessageStream>, ConnectResult)>;

/// Connects to "IP:port".
void connectStream(boost::asio::io_context &Io, std::string_view Address,
                   Framing Mode, ConnectTimeouts Timeouts,
                   ConnectHandler Handler);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_MESSAGESTREAM_H
