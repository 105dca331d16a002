#ifndef NUTMEGLOOM_TESTS_CORE_FAKEGROUP_H
#define NUTMEGLOOM_TESTS_CORE_FAKEGROUP_H

#include "core/messages.h"

#include <map>
#include <variant>

namespace nutmegloom {

/// In-memory database with a promised term, a log that records the idempotency
/// keys of writes, and transactions that end with their connection.
struct FakeDatabase {
  struct Entry {
    std::uint64_t Term = 0;
    std::string Key;
    /// The entry closes the key instead of recording a write.
    bool Closed = false;
    std::uint64_t Fingerprint = 0;
    /// When the primary appended the entry.
    TimePoint At;
  };

  /// Executes a request. Returns a failure if the term or the role does not
  /// match, no transaction is open on the connection, or the key is closed or
  /// belongs to another request.
  std::variant<DatabaseAnswer, DatabaseFailure>
  execute(ConnectionId Connection, const DatabaseRequest &Request,
          TimePoint Now);
  DatabaseStatus status(TimePoint Now) const;
  /// Executes a control command. Returns the promised term if the command is
  /// refused, nothing if it is granted.
  std::optional<std::uint64_t> handleControl(const ControlRequest &Request,
                                             TimePoint Now);
  /// Copies the primary's log entries that are at least Lag old, in place of
  /// entries that differ. Does nothing if either database is isolated or this
  /// one is not a replica of the primary's term.
  void pull(const FakeDatabase &Primary, TimePoint Now);
  void append(const std::string &Key, bool Closed, std::uint64_t Fingerprint,
              TimePoint Now);
  std::uint64_t logTerm() const { return Log.empty() ? 0 : Log.back().Term; }
  TermHistory terms() const;
  /// Number of writes that the log records under the key.
  std::size_t countOf(const std::string &Key) const;

  DatabaseId Id;
  DatabaseRole Role = DatabaseRole::Replica;
  std::uint64_t Term = 1;
  std::string Promoter;
  std::vector<Entry> Log;
  Milliseconds Lag{0};
  TimePoint LastPrimaryContact;
  bool Leaving = false;
  /// Hosts and other databases cannot reach this one.
  bool Isolated = false;
  /// Exchanges in progress, as the status lists them.
  std::vector<std::string> Executing;
  /// Number of statements in the open transaction of each connection that has
  /// one.
  std::map<ConnectionId, std::size_t> OpenTransactions;
  std::size_t Executed = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_CORE_FAKEGROUP_H
