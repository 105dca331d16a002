#ifndef NUTMEGLOOM_REVIEW_STANDINS_CLIENT_H
#define NUTMEGLOOM_REVIEW_STANDINS_CLIENT_H

#include "record.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <vector>

namespace review {

/// What a client got for a statement.
struct Answer {
  /// The complete answer has arrived: a result and READY.
  bool Complete = false;
  /// The connection has ended without a complete answer.
  bool Broken = false;
  /// Bytes of the answer that arrived.
  std::size_t Bytes = 0;
  /// Error code; empty: success.
  std::string Code;
  std::string Detail;
  std::string Signature;
  std::vector<std::string> Rows;
  std::string State;

  bool succeeded() const { return Complete && Code.empty(); }
  std::string text() const;
};

/// A client's session.
class Client {
public:
  Client(boost::asio::io_context &Io, Record &Log, std::string Name)
      : Io_(Io), Record_(Log), Name_(std::move(Name)) {}

  /// Opens a session; true when it is ready.
  boost::asio::awaitable<bool> open(boost::asio::ip::tcp::endpoint Host,
                                    std::string Database);
  /// Sends a statement and waits for its answer for Timeout at most.
  boost::asio::awaitable<Answer> query(std::string Id, std::string Text,
                                       Milliseconds Timeout);
  void close();
  bool isOpen() const { return Socket_ && Socket_->is_open(); }

private:
  boost::asio::awaitable<bool> readLine(std::string &Line, Answer &Into);

  boost::asio::io_context &Io_;
  Record &Record_;
  std::string Name_;
  std::shared_ptr<boost::asio::ip::tcp::socket> Socket_;
  std::string Input_;
};

} // namespace review

#endif // NUTMEGLOOM_REVIEW_STANDINS_CLIENT_H
