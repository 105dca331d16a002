#ifndef NUTMEGLOOM_SETTINGS_MERGE_H
#define NUTMEGLOOM_SETTINGS_MERGE_H

#include "settings/jsontext.h"

namespace nutmegloom {

/// Merges an overlay over a base: objects by key, everything else replaces.
void mergeInto(Json &Base, const Json &Overlay);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_MERGE_H
