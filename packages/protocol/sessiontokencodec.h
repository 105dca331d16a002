#ifndef NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H
#define NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H

#include "core/messages.h"
#include "settings/settings.h"

#include <optional>
#include <variant>

namespace nutmegloom {

enum class TokenError { Malformed, UnknownKey, BadMac, TooLarge };
std::string_view nameOf(TokenError Error);

/// Turns a session's state into a signed token and back. The first key signs;
/// all keys verify, so that keys rotate without ending sessions.
class SessionTokenCodec {
public:
  explicit SessionTokenCodec(std::vector<TokenKey> Keys);

  /// Token as base64url text, safe in an HTTP header. Positions beyond the
  /// bound on the size are left out and the token is marked as partial. Empty
  /// if there is no key.
  std::string encode(const SessionTokenState &State) const;
  std::variant<SessionTokenState, TokenError>
  decode(std::string_view Token) const;

private:
  std::vector<TokenKey> Keys_;
};

/// Position that a read in the group must reach: zero if the session hasn't
/// used the group; nothing if it isn't known, so that the primary must serve.
std::optional<Position> requiredPosition(const SessionTokenState &State,
                                         const GroupId &Group);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H
