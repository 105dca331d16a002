#ifndef NUTMEGLOOM_TESTING_SOAK_CALLERS_H
#define NUTMEGLOOM_TESTING_SOAK_CALLERS_H

#include "testing/standinsessions/sessiondatabases.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>
#include <vector>

namespace nutmegloom::testing {

/// Outcome of a statement as reported to its caller. NotKept: nothing of the
/// attempt was kept. Unknown: the answer leaves open whether it was.
enum class ReportedOutcome { NoAnswer, Done, NotKept, Unknown };

/// A statement that a caller sent, and its outcome.
struct SentStatement {
  std::string Text;
  std::size_t Caller = 0;
  /// Number of the transaction; zero outside of transactions.
  std::uint64_t Transaction = 0;
  ReportedOutcome Answer = ReportedOutcome::NoAnswer;
  /// EXECUTE: what the caller had prepared under the name.
  std::optional<SessionDatabases::PreparedStatement> Prepared;
  /// The caller was told that the name of an EXECUTE is unknown.
  bool NameUnknown = false;

  bool writes() const {
    return Prepared ? Prepared->Writes : Text.starts_with("WRITE");
  }
};

/// Callers that each use a connection of their own to send random statements
/// and transactions one after the other. When the connection ends, the caller
/// connects to a host that PickHost returns.
class Callers {
public:
  struct Hooks {
    /// Returns the address of the host to connect to.
    std::function<std::string()> PickHost;
  };

  Callers(boost::asio::io_context &Io, std::uint32_t Seed, std::size_t Count,
          std::vector<std::string> Routes, Hooks Handlers);

  /// Name of the session value that each caller sets to its own number.
  static constexpr const char *ValueName = "caller";

  /// Begins no more statements or transactions; open transactions are finished.
  void stop() { Stopping_ = true; }
  const std::map<std::string, SentStatement> &sent() const { return Sent_; }
  /// Outcomes of the commits by transaction; Unknown if the connection ended
  /// before the answer. No entry if no commit was sent or its answer is
  /// pending.
  const std::map<std::uint64_t, ReportedOutcome> &commits() const {
    return Commits_;
  }
  std::size_t answered() const { return Answered_; }
  /// Number of statements completed so far, by address of the host.
  const std::map<std::string, std::size_t> &completedByHost() const {
    return CompletedByHost_;
  }

private:
  struct Caller {
    explicit Caller(boost::asio::io_context &Io) : Timer(Io) {}
    std::size_t Number = 0;
    std::string Host;
    std::shared_ptr<MessageStream> Stream;
    boost::asio::steady_timer Timer;
    /// Identifies the current use of the timer. A callback that is already
    /// queued can't be cancelled, so callbacks of earlier uses are ignored.
    std::uint64_t TimerGeneration = 0;
    /// Id of the statement that waits for its answer; empty if none does.
    std::string Pending;
    std::string Error;
    bool Accepted = false;
    bool ValueSet = false;
    /// Statements that the present session has prepared, by their names.
    std::map<std::string, SessionDatabases::PreparedStatement> Prepared;
    std::uint64_t Transaction = 0;
    int StatementsLeft = 0;
  };

  void connect(const std::shared_ptr<Caller> &Client);
  void onLine(const std::shared_ptr<Caller> &Client, std::string_view Line);
  void onClosed(const std::shared_ptr<Caller> &Client);
  void next(const std::shared_ptr<Caller> &Client);
  void send(const std::shared_ptr<Caller> &Client, const std::string &Text);
  void prepare(const std::shared_ptr<Caller> &Client);
  void execute(const std::shared_ptr<Caller> &Client, const std::string &Item);
  /// Text to prepare: a word, several words that look like a message of the
  /// protocol, or a long one.
  std::string randomShape();
  void recordOutcome(Caller &Client, ReportedOutcome Answer);
  void startTimer(const std::shared_ptr<Caller> &Client,
                  std::chrono::milliseconds Time, std::function<void()> Call);
  int randomBetween(int Least, int Greatest);

  boost::asio::io_context &Io_;
  std::mt19937 Random_;
  std::vector<std::string> Routes_;
  Hooks Handlers_;
  std::vector<std::shared_ptr<Caller>> Callers_;
  std::map<std::string, SentStatement> Sent_;
  std::map<std::uint64_t, ReportedOutcome> Commits_;
  std::uint64_t LastStatement_ = 0;
  std::uint64_t LastTransaction_ = 0;
  std::size_t Answered_ = 0;
  std::map<std::string, std::size_t> CompletedByHost_;
  bool Stopping_ = false;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SOAK_CALLERS_H
