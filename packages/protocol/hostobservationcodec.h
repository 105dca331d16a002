#ifndef NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONCODEC_H
#define NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONCODEC_H

#include "sessions/hosttable.h"

#include <variant>

namespace nutmegloom {

/// Why a datagram is not a host's observation.
struct ObservationError {
  std::string Detail;
};

/// Bytes of one datagram.
std::string encodeObservation(const HostObservation &Message);
std::variant<HostObservation, ObservationError>
decodeObservation(std::string_view Bytes);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_HOSTOBSERVATIONCODEC_H
