#ifndef NUTMEGLOOM_TESTS_SETTINGS_SAMPLESETTINGS_H
#define NUTMEGLOOM_TESTS_SETTINGS_SAMPLESETTINGS_H

#include "settings/settings.h"

namespace nutmegloom {

/// Returns a valid base file with two sites and one group.
std::string sampleBase();

/// Returns the sample with Old replaced by New. Old must occur exactly once.
std::string sampleBaseWith(const std::string &Old, const std::string &New);

/// Returns version 1 of the stored configuration, with the base and without
/// overlays.
ConfigurationHead sampleHead(const std::string &Base = sampleBase());

/// Returns true if an error has this file and path, and a message that contains
/// Part.
bool hasError(const SettingsErrors &Errors, const std::string &File,
              const std::string &Path, const std::string &Part);

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_SETTINGS_SAMPLESETTINGS_H
