#ifndef NUTMEGLOOM_SETTINGS_JSONTEXT_H
#define NUTMEGLOOM_SETTINGS_JSONTEXT_H

#include "settings/settings.h"

#include <nlohmann/json_fwd.hpp>

namespace nutmegloom {

/// JSON value whose objects keep the order of the text.
using Json = nlohmann::ordered_json;

/// Parses JSON with // and /* */ comments. Refuses duplicate keys, null,
/// invalid UTF-8 and deep nesting.
std::variant<Json, SettingsErrors> parseJsonText(const std::string &Text,
                                                 const std::string &File);

/// "a.b" for a key in an object; the key alone at the top.
std::string pathOfKey(const std::string &Parent, const std::string &Key);
/// "a[3]".
std::string pathOfIndex(const std::string &Parent, std::size_t Index);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_JSONTEXT_H
