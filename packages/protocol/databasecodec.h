#ifndef NUTMEGLOOM_PROTOCOL_DATABASECODEC_H
#define NUTMEGLOOM_PROTOCOL_DATABASECODEC_H

#include "core/messages.h"
#include "protocol/httpconnection.h"

#include <variant>

namespace nutmegloom {

/// The HTTP request for an operation on a database's service port.
HttpRequest encodeDatabaseRequest(const DatabaseRequest &Request);

/// Reads the response to a request. A response that can't be read, that
/// belongs to another exchange or that has an unknown error code is Malformed.
std::variant<DatabaseAnswer, DatabaseFailure>
decodeDatabaseAnswer(const DatabaseRequest &Request,
                     const HttpResponse &Response);

/// The HTTP request for a command on a database's control port.
HttpRequest encodeControlRequest(const ControlRequest &Request);

/// The HTTP request for a status; a wait of zero asks for it at once.
HttpRequest encodeStatusRequest(std::uint64_t After, Milliseconds Wait);

/// Reads a status; nothing if it isn't valid.
std::optional<DatabaseStatus> decodeStatus(const std::string &Body);

/// Reads the promised term of a refused command; nothing if it isn't valid.
std::optional<std::uint64_t> decodeRefusedTerm(const std::string &Body);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_DATABASECODEC_H
