#ifndef NUTMEGLOOM_TESTING_STANDINSESSIONS_SESSIONDATABASES_H
#define NUTMEGLOOM_TESTING_STANDINSESSIONS_SESSIONDATABASES_H

#include "protocol/messagestream.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace nutmegloom::testing {

/// Simulated databases of one group that speak the platform's session protocol
/// on loopback ports. They share one log: replicas have a commit at once.
class SessionDatabases {
public:
  SessionDatabases(boost::asio::io_context &Io, std::string Group,
                   const std::vector<std::string> &Ids);

  std::string addressOf(const std::string &Id) const;
  const std::string &primary() const { return Primary_; }
  bool isUp(const std::string &Id) const { return Members_.at(Id)->Up; }
  /// Closes the database's port and its connections.
  void crash(const std::string &Id);
  /// A silent database keeps its connections and answers nothing.
  void setSilent(const std::string &Id, bool Silent) {
    Members_.at(Id)->Silent = Silent;
  }
  /// Listens again at the previous address, with the log kept.
  void restart(const std::string &Id);
  /// Makes the database primary of a new term, unless it is primary already.
  void promote(const std::string &Id);
  /// Ids of the databases and texts of the statements that they executed.
  const std::vector<std::pair<std::string, std::string>> &executed() const {
    return Executed_;
  }
  /// Number of committed writes.
  std::size_t commits() const { return Index_; }

  /// A statement that was prepared on a connection.
  struct PreparedStatement {
    bool Writes = false;
    std::string Shape;
    bool operator==(const PreparedStatement &) const = default;
  };

  /// A read, write or commit that a database executed.
  struct Run {
    std::string Statement;
    std::string Text;
    /// Name that was given at the start of the session.
    std::string Account;
    /// EXECUTE: what stood under the name on this connection.
    std::optional<PreparedStatement> Prepared;
    std::string Database;
    std::map<std::string, std::string> Values;
    /// Number of the database transaction; zero outside of transactions.
    std::uint64_t Transaction = 0;
    /// True for a write outside of transactions, and for the statements of a
    /// transaction once it has committed.
    bool Committed = false;
  };
  const std::vector<Run> &runs() const { return Runs_; }

private:
  struct Member {
    explicit Member(boost::asio::io_context &Io) : Acceptor(Io) {}
    boost::asio::ip::tcp::acceptor Acceptor;
    std::vector<std::shared_ptr<MessageStream>> Streams;
    bool Up = true;
    bool Silent = false;
    /// Term of the pause in force; zero: none. A paused replica reports it, but
    /// goes on to have the shared log.
    std::uint64_t PausedTerm = 0;
    std::uint16_t Port = 0;
  };
  struct Session {
    std::shared_ptr<MessageStream> Stream;
    std::string Account;
    std::string State = "I";
    std::size_t Writes = 0;
    std::uint64_t Transaction = 0;
    std::uint64_t BegunTerm = 0;
    /// Indexes in Runs_ of the open transaction's statements.
    std::vector<std::size_t> OpenRuns;
    std::map<std::string, std::string> Values;
    std::map<std::string, PreparedStatement> Prepared;
  };

  void accept(const std::string &Id);
  void onLine(const std::string &Id, Session &Client, std::string_view Line);
  std::string runStatement(const std::string &Id, Session &Client,
                           const std::string &Statement, std::string Text);
  std::string runControlStatement(const std::string &Id, Session &Client,
                                  const std::string &Text);
  /// Prepares "PREPARE name READ|WRITE shape". Returns false if it is not
  /// valid.
  static bool prepare(Session &Client, const std::string &Text);
  /// Statement under the name of "EXECUTE name item [data]", if there is one.
  static std::optional<PreparedStatement> preparedFor(const Session &Client,
                                                      const std::string &Text);
  void listen(const std::string &Id, std::uint16_t Port);

  std::string Group_;
  std::string Primary_;
  std::uint64_t Term_ = 3;
  std::uint64_t Index_ = 0;
  std::map<std::string, std::unique_ptr<Member>> Members_;
  std::vector<std::pair<std::string, std::string>> Executed_;
  std::vector<Run> Runs_;
  std::uint64_t LastTransaction_ = 0;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINSESSIONS_SESSIONDATABASES_H
