#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONFILES_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONFILES_H

#include "settings/settings.h"

#include <optional>

namespace nutmegloom {

/// Files of a configuration that an operator names on the command line.
struct ConfigurationFiles {
  std::optional<std::string> Base;
  /// Text of each overlay by its site.
  std::map<std::string, std::string> Overlays;
  /// Path of each file, by "base" or the site.
  std::map<std::string, std::string> Paths;
};

/// Reads a folder with base.jsonc and overlays/SITE.jsonc, or single files: a
/// file named base.jsonc is the base, any other file SITE.jsonc an overlay.
std::variant<ConfigurationFiles, SettingsErrors>
readConfigurationFiles(const std::vector<std::string> &Paths);

/// Puts the files' paths in the place of "base" and of sites.
SettingsErrors withPaths(SettingsErrors Errors,
                         const ConfigurationFiles &Files);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONFILES_H
