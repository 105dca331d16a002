#ifndef NUTMEGLOOM_PROTOCOL_PEERCODEC_H
#define NUTMEGLOOM_PROTOCOL_PEERCODEC_H

#include "core/messages.h"
#include "protocol/peer.capnp.h"

namespace nutmegloom {

/// Conversions between the decision library's messages and their form between
/// hosts. Hosts share no clock, so a deadline travels as the time left.
void writePeerMessage(const CallerRequest &Request, TimePoint Now,
                      wire::Request::Builder To);
void writePeerMessage(const CallerAnswer &Answer, wire::Answer::Builder To);
void writePeerMessage(const PeerHeartbeat &Heartbeat,
                      wire::Heartbeat::Builder To);

/// Nothing when a name of an enumeration is not known.
std::optional<CallerRequest> readPeerMessage(wire::Request::Reader From,
                                             TimePoint Now);
std::optional<CallerAnswer> readPeerMessage(wire::Answer::Reader From);
std::optional<PeerHeartbeat> readPeerMessage(wire::Heartbeat::Reader From);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PEERCODEC_H
