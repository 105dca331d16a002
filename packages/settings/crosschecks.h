#ifndef NUTMEGLOOM_SETTINGS_CROSSCHECKS_H
#define NUTMEGLOOM_SETTINGS_CROSSCHECKS_H

#include "settings/jsontext.h"

namespace nutmegloom {

/// Checks services, sites and tokens of the base file for errors that involve
/// several values. The base must have passed the check of the schema.
void checkBase(const Json &Base, const std::string &File,
               SettingsErrors &Errors);

/// Checks relations between time settings, on the base or on the merged
/// settings of a site. The value must have passed the check of the schema.
void checkTiming(const Json &Merged, const std::string &File,
                 SettingsErrors &Errors);

/// Checks that the base has the site. The base may be invalid.
void checkSiteExists(const Json &Base, const std::string &Site,
                     SettingsErrors &Errors);

/// Checks that an overlay names only classes of the base. Both values may be
/// invalid.
void checkOverlayClasses(const Json &Base, const Json &Overlay,
                         const std::string &File, SettingsErrors &Errors);

/// Returns an integer setting, or its default if it is not set.
std::int64_t integerSetting(const Json &Settings, const std::string &Section,
                            const std::string &Name);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_CROSSCHECKS_H
