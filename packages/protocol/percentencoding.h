#ifndef NUTMEGLOOM_PROTOCOL_PERCENTENCODING_H
#define NUTMEGLOOM_PROTOCOL_PERCENTENCODING_H

#include <string>
#include <string_view>

namespace nutmegloom {

/// Encodes any text as one segment of a URL's path, or as the value of one
/// parameter of its query.
std::string percentEncode(std::string_view Text);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PERCENTENCODING_H
