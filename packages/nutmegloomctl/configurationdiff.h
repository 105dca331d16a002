#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONDIFF_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONDIFF_H

#include "nutmegloomctl/configurationfiles.h"

namespace nutmegloom {

/// One value that differs between a file and the head.
struct SettingChange {
  /// "base" or the site.
  std::string File;
  /// Empty when only comments or the layout differ.
  std::string Path;
  /// JSON text; empty: the value is absent. Secrets are not shown.
  std::string Before;
  std::string After;
};

/// Compares the files that are present with those of the head.
std::variant<std::vector<SettingChange>, SettingsErrors>
compareConfiguration(const ConfigurationHead &Head,
                     const ConfigurationFiles &Files);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_CONFIGURATIONDIFF_H
