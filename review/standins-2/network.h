#ifndef NUTMEGLOOM_REVIEW_NETWORK_H
#define NUTMEGLOOM_REVIEW_NETWORK_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Blocking TCP socket with timeouts. Closed by its destructor.
class Socket {
public:
  explicit Socket(int Descriptor) : Descriptor_(Descriptor) {}
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;
  ~Socket();

  /// Connects to a loopback address; null if that fails.
  static std::unique_ptr<Socket>
  connect(const std::string &Ip, std::uint16_t Port, Milliseconds Timeout);

  bool send(std::string_view Bytes);
  /// Reads up to Delimiter, which is removed. Nothing: the peer has closed, or
  /// the time is over.
  std::optional<std::string> readUntil(std::string_view Delimiter,
                                       Milliseconds Timeout);
  std::optional<std::string> readBytes(std::size_t Count, Milliseconds Timeout);
  void shutdown();
  /// True if the peer has reset the connection.
  bool isReset() const;
  int descriptor() const { return Descriptor_; }

private:
  bool receive(Clock::time_point Until);

  int Descriptor_;
  std::string Buffer_;
};

/// Listens on a loopback address and serves each connection in a thread.
class Listener {
public:
  using Serve = std::function<void(const std::shared_ptr<Socket> &)>;

  Listener(std::string Ip, Serve Handler);
  ~Listener();
  std::uint16_t port() const { return Port_; }
  std::string address() const { return Ip_ + ":" + std::to_string(Port_); }
  /// Refuses connections from now on. The port stays reserved by its address.
  void close();

private:
  std::string Ip_;
  std::uint16_t Port_ = 0;
  std::atomic<int> Descriptor_{-1};
};

/// A port that is free at the address for TCP and UDP.
std::uint16_t freePort(const std::string &Ip);

} // namespace review

#endif // NUTMEGLOOM_REVIEW_NETWORK_H
