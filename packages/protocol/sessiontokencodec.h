#ifndef NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H
#define NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H

#include "core/messages.h"
#include "settings/settings.h"

#include <optional>
#include <variant>

namespace nutmegloom {

enum class TokenError { Malformed, UnknownKey, BadMac, TooLarge };
std::string_view nameOf(TokenError Error);

/// Encodes a session's state as a signed token and decodes it. The first key
/// signs and all keys verify, so that keys can be rotated without invalidating
/// sessions.
class SessionTokenCodec {
public:
  explicit SessionTokenCodec(std::vector<TokenKey> Keys);

  /// Returns the token as base64url text, which is safe in an HTTP header.
  /// Positions that would exceed the size limit are omitted and the token is
  /// marked as partial. Returns an empty string if there is no key.
  std::string encode(const SessionTokenState &State) const;
  std::variant<SessionTokenState, TokenError>
  decode(std::string_view Token) const;

private:
  std::vector<TokenKey> Keys_;
};

/// Returns the position that a read in the group must have reached: zero if the
/// session hasn't used the group, nullopt if the token is partial and has no
/// position of the group. With nullopt the primary must serve the read.
std::optional<Position> requiredPosition(const SessionTokenState &State,
                                         const GroupId &Group);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_SESSIONTOKENCODEC_H
