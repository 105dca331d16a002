#ifndef NUTMEGLOOM_PROTOCOL_RELAYCODEC_H
#define NUTMEGLOOM_PROTOCOL_RELAYCODEC_H

#include "sessions/relaymessages.h"

#include <string_view>

namespace nutmegloom {

/// Reason why a relay message could not be decoded.
struct RelayError {
  std::string Detail;
};

std::string encodeRelayMessage(const RelayMessage &Message);
std::variant<RelayMessage, RelayError>
decodeRelayMessage(std::string_view Bytes);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_RELAYCODEC_H
