#include "protocol/sessiontokencodec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>

namespace nutmegloom {

namespace {

// Layout of a token before base64url: format byte, key ID, session ID, flags,
// positions, MAC. A position is the group and two numbers, term and index. A
// text is a length byte and its bytes; a number is a little-endian base-128
// varint.
constexpr std::uint8_t FormatVersion = 1;
constexpr std::uint8_t PartialFlag = 1;
constexpr std::size_t MacBytes = 32;
constexpr std::size_t MaximumTextBytes = 255;
/// Maximum size of a token before base64url. 3000 bytes are 4000 characters,
/// which leave room for a caller's other headers within the smallest allowed
/// limits.header_bytes.
constexpr std::size_t MaximumDecodedBytes = 3000;
constexpr std::size_t MaximumEncodedBytes = MaximumDecodedBytes / 3 * 4;

std::string macOf(const std::string &Secret, std::string_view Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
       Mac.data(), &Length);
  return {reinterpret_cast<const char *>(Mac.data()), Length};
}

std::string encodeBase64Url(const std::string &Bytes) {
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Text.resize(static_cast<std::size_t>(Length));
  std::replace(Text.begin(), Text.end(), '+', '-');
  std::replace(Text.begin(), Text.end(), '/', '_');
  Text.erase(std::find(Text.begin(), Text.end(), '='), Text.end());
  return Text;
}

std::optional<std::string> decodeBase64Url(std::string_view Token) {
  std::string Text(Token);
  std::replace(Text.begin(), Text.end(), '-', '+');
  std::replace(Text.begin(), Text.end(), '_', '/');
  const std::size_t Padding = (4 - Text.size() % 4) % 4;
  Text.append(Padding, '=');
  std::string Bytes(Text.size() / 4 * 3, '\0');
  const int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Bytes.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length < 0 || static_cast<std::size_t>(Length) < Padding)
    return std::nullopt;
  Bytes.resize(static_cast<std::size_t>(Length) - Padding);
  // EVP_DecodeBlock skips white space and accepts stray bits at the end. Only
  // the canonical encoding of a token is accepted.
  if (encodeBase64Url(Bytes) != Token)
    return std::nullopt;
  return Bytes;
}

void appendText(std::string &Bytes, std::string_view Text) {
  const std::string_view Kept = Text.substr(0, MaximumTextBytes);
  Bytes += static_cast<char>(Kept.size());
  Bytes += Kept;
}

void appendNumber(std::string &Bytes, std::uint64_t Value) {
  while (Value >= 0x80) {
    Bytes += static_cast<char>(Value | 0x80);
    Value >>= 7;
  }
  Bytes += static_cast<char>(Value);
}

/// Reads the fields of a token in sequence. hasFailed() stays true after a
/// failed read.
class TokenReader {
public:
  explicit TokenReader(std::string_view Bytes) : Remaining_(Bytes) {}

  std::uint8_t byte() {
    if (Remaining_.empty()) {
      Failed_ = true;
      return 0;
    }
    const auto Value = static_cast<std::uint8_t>(Remaining_.front());
    Remaining_.remove_prefix(1);
    return Value;
  }

  std::string text() {
    const std::size_t Length = byte();
    if (Length > Remaining_.size()) {
      Failed_ = true;
      Remaining_ = {};
      return "";
    }
    std::string Text(Remaining_.substr(0, Length));
    Remaining_.remove_prefix(Length);
    return Text;
  }

  std::uint64_t number() {
    std::uint64_t Value = 0;
    for (unsigned Shift = 0; Shift < 64; Shift += 7) {
      const std::uint64_t Byte = byte();
      Value |= (Byte & 0x7f) << Shift;
      if (Byte < 0x80)
        return Value;
    }
    Failed_ = true;
    return 0;
  }

  bool isEmpty() const { return Remaining_.empty(); }
  bool hasFailed() const { return Failed_; }

private:
  std::string_view Remaining_;
  bool Failed_ = false;
};

} // namespace

std::string_view nameOf(TokenError Error) {
  switch (Error) {
  case TokenError::Malformed:
    return "malformed";
  case TokenError::UnknownKey:
    return "unknown_key";
  case TokenError::BadMac:
    return "bad_mac";
  case TokenError::TooLarge:
    return "too_large";
  }
  return "invalid";
}

SessionTokenCodec::SessionTokenCodec(std::vector<TokenKey> Keys)
    : Keys_(std::move(Keys)) {}

std::string SessionTokenCodec::encode(const SessionTokenState &State) const {
  if (Keys_.empty())
    return "";
  const TokenKey &Key = Keys_.front();
  bool Partial = State.Partial;
  std::string Positions;
  const std::size_t FixedBytes =
      1 + 1 + Key.Id.size() + 1 +
      std::min(State.SessionId.size(), MaximumTextBytes) + 1 + MacBytes;
  for (const auto &[Group, Seen] : State.Positions) {
    std::string Entry;
    appendText(Entry, Group);
    appendNumber(Entry, Seen.Term);
    appendNumber(Entry, Seen.Index);
    // A group without a position is read at the primary, which is correct for
    // any session.
    if (Group.size() > MaximumTextBytes ||
        FixedBytes + Positions.size() + Entry.size() > MaximumDecodedBytes) {
      Partial = true;
      continue;
    }
    Positions += Entry;
  }
  std::string Bytes(1, static_cast<char>(FormatVersion));
  appendText(Bytes, Key.Id);
  appendText(Bytes, State.SessionId);
  Bytes += static_cast<char>(Partial ? PartialFlag : 0);
  Bytes += Positions;
  Bytes += macOf(Key.Secret, Bytes);
  return encodeBase64Url(Bytes);
}

std::variant<SessionTokenState, TokenError>
SessionTokenCodec::decode(std::string_view Token) const {
  if (Token.size() > MaximumEncodedBytes)
    return TokenError::TooLarge;
  const auto Bytes = decodeBase64Url(Token);
  if (!Bytes || Bytes->size() <= MacBytes)
    return TokenError::Malformed;
  const std::string_view All = *Bytes;
  const std::string_view Signed = All.substr(0, All.size() - MacBytes);
  const std::string_view Mac = All.substr(Signed.size());

  TokenReader Input(Signed);
  if (Input.byte() != FormatVersion)
    return TokenError::Malformed;
  const std::string KeyId = Input.text();
  if (Input.hasFailed())
    return TokenError::Malformed;
  const auto Key =
      std::find_if(Keys_.begin(), Keys_.end(),
                   [&KeyId](const TokenKey &Each) { return Each.Id == KeyId; });
  if (Key == Keys_.end())
    return TokenError::UnknownKey;
  if (CRYPTO_memcmp(macOf(Key->Secret, Signed).data(), Mac.data(), MacBytes) !=
      0)
    return TokenError::BadMac;

  SessionTokenState State;
  State.SessionId = Input.text();
  State.Partial = Input.byte() == PartialFlag;
  while (!Input.hasFailed() && !Input.isEmpty()) {
    const std::string Group = Input.text();
    Position Seen;
    Seen.Term = Input.number();
    Seen.Index = Input.number();
    State.Positions[Group] = Seen;
  }
  if (Input.hasFailed())
    return TokenError::Malformed;
  return State;
}

std::optional<Position> requiredPosition(const SessionTokenState &State,
                                         const GroupId &Group) {
  const auto Found = State.Positions.find(Group);
  if (Found != State.Positions.end())
    return Found->second;
  if (State.Partial)
    return std::nullopt;
  return Position();
}

} // namespace nutmegloom
