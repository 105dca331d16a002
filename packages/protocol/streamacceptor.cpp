#include "protocol/streamacceptor.h"

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Time until the next attempt after a connection could not be accepted.
static constexpr std::chrono::milliseconds AcceptRetryDelay{50};

StreamAcceptor::StreamAcceptor(asio::io_context &Io, Framing Mode, int Backlog,
                               AcceptHandler Handler)
    : Acceptor_(Io), RetryTimer_(Io), Framing_(Mode), Backlog_(Backlog),
      Handler_(std::move(Handler)) {}

std::string StreamAcceptor::listen(const tcp::endpoint &Address) {
  boost::system::error_code Error;
  Acceptor_.open(Address.protocol(), Error);
  if (!Error)
    Acceptor_.set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(Address, Error);
  if (!Error)
    Acceptor_.listen(Backlog_, Error);
  if (Error)
    return Error.message();
  accept();
  return {};
}

void StreamAcceptor::stop() {
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
  RetryTimer_.cancel();
}

void StreamAcceptor::accept() {
  Acceptor_.async_accept([this](auto Error, tcp::socket Socket) {
    if (Error == asio::error::operation_aborted || !isListening())
      return;
    if (Error) {
      RetryTimer_.expires_after(AcceptRetryDelay);
      RetryTimer_.async_wait([this](auto Cancelled) {
        if (!Cancelled)
          accept();
      });
      return;
    }
    accept();
    Handler_(MessageStream::create(std::move(Socket), Framing_));
  });
}

} // namespace nutmegloom
