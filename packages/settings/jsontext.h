#ifndef NUTMEGLOOM_SETTINGS_JSONTEXT_H
#define NUTMEGLOOM_SETTINGS_JSONTEXT_H

#include "settings/settings.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace nutmegloom {

/// JSON value whose objects keep the order of the text.
using Json = nlohmann::ordered_json;

/// Parses JSON with // and /* */ comments. Adds an error for wrong syntax,
/// duplicate keys, invalid UTF-8 and deep nesting. Returns a value whenever the
/// syntax is right, so that its other errors can be found too.
std::optional<Json> parseJsonText(const std::string &Text,
                                  const std::string &File,
                                  SettingsErrors &Errors);

/// "a.b" for a key in an object; the key alone at the top.
std::string pathOfKey(const std::string &Parent, const std::string &Key);
/// "a[3]".
std::string pathOfIndex(const std::string &Parent, std::size_t Index);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_JSONTEXT_H
