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

/// A point on the monotonic clock of this process. The decision library never
/// reads a clock: the present time is an argument.
using TimePoint = std::chrono::steady_clock::time_point;
/// A span of time.
using Duration = std::chrono::steady_clock::duration;
using Milliseconds = std::chrono::milliseconds;

/// A span of time as a number of milliseconds, with fractions.
inline double toMilliseconds(Duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Name of a host, as in the platform's host list.
using HostName = std::string;
/// "service/number", for example "salas-db/0".
using GroupId = std::string;
/// Name of a database, unique in the deployment.
using DatabaseId = std::string;
using RegionName = std::string;
using ZoneName = std::string;
/// Identifies a request or a forwarded task inside one process.
using TaskId = std::uint64_t;
/// Identifies one request sent on a database connection. Never reused.
using ExchangeId = std::uint64_t;
/// Identifies one database connection inside one process. Never reused.
using ConnectionId = std::uint64_t;

/// A position in a group's log: the term that wrote the entry and its index.
struct Position {
  std::uint64_t Term = 0;
  std::uint64_t Index = 0;
  // clang-tidy 14 checks the code that the compiler makes for this line.
  auto operator<=>(const Position &) const = default; // NOLINT
};

/// Start of a term in a log: Start is the index of the last entry before it.
struct TermStart {
  std::uint64_t Term = 0;
  std::uint64_t Start = 0;
  bool operator==(const TermStart &) const = default;
};

/// Terms of a log, oldest first.
using TermHistory = std::vector<TermStart>;

enum class StatementKind { Read, Write };
enum class DatabaseRole { Unknown, Primary, Replica, Fenced };
enum class HostState { Unknown, Starting, Ready, Leaving };

/// What a caller is told about whether its request was executed.
enum class Outcome { Run, NotRun, Unknown };

/// Stable codes of the errors that callers see.
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

/// Names as used on the wire and in logs.
std::string_view nameOf(StatementKind Kind);
std::string_view nameOf(DatabaseRole Role);
std::string_view nameOf(HostState State);
std::string_view nameOf(Outcome Value);
std::string_view nameOf(ErrorCode Code);

/// HTTP status of an error code.
int httpStatusOf(ErrorCode Code);

/// The value with the given name, or nothing.
std::optional<StatementKind> statementKindOf(std::string_view Name);
std::optional<DatabaseRole> databaseRoleOf(std::string_view Name);
std::optional<HostState> hostStateOf(std::string_view Name);
std::optional<Outcome> outcomeOf(std::string_view Name);
std::optional<ErrorCode> errorCodeOf(std::string_view Name);

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TYPES_H
