#ifndef NUTMEGLOOM_PROTOCOL_STREAMACCEPTOR_H
#define NUTMEGLOOM_PROTOCOL_STREAMACCEPTOR_H

#include "protocol/messagestream.h"

#include <boost/asio/steady_timer.hpp>

namespace nutmegloom {

/// Listens at an address and creates a message stream for each connection. When
/// a connection can't be accepted, for example because no file descriptor is
/// free, it goes on after a short time.
class StreamAcceptor {
public:
  using AcceptHandler = std::function<void(std::shared_ptr<MessageStream>)>;

  StreamAcceptor(boost::asio::io_context &Io, Framing Mode, int Backlog,
                 AcceptHandler Handler);

  /// Starts to accept connections. Returns an error message; empty on success.
  std::string listen(const boost::asio::ip::tcp::endpoint &Address);
  /// Stops listening. Connections that were accepted stay open.
  void stop();
  bool isListening() const { return Acceptor_.is_open(); }

private:
  void accept();

  boost::asio::ip::tcp::acceptor Acceptor_;
  boost::asio::steady_timer RetryTimer_;
  Framing Framing_;
  int Backlog_;
  AcceptHandler Handler_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_STREAMACCEPTOR_H
