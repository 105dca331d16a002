#ifndef NUTMEGLOOM_PROTOCOL_LINESTREAM_H
#define NUTMEGLOOM_PROTOCOL_LINESTREAM_H

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace nutmegloom {

/// Greatest length of a line, in bytes.
constexpr std::size_t MaximumLineBytes = std::size_t{1024} * 1024;

/// A TCP connection that carries lines. It keeps itself alive while an
/// operation is in progress; after close no handler is called any more.
class LineStream : public std::enable_shared_from_this<LineStream> {
public:
  struct Handlers {
    /// A line without its end. The text is valid during the call.
    std::function<void(std::string_view)> Line;
    /// The peer has closed, or the connection broke.
    std::function<void()> Closed;
  };

  static std::shared_ptr<LineStream>
  create(boost::asio::ip::tcp::socket Socket);

  /// Begins to read.
  void start(Handlers Functions);
  /// Queues text; what is queued in one turn goes out together.
  void write(std::string_view Text);
  /// Closes; text that is queued is tried once more.
  void close();
  bool isOpen() const { return Open_; }

private:
  explicit LineStream(boost::asio::ip::tcp::socket Socket)
      : Socket_(std::move(Socket)) {}

  void waitForInput();
  void onReadable();
  void takeLines(std::string_view Fresh);
  void flush();
  void waitForRoom();
  void fail();

  boost::asio::ip::tcp::socket Socket_;
  Handlers Functions_;
  std::string Partial_;
  std::string Output_;
  bool Open_ = true;
  bool FlushScheduled_ = false;
  bool WaitsForRoom_ = false;
};

/// Time after which unanswered bytes break a connection.
void setUnansweredTimeout(boost::asio::ip::tcp::socket &Socket, int Millis);

/// Parses "IP:port". Nothing: it is neither.
std::optional<boost::asio::ip::tcp::endpoint>
endpointOf(std::string_view Address);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_LINESTREAM_H
