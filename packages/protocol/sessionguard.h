#ifndef NUTMEGLOOM_PROTOCOL_SESSIONGUARD_H
#define NUTMEGLOOM_PROTOCOL_SESSIONGUARD_H

#include "protocol/sessiontokencodec.h"

#include <functional>

namespace nutmegloom {

/// What a request's session token said, kept until its answer.
struct SessionView {
  SessionTokenState State;
  /// The token as received; empty when it was missing or unreadable.
  std::string Token;
};

/// Applies session tokens to requests and answers. A missing or unreadable
/// token never refuses a request.
class SessionGuard {
public:
  SessionGuard(const SessionTokenCodec &Tokens,
               std::function<std::string()> NewIdentifier);

  /// Reads the token and sets the request's Required and Caller.
  SessionView open(std::string_view Token, CallerRequest &Request) const;

  /// The token for the response; empty: none.
  std::string close(SessionView View, const GroupId &Group,
                    const CallerAnswer &Answer) const;

private:
  std::string encode(SessionTokenState &State) const;

  const SessionTokenCodec &Tokens_;
  std::function<std::string()> NewIdentifier_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_SESSIONGUARD_H
