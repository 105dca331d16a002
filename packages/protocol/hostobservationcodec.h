#ifndef NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONCODEC_H
#define NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONCODEC_H

#include "sessions/hosttable.h"

#include <variant>

namespace nutmegloom {

/// Reason why a datagram could not be decoded.
struct ObservationError {
  std::string Detail;
};

/// Encodes an observation as one datagram, in packed Cap'n Proto.
std::string encodeObservation(const HostObservation &Message);
std::variant<HostObservation, ObservationError>
decodeObservation(std::string_view Bytes);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONCODEC_H
