#ifndef NUTMEGLOOM_REVIEW_STANDINS_DATABASES_H
#define NUTMEGLOOM_REVIEW_STANDINS_DATABASES_H

#include "store.h"

#include <compare>
#include <memory>
#include <set>
#include <vector>

namespace review {

struct LogPosition {
  std::uint64_t Term = 0;
  std::uint64_t Number = 0;
  auto operator<=>(const LogPosition &) const = default;
};
std::string textOf(const LogPosition &Position);

/// A commit in a database's log.
struct Commit {
  LogPosition Position;
  /// Id of the statement that committed.
  std::string Statement;
  /// Values by item.
  std::map<std::string, std::string> Writes;
};

/// The databases of one service. Commits reach the replicas over the network
/// and are applied a little later.
class DatabaseGroup {
public:
  struct Settings {
    std::string Service;
    std::uint32_t SyncReplicas = 0;
    Milliseconds NetworkDelay{1};
    Milliseconds ApplyDelay{8};
    Milliseconds WorkTime{3};
    Milliseconds PromoteTime{600};
    Milliseconds Heartbeat{1200};
    std::uint32_t Slots = 5;
  };

  DatabaseGroup(boost::asio::io_context &Io, Store &Listing, Record &Log,
                std::string Ip, Settings Options);

  /// Starts a database. The first one is the primary. A later one begins with a
  /// copy of the primary's log.
  void add(const std::string &Id, const std::string &Zone);
  /// Reports a planned stop. The database serves until stop() is called.
  void drain(const std::string &Id);
  /// Ends a database that has drained: its entry is removed.
  void stop(const std::string &Id);
  /// Ends a database without notice. Its entry lapses after three heartbeats.
  void crash(const std::string &Id);
  /// Starts a crashed database with its log.
  void restart(const std::string &Id);
  /// A deaf replica receives no commits.
  void setDeaf(const std::string &Id, bool Deaf);
  /// Additional time that each statement takes at the database.
  void setWorkTime(Milliseconds Time) { Options_.WorkTime = Time; }
  /// Stores a value everywhere, as a commit of the time before the case. Each
  /// line of it is a row of a read.
  void fill(const std::string &Item, const std::string &Value);

  /// The platform's promotion: false if the database is not running.
  bool promote(const std::string &Id);

  std::string primary() const { return Primary_; }
  bool has(const std::string &Id) const { return Members_.contains(Id); }
  /// True when the database's log has the commit of the statement.
  bool holds(const std::string &Id, const std::string &Statement) const;
  LogPosition received(const std::string &Id) const;
  std::string addressOf(const std::string &Id) const;

  /// A statement that a database ran or a commit that it made.
  struct Run {
    double At = 0;
    std::string Database;
    std::string Statement;
    std::string Text;
  };
  const std::vector<Run> &runs() const { return Runs_; }
  /// First statements of clients that arrived at a database: single ones, and
  /// the first of a transaction.
  const std::vector<Run> &arrivals() const { return Arrivals_; }

  /// Called when a promotion has taken effect.
  std::function<void(const std::string &Id, std::uint64_t Term)> Promoted;

private:
  struct Member {
    explicit Member(boost::asio::io_context &Io) : Acceptor(Io) {}
    std::string Id;
    std::string Zone;
    std::uint16_t Port = 0;
    boost::asio::ip::tcp::acceptor Acceptor;
    std::set<std::shared_ptr<boost::asio::ip::tcp::socket>> Sockets;
    bool Up = true;
    bool Primary = false;
    bool Draining = false;
    bool Deaf = false;
    std::uint64_t Term = 3;
    std::uint64_t PausedTerm = 0;
    std::vector<Commit> Log;
    /// Number of commits of the log that are applied.
    std::size_t Applied = 0;
    std::uint64_t Sequence = 0;
    std::int64_t Born = 0;
    std::uint32_t Busy = 0;
    double SilentSince = 0;
  };
  struct Session {
    std::string State = "I";
    bool ReadOnly = false;
    std::uint64_t Term = 0;
    std::map<std::string, std::string> Writes;
    std::map<std::string, std::string> Values;
    std::map<std::string, std::pair<bool, std::string>> Prepared;
    bool Used = false;
  };

  Member &member(const std::string &Id) { return *Members_.at(Id); }
  void listen(Member &Listening);
  boost::asio::awaitable<void> accept(std::string Id);
  boost::asio::awaitable<void>
  serve(std::string Id, std::shared_ptr<boost::asio::ip::tcp::socket> Socket);
  boost::asio::awaitable<std::string>
  run(std::string Id, Session &Client, std::string Statement, std::string Text);
  std::optional<std::string> control(Member &Serving, Session &Client,
                                     const std::string &Text);
  boost::asio::awaitable<std::string> work(std::string Id, Session &Client,
                                           std::string Statement,
                                           std::string Text);
  boost::asio::awaitable<bool>
  commit(std::string Id, std::string Statement,
         std::map<std::string, std::string> Writes);
  boost::asio::awaitable<void> replicate(std::string Id);
  boost::asio::awaitable<void> applyLater(std::string Id);
  boost::asio::awaitable<void> becomePrimary(std::string Id);
  boost::asio::awaitable<void> heartbeats(std::string Id, std::int64_t Born);
  void report(Member &Reporting);
  static LogPosition endOf(const std::vector<Commit> &Log);
  LogPosition appliedPosition(const Member &Serving) const;

  boost::asio::io_context &Io_;
  Store &Listing_;
  Record &Record_;
  std::string Ip_;
  Settings Options_;
  std::string Primary_;
  std::map<std::string, std::unique_ptr<Member>> Members_;
  /// Cancelled when a replica receives a commit.
  boost::asio::steady_timer Received_;
  std::vector<Run> Runs_;
  std::vector<Run> Arrivals_;
};

} // namespace review

#endif // NUTMEGLOOM_REVIEW_STANDINS_DATABASES_H
