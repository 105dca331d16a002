#include "telemetry/events.h"

#include "telemetry/logoutput.h"

#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>

namespace nutmegloom {

namespace {

/// Writes formatted lines to a file descriptor without blocking on it.
class DescriptorSink : public spdlog::sinks::base_sink<std::mutex> {
public:
  explicit DescriptorSink(int Descriptor) : Output_(Descriptor) {}

  /// Returns the number of dropped lines if they can be reported now, or zero.
  std::uint64_t takeReportableDrops() {
    std::lock_guard<std::mutex> Lock(mutex_);
    return Output_.hasReportableDrops() ? Output_.takeDropped() : 0;
  }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    Output_.write({Line.data(), Line.size()});
  }
  void flush_() override { Output_.flush(); }

private:
  LogOutput Output_;
};

constexpr std::array<LogEventEntry, 38> Events{{
    {LogEvent::HostStarted, LogLevel::Info, "host_started",
     "the host has started"},
    {LogEvent::HostReady, LogLevel::Info, "host_ready",
     "the host is ready for callers"},
    {LogEvent::HostNotReady, LogLevel::Warning, "host_not_ready",
     "the host is not ready for callers"},
    {LogEvent::DrainStarted, LogLevel::Info, "drain_started",
     "a graceful stop has begun"},
    {LogEvent::DrainFinished, LogLevel::Info, "drain_finished",
     "all work is finished, the host stops"},
    {LogEvent::DrainTimedOut, LogLevel::Warning, "drain_timed_out",
     "the graceful stop has reached its time limit with work in progress"},
    {LogEvent::ListenFailed, LogLevel::Error, "listen_failed",
     "a port cannot be opened"},
    {LogEvent::UnexpectedError, LogLevel::Error, "unexpected_error",
     "an unexpected error has ended the handling of one event"},
    {LogEvent::ConfigurationApplied, LogLevel::Info, "configuration_applied",
     "a configuration version is in force"},
    {LogEvent::ConfigurationRefused, LogLevel::Error, "configuration_refused",
     "a configuration version is not valid and was refused"},
    {LogEvent::StoreUnreachable, LogLevel::Warning, "store_unreachable",
     "the platform's store does not answer"},
    {LogEvent::StoreReached, LogLevel::Info, "store_reached",
     "the platform's store answers again"},
    {LogEvent::HostListUnreachable, LogLevel::Warning, "host_list_unreachable",
     "the platform's host list cannot be read"},
    {LogEvent::HostListReached, LogLevel::Info, "host_list_reached",
     "the platform's host list can be read again"},
    {LogEvent::FailoverPhaseChanged, LogLevel::Warning,
     "failover_phase_changed", "a promotion has entered another phase"},
    {LogEvent::PrimaryChanged, LogLevel::Info, "primary_changed",
     "a group has another primary or term"},
    {LogEvent::TokenUnreadable, LogLevel::Debug, "token_unreadable",
     "a session token cannot be read and is ignored"},
    {LogEvent::RequestFailed, LogLevel::Debug, "request_failed",
     "a request was answered with an error"},
    {LogEvent::PeerUnreachable, LogLevel::Warning, "peer_unreachable",
     "a host does not answer heartbeats"},
    {LogEvent::PeerReached, LogLevel::Info, "peer_reached",
     "a host answers heartbeats again"},
    {LogEvent::DatabaseUnreachable, LogLevel::Warning, "database_unreachable",
     "the control port of a database does not answer"},
    {LogEvent::DatabaseReached, LogLevel::Info, "database_reached",
     "the control port of a database answers again"},
    {LogEvent::DatabaseMalformed, LogLevel::Error, "database_malformed",
     "a response of a database cannot be read"},
    {LogEvent::StatementFailed, LogLevel::Info, "statement_failed",
     "a statement was answered with an error"},
    {LogEvent::StatementRepeated, LogLevel::Info, "statement_repeated",
     "a statement was answered after more than one try"},
    {LogEvent::LeadershipChanged, LogLevel::Info, "leadership_changed",
     "a group has another leader or phase"},
    {LogEvent::PromotionStageChanged, LogLevel::Info, "promotion_stage_changed",
     "this host's promotion is at another stage"},
    {LogEvent::DatabaseListChanged, LogLevel::Info, "database_list_changed",
     "the platform lists other databases"},
    {LogEvent::ObjectRefused, LogLevel::Warning, "object_refused",
     "an object of the store cannot be read and is set aside"},
    {LogEvent::StoreCallFailed, LogLevel::Warning, "store_call_failed",
     "a call to the platform's store has failed"},
    {LogEvent::SettingsReloaded, LogLevel::Info, "settings_reloaded",
     "the settings were read again"},
    {LogEvent::LogLinesLeftOut, LogLevel::Warning, "log_lines_left_out",
     "lines were left out to bound the volume"},
    {LogEvent::MembershipDecided, LogLevel::Info, "membership_decided",
     "this host holds connections to databases, or relays statements"},
    {LogEvent::StatementPrepared, LogLevel::Info, "statement_prepared",
     "a statement was prepared on a database connection"},
    {LogEvent::StoreRestored, LogLevel::Warning, "store_restored",
     "the platform's store came back from a copy and may have lost changes"},
    {LogEvent::KeyRefused, LogLevel::Info, "key_refused",
     "a session or a statement was refused because of its API key"},
    {LogEvent::QuotaExceeded, LogLevel::Info, "quota_exceeded",
     "an operation was refused because of its account's rate limit"},
    {LogEvent::AccountLeftOut, LogLevel::Warning, "account_left_out",
     "a client account of the configuration is not valid and was left out"},
}};

/// Limit for a text in a line. Ids and names are chosen by callers.
constexpr std::size_t MaximumValueBytes = 500;

constexpr std::array<std::string_view, 5> LevelNames{"trace", "debug", "info",
                                                     "warning", "error"};

struct LogState {
  std::shared_ptr<spdlog::logger> Logger;
  /// Set if the lines go to a descriptor.
  std::shared_ptr<DescriptorSink> Descriptor;
  LogFormat Format = LogFormat::KeyValue;
  LogLevel Level = LogLevel::Info;
};

void setSink(LogState &State, const spdlog::sink_ptr &Sink) {
  State.Descriptor = std::dynamic_pointer_cast<DescriptorSink>(Sink);
  State.Logger = std::make_shared<spdlog::logger>("nutmegloom", Sink);
  State.Logger->set_level(spdlog::level::trace);
  State.Logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      "%v", spdlog::pattern_time_type::utc));
  if (!State.Descriptor)
    State.Logger->flush_on(spdlog::level::trace);
}

LogState &logState() {
  static LogState State = [] {
    LogState Initial;
    setSink(Initial, std::make_shared<DescriptorSink>(STDERR_FILENO));
    return Initial;
  }();
  return State;
}

std::string quoted(std::string_view Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::string currentTime() {
  auto Now = std::chrono::system_clock::now();
  auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                    Now.time_since_epoch())
                    .count() %
                1000;
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Now);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  return fmt::format("{}.{:03}Z", Text.data(), Millis);
}

bool needsQuotes(std::string_view Text) {
  return Text.empty() || !std::all_of(Text.begin(), Text.end(), [](char C) {
           return C > ' ' && C <= '~' && C != '"' && C != '=' && C != '\\';
         });
}

std::string formatValue(const LogValue &Value, LogFormat Format) {
  if (const auto *Whole = std::get_if<std::string_view>(&Value)) {
    std::string_view Text = Whole->substr(0, MaximumValueBytes);
    if (Format == LogFormat::Json || needsQuotes(Text))
      return quoted(Text);
    return std::string(Text);
  }
  if (const auto *Number = std::get_if<std::int64_t>(&Value))
    return std::to_string(*Number);
  if (const auto *Fraction = std::get_if<double>(&Value))
    return fmt::format("{:.6g}", *Fraction);
  return std::get<bool>(Value) ? "true" : "false";
}

void appendField(std::string &Line, std::string_view Name,
                 const LogValue &Value, LogFormat Format) {
  if (Format == LogFormat::Json) {
    Line += Line.empty() ? "{" : ",";
    Line += quoted(Name) + ":";
  } else {
    if (!Line.empty())
      Line += ' ';
    Line += Name;
    Line += '=';
  }
  Line += formatValue(Value, Format);
}

const LogEventEntry &entryOf(LogEvent Event) {
  const auto *Found =
      std::find_if(Events.begin(), Events.end(),
                   [&](const LogEventEntry &E) { return E.Event == Event; });
  return *Found;
}

} // namespace

std::string_view nameOf(LogLevel Level) {
  return LevelNames[static_cast<std::size_t>(Level)];
}

std::span<const LogEventEntry> logEvents() { return Events; }

void logEvent(LogEvent Event, std::initializer_list<LogField> Fields) {
  const LogEventEntry &Entry = entryOf(Event);
  LogState &State = logState();
  if (Entry.Level < State.Level)
    return;
  std::string Line;
  appendField(Line, "time", std::string_view(currentTime()), State.Format);
  appendField(Line, "level", nameOf(Entry.Level), State.Format);
  appendField(Line, "event", static_cast<std::int64_t>(Entry.Event),
              State.Format);
  appendField(Line, "name", Entry.Name, State.Format);
  appendField(Line, "message", Entry.Message, State.Format);
  for (const auto &[Name, Value] : Fields)
    appendField(Line, Name, Value, State.Format);
  if (State.Format == LogFormat::Json)
    Line += '}';
  logLine(Line);
}

bool setLogLevel(std::string_view Name) {
  const auto *Found = std::find(LevelNames.begin(), LevelNames.end(), Name);
  if (Found == LevelNames.end())
    return false;
  logState().Level = static_cast<LogLevel>(Found - LevelNames.begin());
  return true;
}

void setLogFormat(LogFormat Format) { logState().Format = Format; }

void setLogDescriptor(int Descriptor) {
  setSink(logState(), std::make_shared<DescriptorSink>(Descriptor));
}

void setLogStream(std::ostream &Stream) {
  setSink(logState(), std::make_shared<spdlog::sinks::ostream_sink_mt>(Stream));
}

void logLine(const std::string &Line) {
  LogState &State = logState();
  State.Logger->log(spdlog::level::info, spdlog::string_view_t(Line));
  std::uint64_t Dropped =
      State.Descriptor ? State.Descriptor->takeReportableDrops() : 0;
  if (Dropped > 0)
    logEvent(LogEvent::LogLinesLeftOut,
             {{"lines", static_cast<std::int64_t>(Dropped)},
              {"reason", "the reader of the log is too slow"}});
}

} // namespace nutmegloom
