#ifndef NUTMEGLOOM_PROTOCOL_DATABASECONNECTION_H
#define NUTMEGLOOM_PROTOCOL_DATABASECONNECTION_H

#include "core/messages.h"

#include <functional>
#include <memory>
#include <variant>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom {

/// Connection to a database's service port. The interface hides the wire
/// protocol, so that HTTP can be replaced by another one.
class DatabaseConnection {
public:
  using OpenHandler = std::function<void(bool Opened)>;
  using AnswerHandler =
      std::function<void(std::variant<DatabaseAnswer, DatabaseFailure>)>;

  virtual ~DatabaseConnection() = default;

  virtual void open(Milliseconds Timeout, OpenHandler Handler) = 0;
  /// Sends a request. Only one request may be in progress. A Broken or
  /// Malformed failure closes the connection; the answer to another exchange
  /// is Malformed.
  virtual void send(const DatabaseRequest &Request, Milliseconds Timeout,
                    AnswerHandler Handler) = 0;
  /// Sets a function that is called once if the connection is closed because
  /// the peer closes it, sends data while no request is in progress, or ends
  /// keep-alive with a response.
  virtual void setCloseHandler(std::function<void()> Handler) = 0;
  virtual void close() = 0;
};

/// Creates a connection to "IP:port" that uses JSON over HTTP/1.1.
std::shared_ptr<DatabaseConnection>
makeHttpDatabaseConnection(boost::asio::io_context &Io, std::string Address);

/// Client of the databases' control ports: status polls and commands.
class DatabaseControl {
public:
  /// The database refused the command. Term is the term that it has promised.
  struct Refused {
    std::uint64_t Term = 0;
  };
  struct Failed {
    std::string Detail;
  };
  using StatusHandler =
      std::function<void(std::variant<DatabaseStatus, Failed>)>;
  using CommandHandler =
      std::function<void(std::variant<DatabaseStatus, Refused, Failed>)>;

  virtual ~DatabaseControl() = default;

  /// Requests a status. With a positive wait the database responds when its
  /// received index passes After, its term changes or the wait is over.
  /// Timeout covers the whole call, including the wait.
  virtual void pollStatus(const std::string &ControlAddress,
                          std::uint64_t After, Milliseconds Wait,
                          Milliseconds Timeout, StatusHandler Handler) = 0;
  virtual void sendCommand(const std::string &ControlAddress,
                           const ControlRequest &Request, Milliseconds Timeout,
                           CommandHandler Handler) = 0;
};

/// Creates a client that keeps one idle connection for status polls to each
/// control address and opens a new one for each command, so that a command
/// never waits for a status poll.
std::shared_ptr<DatabaseControl>
makeHttpDatabaseControl(boost::asio::io_context &Io);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_DATABASECONNECTION_H
