#ifndef NUTMEGLOOM_TESTS_SETTINGS_SAMPLESETTINGS_H
#define NUTMEGLOOM_TESTS_SETTINGS_SAMPLESETTINGS_H

#include "settings/settings.h"

namespace nutmegloom {

/// A valid base file with two sites and one group.
std::string sampleBase();

/// The sample with one text in the place of another, which must occur once.
std::string sampleBaseWith(const std::string &Old, const std::string &New);

/// A head of version 1 with the base and no overlay.
ConfigurationHead sampleHead(const std::string &Base = sampleBase());

/// True when an error has this file, path and part of its message.
bool hasError(const SettingsErrors &Errors, const std::string &File,
              const std::string &Path, const std::string &Part);

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_SETTINGS_SAMPLESETTINGS_H
