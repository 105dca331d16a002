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

/// One connection to a database's service port. Another codec for databases
/// takes the place of the HTTP one behind this interface.
class DatabaseConnection {
public:
  using OpenHandler = std::function<void(bool Opened)>;
  using AnswerHandler =
      std::function<void(std::variant<DatabaseAnswer, DatabaseFailure>)>;

  virtual ~DatabaseConnection() = default;

  virtual void open(Milliseconds Timeout, OpenHandler Handler) = 0;
  /// Sends a request. After a Broken or Malformed failure the connection is
  /// closed. An answer for another exchange is Malformed.
  virtual void send(const DatabaseRequest &Request, Milliseconds Timeout,
                    AnswerHandler Handler) = 0;
  /// Sets the function for a close by the peer while nothing is owed.
  virtual void setCloseHandler(std::function<void()> Handler) = 0;
  virtual void close() = 0;
};

/// Makes a connection over HTTP/1.1 and JSON to "IP:port".
std::shared_ptr<DatabaseConnection>
makeHttpDatabaseConnection(boost::asio::io_context &Io, std::string Address);

/// Commands and status on the control ports of databases.
class DatabaseControl {
public:
  /// A refusal carries the term that the database has promised.
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

  /// Asks for a status. With a wait the database answers when its received
  /// index passes After or its term changes, or when the wait is over.
  virtual void pollStatus(const std::string &ControlAddress,
                          std::uint64_t After, Milliseconds Wait,
                          Milliseconds Timeout, StatusHandler Handler) = 0;
  virtual void sendCommand(const std::string &ControlAddress,
                           const ControlRequest &Request, Milliseconds Timeout,
                           CommandHandler Handler) = 0;
};

/// Keeps one status connection for each control address and opens another
/// for each command, so that a command never waits behind a status poll.
std::shared_ptr<DatabaseControl>
makeHttpDatabaseControl(boost::asio::io_context &Io);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_DATABASECONNECTION_H
