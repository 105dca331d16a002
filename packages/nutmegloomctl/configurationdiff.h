#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONDIFF_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONDIFF_H

#include "nutmegloomctl/configurationfiles.h"

namespace nutmegloom {

/// One setting that differs between a file and the head.
struct SettingChange {
  /// "base", or the site of an overlay.
  std::string File;
  /// Empty when only comments or the layout differ.
  std::string Path;
  /// Values as JSON text, empty if absent. Token secrets are replaced by
  /// "(hidden)".
  std::string Before;
  std::string After;
};

/// Compares the given files with those of the head; files that are not given
/// are skipped. Fails if a text is not valid JSON.
std::variant<std::vector<SettingChange>, SettingsErrors>
compareConfiguration(const ConfigurationHead &Head,
                     const ConfigurationFiles &Files);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONDIFF_H
