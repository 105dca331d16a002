#ifndef NUTMEGLOOM_SETTINGS_TEXTFORMATS_H
#define NUTMEGLOOM_SETTINGS_TEXTFORMATS_H

#include <optional>
#include <string>
#include <string_view>

namespace nutmegloom {

/// Returns true for 1 to 64 ASCII letters, digits, '.', '_' and '-' that start
/// with a letter or a digit. Names are used in URLs, headers and metric labels.
bool isName(std::string_view Text);

/// Returns "IP:port" in canonical form, or nothing if the text is not an IPv4
/// address with a port from 1 to 65535.
std::optional<std::string> canonicalAddress(std::string_view Text);

/// Returns the IP of an "IP:port".
std::string ipOf(std::string_view Address);

bool isUtf8(const std::string &Text);

/// Returns the text as a JSON string literal. A text of more than 80 bytes is
/// cut, and its length is added.
std::string quote(const std::string &Text);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_TEXTFORMATS_H
