#ifndef NUTMEGLOOM_PROTOCOL_SESSIONTOKENHANDLER_H
#define NUTMEGLOOM_PROTOCOL_SESSIONTOKENHANDLER_H

#include "protocol/sessiontokencodec.h"

#include <functional>

namespace nutmegloom {

/// State from the session token of a request, kept until its response.
struct SessionContext {
  SessionTokenState State;
  /// The token as received. Empty if it was missing or invalid.
  std::string Token;
};

/// Applies the session tokens of requests and issues those of responses. A
/// request is never rejected because its token is missing or invalid.
class SessionTokenHandler {
public:
  SessionTokenHandler(const SessionTokenCodec &Tokens,
                      std::function<std::string()> NewIdentifier);

  /// Decodes the token and sets the request's Required and Caller. Clears
  /// Required if the request has no token or the session's position in the
  /// group is unknown. If there is a token but no known position, also clears
  /// MaximumAge, so that the primary serves a read.
  SessionContext applyToken(std::string_view Token,
                            CallerRequest &Request) const;

  /// Returns the token for the response. Empty: the response has none.
  std::string responseToken(SessionContext Session, const GroupId &Group,
                            const CallerAnswer &Answer) const;

private:
  std::string encode(SessionTokenState &State) const;

  const SessionTokenCodec &Tokens_;
  std::function<std::string()> NewIdentifier_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_SESSIONTOKENHANDLER_H
