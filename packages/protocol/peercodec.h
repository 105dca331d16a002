#ifndef NUTMEGLOOM_PROTOCOL_PEERCODEC_H
#define NUTMEGLOOM_PROTOCOL_PEERCODEC_H

#include "core/messages.h"
#include "protocol/peer.capnp.h"

namespace nutmegloom {

/// Convert messages of the decision library to Cap'n Proto. A deadline is sent
/// as the remaining time, since hosts share no clock.
void writePeerMessage(const CallerRequest &Request, TimePoint Now,
                      wire::Request::Builder To);
void writePeerMessage(const CallerAnswer &Answer, wire::Answer::Builder To);
void writePeerMessage(const PeerHeartbeat &Heartbeat,
                      wire::Heartbeat::Builder To);

/// Convert Cap'n Proto messages to those of the decision library. Return
/// nullopt if the message has an unknown enumerator name. A heartbeat is also
/// rejected if its host name is empty or it has too many summaries.
std::optional<CallerRequest> readPeerMessage(wire::Request::Reader From,
                                             TimePoint Now);
std::optional<CallerAnswer> readPeerMessage(wire::Answer::Reader From);
std::optional<PeerHeartbeat> readPeerMessage(wire::Heartbeat::Reader From);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PEERCODEC_H
