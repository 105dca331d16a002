#ifndef NUTMEGLOOM_SETTINGS_TEXTFORMATS_H
#define NUTMEGLOOM_SETTINGS_TEXTFORMATS_H

#include <optional>
#include <string>
#include <string_view>

namespace nutmegloom {

/// True for 1 to 64 letters, digits, '.', '_' and '-' that start with a letter
/// or a digit. Names are used in URLs, headers and metric labels.
bool isName(std::string_view Text);

/// "IP:port" in its canonical form, or nothing if the text isn't an IPv4
/// address with a port from 1 to 65535.
std::optional<std::string> canonicalAddress(std::string_view Text);

/// IP part of an "IP:port".
std::string ipOf(std::string_view Address);

/// True when the text is valid UTF-8.
bool isUtf8(const std::string &Text);

/// The text in quotes with control characters escaped, cut when it is long.
std::string quote(const std::string &Text);

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_TEXTFORMATS_H
