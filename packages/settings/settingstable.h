#ifndef NUTMEGLOOM_SETTINGS_SETTINGSTABLE_H
#define NUTMEGLOOM_SETTINGS_SETTINGSTABLE_H

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace nutmegloom {

enum class SettingType {
  Integer,
  /// A name, see isName.
  Name,
  /// "IP:port".
  Address,
  /// Text that is kept out of messages.
  Secret,
  LogLevel,
};
std::string_view nameOf(SettingType Type);

/// One setting: its place, type and bounds.
struct SettingRule {
  /// Path in which "*" stands for any name and "[]" for any index.
  std::string_view Path;
  SettingType Type = SettingType::Integer;
  /// Unit of an integer; empty for a plain number.
  std::string_view Unit;
  /// Default as text; empty: the setting is required.
  std::string_view Default;
  /// Bounds of an integer, or of the length of a secret in bytes.
  std::int64_t Minimum = 0;
  std::int64_t Maximum = 0;
  /// An overlay may change it for its site.
  bool OverlayAllowed = false;
};

/// All settings of the base file and of overlays.
const std::vector<SettingRule> &configurationSettings();

/// All settings of a host's own file.
const std::vector<SettingRule> &hostFileSettings();

/// Names that a setting of type LogLevel may have.
const std::vector<std::string_view> &logLevels();

/// Default of an integer setting. The path must be in the table.
std::int64_t defaultIntegerOf(std::string_view Path);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_SETTINGSTABLE_H
