#ifndef NUTMEGLOOM_TESTING_SOAK_FAULTPROXY_H
#define NUTMEGLOOM_TESTING_SOAK_FAULTPROXY_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace nutmegloom::testing {

/// TCP proxy on a loopback port that injects network faults into the
/// connections to a target.
class FaultProxy {
public:
  FaultProxy(boost::asio::io_context &Io, std::string Target);

  const std::string &address() const { return Address_; }

  /// Delays the forwarding of each received block of bytes.
  void setDelay(std::chrono::milliseconds Delay) { Delay_ = Delay; }
  /// Discards bytes in the given directions, in open and in new connections. A
  /// connection that has lost bytes stays silent after heal().
  void setCut(bool ToTarget, bool FromTarget);
  /// Discards all bytes of the open connections from now on; new ones work.
  void silence();
  /// Closes the open connections; the connecting side gets a TCP reset.
  void reset();
  /// Ends the delay and the cut. Silent connections stay silent.
  void heal();

private:
  struct Connection;
  enum class Direction { ToTarget, FromTarget };

  void accept();
  void readNext(const std::shared_ptr<Connection> &Relayed, Direction Way);
  void forward(const std::shared_ptr<Connection> &Relayed, Direction Way,
               std::size_t Count);
  void end(const std::shared_ptr<Connection> &Relayed);
  bool isCut(const Connection &Relayed, Direction Way) const;

  boost::asio::io_context &Io_;
  std::string Target_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::string Address_;
  std::chrono::milliseconds Delay_{0};
  bool CutToTarget_ = false;
  bool CutFromTarget_ = false;
  std::set<std::shared_ptr<Connection>> Connections_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SOAK_FAULTPROXY_H
