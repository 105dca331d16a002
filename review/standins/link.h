#ifndef NUTMEGLOOM_REVIEW_STANDINS_LINK_H
#define NUTMEGLOOM_REVIEW_STANDINS_LINK_H

#include "record.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace review {

/// A network link: passes connections on to a target. While it is cut, bytes
/// are held up; those that were sent before their sender closed the connection
/// are delivered after the cut, and those of a connection that its sender reset
/// are lost.
class Link {
public:
  Link(boost::asio::io_context &Io, boost::asio::ip::tcp::endpoint Listen,
       boost::asio::ip::tcp::endpoint Target);

  boost::asio::ip::tcp::endpoint address() const {
    return Acceptor_.local_endpoint();
  }
  void cut() { Cut_ = true; }
  void heal();
  bool isCut() const { return Cut_; }
  /// Bytes a second towards the side that connects; 0: no limit.
  void setRate(std::size_t BytesPerSecond) { Rate_ = BytesPerSecond; }
  /// Called when a connection has been accepted.
  std::function<void()> Accepted;

private:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> connect(Socket From);
  boost::asio::awaitable<void> pass(Socket From, Socket To, bool Limited);
  boost::asio::awaitable<void> waitUntilHealed();

  boost::asio::io_context &Io_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  boost::asio::ip::tcp::endpoint Target_;
  boost::asio::steady_timer Healed_;
  bool Cut_ = false;
  std::size_t Rate_ = 0;
};

} // namespace review

#endif // NUTMEGLOOM_REVIEW_STANDINS_LINK_H
