#include "settings/settingstable.h"

#include <algorithm>
#include <charconv>

namespace nutmegloom {

std::string_view nameOf(SettingType Type) {
  switch (Type) {
  case SettingType::Integer:
    return "integer";
  case SettingType::Name:
    return "name";
  case SettingType::Address:
    return "address";
  case SettingType::Secret:
    return "secret";
  case SettingType::LogLevel:
    return "log level";
  }
  return "invalid";
}

const std::vector<SettingRule> &configurationSettings() {
  using Type = SettingType;
  // An overlay can't change values on which all sites must agree. A promoter
  // waits for its own term validity, so a longer validity at another site would
  // allow a write of the replaced primary to be acknowledged. Hosts would
  // suspect a host with a longer heartbeat interval.
  //
  // A failover must end within 12 s. The maxima of primary_silence_ms and
  // term_validity_ms add up to 10 s, which leaves 2 s for fencing and
  // promotion.
  //
  // The minimum of header_bytes has room for the longest session token.
  static const std::vector<SettingRule> Rules{
      {"version_format", Type::Integer, "", "", 1, 1, false},
      {"sites.*.region", Type::Name, "", "", 0, 0, false},
      {"services.*.database_slots", Type::Integer, "statements", "", 1, 1024,
       false},
      {"services.*.database_connections", Type::Integer, "connections", "", 4,
       65536, false},
      {"services.*.groups[].databases[].id", Type::Name, "", "", 0, 0, false},
      {"services.*.groups[].databases[].zone", Type::Name, "", "", 0, 0, false},
      {"services.*.groups[].databases[].service_address", Type::Address, "", "",
       0, 0, false},
      {"services.*.groups[].databases[].control_address", Type::Address, "", "",
       0, 0, false},
      {"classes.*.weight", Type::Integer, "", "1", 1, 100, true},
      {"limits.header_bytes", Type::Integer, "bytes", "16384", 8192, 65536,
       true},
      {"limits.body_bytes", Type::Integer, "bytes", "1048576", 1024, 16777216,
       true},
      {"limits.connections", Type::Integer, "connections", "4096", 16, 65536,
       true},
      {"limits.waiting_requests", Type::Integer, "requests", "1024", 1, 65536,
       true},
      {"timing.statement_timeout_ms", Type::Integer, "ms", "5000", 10, 30000,
       true},
      {"timing.statement_timeout_maximum_ms", Type::Integer, "ms", "30000", 10,
       30000, true},
      {"timing.status_interval_ms", Type::Integer, "ms", "150", 10, 2000, true},
      {"timing.term_validity_ms", Type::Integer, "ms", "400", 20, 4000, false},
      {"timing.primary_silence_ms", Type::Integer, "ms", "1000", 50, 6000,
       true},
      {"timing.heartbeat_ms", Type::Integer, "ms", "500", 50, 5000, false},
      {"timing.suspect_ms", Type::Integer, "ms", "1500", 100, 10000, true},
      {"timing.connection_silence_ms", Type::Integer, "ms", "2000", 100, 30000,
       true},
      {"timing.drain_timeout_ms", Type::Integer, "ms", "30000", 10, 600000,
       true},
      {"timing.request_read_timeout_ms", Type::Integer, "ms", "10000", 100,
       120000, true},
      {"timing.region_latency_ms", Type::Integer, "ms", "8", 0, 1000, false},
      {"tokens[].id", Type::Name, "", "", 0, 0, false},
      {"tokens[].secret", Type::Secret, "", "", 16, 256, false},
      {"hosts.log_level", Type::LogLevel, "", "info", 0, 0, true},
      {"hosts.caller_port", Type::Integer, "", "8080", 1, 65535, false},
  };
  return Rules;
}

const std::vector<SettingRule> &hostFileSettings() {
  using Type = SettingType;
  static const std::vector<SettingRule> Rules{
      {"name", Type::Name, "", "", 0, 0, false},
      {"zone", Type::Name, "", "", 0, 0, false},
      {"region", Type::Name, "", "", 0, 0, false},
      {"caller_address", Type::Address, "", "", 0, 0, false},
      {"peer_address", Type::Address, "", "", 0, 0, false},
      {"platform_address", Type::Address, "", "", 0, 0, false},
      {"seeds[]", Type::Address, "", "none", 0, 0, false},
  };
  return Rules;
}

const std::vector<std::string_view> &logLevels() {
  static const std::vector<std::string_view> Levels{"trace", "debug", "info",
                                                    "warning", "error"};
  return Levels;
}

std::int64_t defaultIntegerOf(std::string_view Path) {
  const auto &Rules = configurationSettings();
  const auto Rule =
      std::find_if(Rules.begin(), Rules.end(),
                   [Path](const SettingRule &R) { return R.Path == Path; });
  std::int64_t Value = 0;
  if (Rule != Rules.end())
    std::from_chars(Rule->Default.data(),
                    Rule->Default.data() + Rule->Default.size(), Value);
  return Value;
}

} // namespace nutmegloom
