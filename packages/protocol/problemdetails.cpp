#include "protocol/problemdetails.h"

#include "protocol/jsontext.h"

namespace nutmegloom {

static std::string_view titleOf(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::None:
    return "No error";
  case ErrorCode::BadRequest:
    return "The request is not valid";
  case ErrorCode::TooLarge:
    return "The body is too large";
  case ErrorCode::HeaderTooLarge:
    return "The header is too large";
  case ErrorCode::NotFound:
    return "The resource does not exist";
  case ErrorCode::DeadlineExceeded:
    return "The deadline has passed";
  case ErrorCode::Overloaded:
    return "The service is overloaded";
  case ErrorCode::NoPrimary:
    return "The group has no primary";
  case ErrorCode::ConnectionLost:
    return "The connection to the database or the owner was lost";
  case ErrorCode::WriteLost:
    return "A write of this session was lost in a failover";
  case ErrorCode::KeyReused:
    return "The idempotency key belongs to another request";
  case ErrorCode::KeyClosed:
    return "The idempotency key is closed";
  case ErrorCode::StatementFailed:
    return "The database refused the statement";
  case ErrorCode::TransactionLost:
    return "The transaction is no longer open";
  case ErrorCode::NotReady:
    return "The host is not ready";
  case ErrorCode::OutcomeUnknown:
    return "The outcome is unknown";
  case ErrorCode::Internal:
    return "Internal error";
  }
  return "Internal error";
}

HttpResponse makeProblemResponse(const Problem &Error) {
  HttpResponse Response;
  Response.Status = Error.Status ? Error.Status : httpStatusOf(Error.Code);
  Response.Headers.emplace_back("Content-Type", "application/problem+json");
  std::string &Body = Response.Body;
  Body += R"({"type":"about:blank","title":)";
  appendJsonString(Body, titleOf(Error.Code));
  Body += R"(,"status":)" + std::to_string(Response.Status);
  if (!Error.Detail.empty()) {
    Body += R"(,"detail":)";
    appendJsonString(Body, Error.Detail);
  }
  Body += R"(,"code":)";
  appendJsonString(Body, nameOf(Error.Code));
  Body += R"(,"outcome":)";
  appendJsonString(Body, nameOf(Error.Result));
  if (Error.RetryAfter.count() > 0) {
    // The header is in whole seconds, so it is rounded up; the member has the
    // exact time.
    Response.Headers.emplace_back(
        "Retry-After", std::to_string((Error.RetryAfter.count() + 999) / 1000));
    Body += R"(,"retry_after_ms":)" + std::to_string(Error.RetryAfter.count());
  }
  Body += '}';
  return Response;
}

} // namespace nutmegloom
