#ifndef NUTMEGLOOM_CORE_TYPES_H
#define NUTMEGLOOM_CORE_TYPES_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegloom {

/// Point in time on the monotonic clock of this process. This library never
/// reads a clock: callers pass the current time as an argument.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// Converts a duration to milliseconds, including the fraction.
inline double toMilliseconds(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Name of a host, as in the platform's host list.
using HostName = std::string;
/// Identifier of a group of databases: "service/number", for example
/// "salas-db/0".
using GroupId = std::string;
/// Name of a database, unique in the deployment.
using DatabaseId = std::string;
using RegionName = std::string;
using ZoneName = std::string;
/// Identifies, within one process, a caller's request or a request that a peer
/// forwarded.
using TaskId = std::uint64_t;
/// Identifies an exchange: one request on a database connection and its answer.
/// Never reused.
using ExchangeId = std::uint64_t;
/// Identifies one database connection inside one process. Never reused.
using ConnectionId = std::uint64_t;

/// Position of an entry in a group's log: the term in which it was written and
/// its index.
struct Position {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  // clang-tidy 14 reports the code that the compiler generates for this line.
  auto operator<=>(const Position &) const = default; // NOLINT
};

/// Beginning of a term in a log. Start is the index of the last entry before
/// the term.
struct TermStart {
  std::uint64_t Term = 0;
  std::uint64_t Start = 0;
  bool operator==(const TermStart &) const = default;
};

/// All terms of a log, oldest first.
using TermHistory = std::vector<TermStart>;

enum class StatementKind { Read, Write };
enum class DatabaseRole { Unknown, Primary, Replica, Fenced };
enum class HostState { Unknown, Starting, Ready, Leaving };

/// Whether a request was executed, as reported to its caller.
enum class Outcome { Run, NotRun, Unknown };

/// Error codes that are reported to callers.
enum class ErrorCode {
  None,
  BadRequest,
  TooLarge,
  HeaderTooLarge,
  NotFound,
  DeadlineExceeded,
  Overloaded,
  NoPrimary,
  ConnectionLost,
  WriteLost,
  KeyReused,
  KeyClosed,
  StatementFailed,
  TransactionLost,
  NotReady,
  OutcomeUnknown,
  Internal,
};

/// Names used on the wire and in logs.
std::string_view nameOf(StatementKind Kind);
std::string_view nameOf(DatabaseRole Role);
std::string_view nameOf(HostState State);
std::string_view nameOf(Outcome Value);
std::string_view nameOf(ErrorCode Code);

/// Returns the HTTP status that corresponds to an error code.
int httpStatusOf(ErrorCode Code);

/// Returns the enumerator with the given name, or std::nullopt if the name is
/// unknown.
std::optional<StatementKind> statementKindOf(std::string_view Name);
std::optional<DatabaseRole> databaseRoleOf(std::string_view Name);
std::optional<HostState> hostStateOf(std::string_view Name);
std::optional<Outcome> outcomeOf(std::string_view Name);
std::optional<ErrorCode> errorCodeOf(std::string_view Name);

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TYPES_H
