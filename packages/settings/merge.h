#ifndef NUTMEGLOOM_SETTINGS_MERGE_H
#define NUTMEGLOOM_SETTINGS_MERGE_H

#include "settings/jsontext.h"

namespace nutmegloom {

/// Merges an overlay into a base. Objects are merged by key; any other value of
/// the overlay replaces that of the base.
void mergeInto(Json &Base, const Json &Overlay);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_MERGE_H
