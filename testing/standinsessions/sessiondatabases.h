#ifndef NUTMEGLOOM_TESTING_STANDINSESSIONS_SESSIONDATABASES_H
#define NUTMEGLOOM_TESTING_STANDINSESSIONS_SESSIONDATABASES_H

#include "protocol/messagestream.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <vector>

namespace nutmegloom::testing {

/// Databases of one group that speak the platform's session protocol on
/// loopback. A commit reaches the replicas at once.
class SessionDatabases {
public:
  SessionDatabases(boost::asio::io_context &Io, std::string Group,
                   const std::vector<std::string> &Ids);

  std::string addressOf(const std::string &Id) const;
  const std::string &primary() const { return Primary_; }
  bool isUp(const std::string &Id) const { return Members_.at(Id)->Up; }
  /// The database stops to accept and breaks its connections.
  void crash(const std::string &Id);
  /// The database accepts again at its address, with its log.
  void restart(const std::string &Id);
  /// The database leads the next term.
  void promote(const std::string &Id);
  /// Texts of the statements that ran, with the id of their database.
  const std::vector<std::pair<std::string, std::string>> &executed() const {
    return Executed_;
  }
  std::size_t commits() const { return Index_; }

  /// A statement of a caller that ran.
  struct Run {
    std::string Statement;
    std::string Text;
    std::string Database;
    std::map<std::string, std::string> Values;
    /// Number of the transaction on the database; zero: none.
    std::uint64_t Transaction = 0;
    /// Its effect is kept.
    bool Committed = false;
  };
  const std::vector<Run> &runs() const { return Runs_; }

private:
  struct Member {
    explicit Member(boost::asio::io_context &Io) : Acceptor(Io) {}
    boost::asio::ip::tcp::acceptor Acceptor;
    std::vector<std::shared_ptr<MessageStream>> Streams;
    bool Up = true;
    std::uint16_t Port = 0;
  };
  struct Session {
    std::shared_ptr<MessageStream> Stream;
    std::string State = "I";
    std::size_t Writes = 0;
    std::uint64_t Transaction = 0;
    std::uint64_t BegunTerm = 0;
    /// Runs of the open transaction.
    std::vector<std::size_t> OpenRuns;
    std::map<std::string, std::string> Values;
  };

  void accept(const std::string &Id);
  void onLine(const std::string &Id, Session &Client, std::string_view Line);
  std::string runStatement(const std::string &Id, Session &Client,
                           const std::string &Statement, std::string Text);
  std::string runControlStatement(const std::string &Id, Session &Client,
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
