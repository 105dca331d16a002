#ifndef NUTMEGLOOM_TESTING_SOAK_FAULTPROXY_H
#define NUTMEGLOOM_TESTING_SOAK_FAULTPROXY_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>
#include <string>

namespace nutmegloom::testing {

/// Forwards TCP connections on loopback and harms them from outside the
/// processes at both ends.
class FaultProxy {
public:
  FaultProxy(boost::asio::io_context &Io, std::string Target);

  const std::string &address() const { return Address_; }

  /// Bytes are passed on this much later.
  void setDelay(std::chrono::milliseconds Delay) { Delay_ = Delay; }
  /// Which bytes are lost from now on, in connections that are open or new.
  void setCut(bool ToTarget, bool FromTarget);
  /// The open connections carry nothing any more; new ones work.
  void silence();
  /// The open connections are reset.
  void reset();
  /// Takes back delay and cut. Silenced connections stay so.
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
