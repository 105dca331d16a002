#ifndef NUTMEGLOOM_SETTINGS_CROSSCHECKS_H
#define NUTMEGLOOM_SETTINGS_CROSSCHECKS_H

#include "settings/jsontext.h"

namespace nutmegloom {

/// Checks of services, sites and tokens that involve several values. The value
/// must have passed the schema's check.
void checkBase(const Json &Base, const std::string &File,
               SettingsErrors &Errors);

/// Checks of times and limits that involve several values, on a site's merged
/// settings that have passed the schema's check.
void checkTiming(const Json &Merged, const std::string &File,
                 SettingsErrors &Errors);

/// Checks that the base has the site. Neither value need be checked before.
void checkSiteExists(const Json &Base, const std::string &Site,
                     SettingsErrors &Errors);

/// Checks that an overlay names only classes of the base. Neither value need be
/// checked before.
void checkOverlayClasses(const Json &Base, const Json &Overlay,
                         const std::string &File, SettingsErrors &Errors);

/// Integer setting, or its default. Path is "section.name".
std::int64_t integerSetting(const Json &Settings, const std::string &Section,
                            const std::string &Name);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_CROSSCHECKS_H
