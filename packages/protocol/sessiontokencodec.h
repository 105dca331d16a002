#ifndef NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H
#define NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H

#include "core/messages.h"
#include "settings/settings.h"

#include <variant>

namespace nutmegloom {

enum class TokenError { Malformed, UnknownKey, BadMac, TooLarge };
std::string_view nameOf(TokenError Error);

/// Turns a session's state into a signed token and back. The first key signs;
/// all keys verify, so that keys rotate without ending sessions.
class SessionTokenCodec {
public:
  explicit SessionTokenCodec(std::vector<TokenKey> Keys);

  /// Token as base64url text, safe in an HTTP header.
  std::string encode(const SessionState &State) const;
  std::variant<SessionState, TokenError> decode(std::string_view Token) const;

private:
  std::vector<TokenKey> Keys_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H
