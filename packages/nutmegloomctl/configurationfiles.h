#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONFILES_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONFILES_H

#include "settings/settings.h"

#include <optional>

namespace nutmegloom {

/// Configuration files read from the paths of the command line.
struct ConfigurationFiles {
  std::optional<std::string> Base;
  /// Text of each overlay by its site.
  std::map<std::string, std::string> Overlays;
  /// Path of each file, by "base" or the site.
  std::map<std::string, std::string> Paths;
};

/// Reads the files. A folder holds base.jsonc and overlays/SITE.jsonc; a single
/// file is the base file if its name is base.jsonc, else an overlay. Fails if a
/// file can't be read, has another extension, is larger than 1 MB or is the
/// second one for its site, or if a folder holds no such file.
std::variant<ConfigurationFiles, SettingsErrors>
readConfigurationFiles(const std::vector<std::string> &Paths);

/// Replaces "base" and site names in the errors by the paths of their files.
SettingsErrors withPaths(SettingsErrors Errors,
                         const ConfigurationFiles &Files);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONFILES_H
