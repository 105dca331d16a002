#ifndef NUTMEGLOOM_PROTOCOL_SESSIONTOKENHANDLER_H
#define NUTMEGLOOM_PROTOCOL_SESSIONTOKENHANDLER_H

#include "protocol/sessiontokencodec.h"

#include <functional>

namespace nutmegloom {

/// What a request's session token said, kept until its answer.
struct SessionContext {
  SessionState State;
  /// The token as received; empty when it was missing or unreadable.
  std::string Token;
};

/// Applies session tokens to requests and answers. A missing or unreadable
/// token never refuses a request.
class SessionTokenHandler {
public:
  SessionTokenHandler(const SessionTokenCodec &Tokens,
                      std::function<std::string()> NewIdentifier);

  /// Reads the token and sets the request's Required and Caller.
  SessionContext applyToken(std::string_view Token,
                            CallerRequest &Request) const;

  /// The token for the response; empty: none.
  std::string responseToken(SessionContext Session, const GroupId &Group,
                            const CallerAnswer &Answer) const;

private:
  std::string encode(SessionState &State) const;

  const SessionTokenCodec &Tokens_;
  std::function<std::string()> NewIdentifier_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_SESSIONTOKENHANDLER_H
