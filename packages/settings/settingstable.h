#ifndef NUTMEGLOOM_SETTINGS_SETTINGSTABLE_H
#define NUTMEGLOOM_SETTINGS_SETTINGSTABLE_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegloom {

enum class SettingType {
  Integer,
  /// A name as defined by isName().
  Name,
  /// "IP:port".
  Address,
  /// A string that must not appear in messages.
  Secret,
  LogLevel,
};
std::string_view nameOf(SettingType Type);

/// Definition of one setting.
struct SettingRule {
  /// Path of the setting; "*" matches any name and "[]" any index.
  std::string_view Path;
  SettingType Type = SettingType::Integer;
  /// Unit of an integer; empty if it has none.
  std::string_view Unit;
  /// Default as text; empty if the setting is required.
  std::string_view Default;
  /// Inclusive bounds of an integer, or of the length of a secret in bytes.
  std::int64_t Minimum = 0;
  std::int64_t Maximum = 0;
  /// An overlay may change the setting for its site.
  bool OverlayAllowed = false;
};

/// Settings of the base file and of overlays.
const std::vector<SettingRule> &configurationSettings();

/// Settings of a host's file.
const std::vector<SettingRule> &hostFileSettings();

/// Allowed values of a setting of type LogLevel.
const std::vector<std::string_view> &logLevels();

/// Returns the default of an integer setting of configurationSettings().
/// Returns 0 for an unknown path.
std::int64_t defaultIntegerOf(std::string_view Path);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_SETTINGSTABLE_H
