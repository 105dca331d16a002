#ifndef NUTMEGLOOM_SETTINGS_JSONTEXT_H
#define NUTMEGLOOM_SETTINGS_JSONTEXT_H

#include "settings/settings.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace nutmegloom {

/// JSON value whose objects keep the order of their keys.
using Json = nlohmann::ordered_json;

/// Parses JSON with // and /* */ comments. Adds an error for invalid UTF-8,
/// wrong syntax, duplicate keys and too deep nesting. The latter two still
/// yield a value, so that its other errors can be reported too.
std::optional<Json> parseJsonText(const std::string &Text,
                                  const std::string &File,
                                  SettingsErrors &Errors);

/// Returns the path of a key in an object, such as "a.b"; the key itself if
/// Parent is empty.
std::string pathOfKey(const std::string &Parent, const std::string &Key);
/// Returns the path of an array element, such as "a[3]".
std::string pathOfIndex(const std::string &Parent, std::size_t Index);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_JSONTEXT_H
