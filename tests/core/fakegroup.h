#ifndef NUTMEGLOOM_TESTS_CORE_FAKEGROUP_H
#define NUTMEGLOOM_TESTS_CORE_FAKEGROUP_H

#include "core/messages.h"

#include <map>
#include <variant>

namespace nutmegloom {

/// A small database with a promised term, a log, key records in the log and
/// transactions that end with their connection.
struct FakeDatabase {
  struct Entry {
    std::uint64_t Term = 0;
    std::string Key;
    bool Closed = false;
    std::uint64_t Fingerprint = 0;
    TimePoint At;
  };

  std::variant<DatabaseAnswer, DatabaseFailure>
  execute(ConnectionId Connection, const DatabaseRequest &Request,
          TimePoint Now);
  DatabaseStatus status(TimePoint Now) const;
  std::optional<std::uint64_t> handleControl(const ControlRequest &Request,
                                             TimePoint Now);
  /// Pulls from the primary what is at least Lag old.
  void pull(const FakeDatabase &Primary, TimePoint Now);
  void append(const std::string &Key, bool Closed, std::uint64_t Fingerprint,
              TimePoint Now);
  std::uint64_t logTerm() const { return Log.empty() ? 0 : Log.back().Term; }
  TermHistory terms() const;
  std::size_t countOf(const std::string &Key) const;

  DatabaseId Id;
  DatabaseRole Role = DatabaseRole::Replica;
  std::uint64_t Term = 1;
  std::string Promoter;
  std::vector<Entry> Log;
  Milliseconds Lag{0};
  TimePoint LastPrimaryContact;
  bool Leaving = false;
  /// Neither hosts nor other databases reach it.
  bool Isolated = false;
  std::vector<std::string> Executing;
  /// Connections with an open transaction.
  std::map<ConnectionId, std::size_t> OpenTransactions;
  std::size_t Executed = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_CORE_FAKEGROUP_H
