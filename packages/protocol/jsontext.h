#ifndef NUTMEGLOOM_PROTOCOL_JSONTEXT_H
#define NUTMEGLOOM_PROTOCOL_JSONTEXT_H

#include <string>
#include <string_view>

namespace nutmegloom {

/// Appends Text as a JSON string with its quotes. Bytes that aren't UTF-8 are
/// replaced.
void appendJsonString(std::string &Out, std::string_view Text);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_JSONTEXT_H
