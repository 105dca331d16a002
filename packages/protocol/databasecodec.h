#ifndef NUTMEGLOOM_PROTOCOL_DATABASECODEC_H
#define NUTMEGLOOM_PROTOCOL_DATABASECODEC_H

#include "core/messages.h"
#include "protocol/httpconnection.h"

#include <variant>

namespace nutmegloom {

/// Encodes an operation as an HTTP request to a database's service port.
HttpRequest encodeDatabaseRequest(const DatabaseRequest &Request);

/// Decodes the response to a request. The failure is Malformed if the response
/// can't be parsed, lacks a required field, belongs to another exchange or has
/// an unknown error code.
std::variant<DatabaseAnswer, DatabaseFailure>
decodeDatabaseAnswer(const DatabaseRequest &Request,
                     const HttpResponse &Response);

/// Encodes a command as an HTTP request to a database's control port.
HttpRequest encodeControlRequest(const ControlRequest &Request);

/// Encodes a status request to a database's control port. With a positive wait
/// the database holds its response until its received index passes After, its
/// term changes or the wait is over. With zero it responds at once.
HttpRequest encodeStatusRequest(std::uint64_t After, Milliseconds Wait);

/// Decodes a status. Returns nullopt if the body isn't valid.
std::optional<DatabaseStatus> decodeStatus(const std::string &Body);

/// Decodes the promised term from the response to a refused command. Returns
/// nullopt if the body isn't valid.
std::optional<std::uint64_t> decodeRefusedTerm(const std::string &Body);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_DATABASECODEC_H
