#ifndef NUTMEGLOOM_TELEMETRY_EVENTS_H
#define NUTMEGLOOM_TELEMETRY_EVENTS_H

#include <cstdint>
#include <initializer_list>
#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace nutmegloom {

enum class LogLevel { Trace, Debug, Info, Warning, Error };
std::string_view nameOf(LogLevel Level);

/// Events that a host logs. A number never changes its meaning. The catalogue
/// is docs/events.md.
enum class LogEvent {
  HostStarted = 1001,
  HostReady = 1002,
  HostNotReady = 1003,
  DrainStarted = 1004,
  DrainFinished = 1005,
  DrainTimedOut = 1006,
  ListenFailed = 1007,
  UnexpectedError = 1008,
  ConfigurationApplied = 1101,
  ConfigurationRefused = 1102,
  StoreUnreachable = 1103,
  StoreReached = 1104,
  HostListUnreachable = 1105,
  HostListReached = 1106,
  FailoverPhaseChanged = 1201,
  PrimaryChanged = 1202,
  TokenUnreadable = 1301,
  RequestFailed = 1302,
  PeerUnreachable = 1401,
  PeerReached = 1402,
  DatabaseUnreachable = 1501,
  DatabaseReached = 1502,
  DatabaseMalformed = 1503,
  StatementFailed = 1601,
  StatementRepeated = 1602,
  LeadershipChanged = 1603,
  PromotionStageChanged = 1604,
  DatabaseListChanged = 1605,
  ObjectRefused = 1606,
  StoreCallFailed = 1607,
  SettingsReloaded = 1608,
  LogLinesLeftOut = 1609,
  MembershipDecided = 1610,
  StatementPrepared = 1611,
  StoreRestored = 1612,
  KeyRefused = 1701,
  QuotaExceeded = 1702,
  AccountLeftOut = 1703,
};

struct LogEventEntry {
  LogEvent Event;
  LogLevel Level;
  std::string_view Name;
  std::string_view Message;
};

/// Returns all events, in ascending order of their numbers.
std::span<const LogEventEntry> logEvents();

enum class LogFormat { KeyValue, Json };

using LogValue = std::variant<std::string_view, std::int64_t, double, bool>;
/// Name and value of a field. Names are plain identifiers.
using LogField = std::pair<std::string_view, LogValue>;

/// Logs an event with its fields as one line, unless its level is below the
/// lowest one that is logged. A text is cut after 500 bytes. Lines go to
/// standard error unless setLogDescriptor() or setLogStream() has set another
/// output. A process never waits for the reader of a descriptor: lines that it
/// does not take are queued, then left out and counted.
void logEvent(LogEvent Event, std::initializer_list<LogField> Fields);

/// Sets the lowest level that is logged. Returns false if the name is unknown.
bool setLogLevel(std::string_view Name);
void setLogFormat(LogFormat Format);
/// Redirects the lines to a file descriptor.
void setLogDescriptor(int Descriptor);
/// Redirects the lines to a stream. The stream must outlive later log calls.
void setLogStream(std::ostream &Stream);

/// Writes one line unchanged and regardless of the level. Used for spans.
void logLine(const std::string &Line);

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_EVENTS_H
