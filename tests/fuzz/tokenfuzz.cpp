#include "protocol/sessiontokencodec.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cstdlib>

using namespace nutmegloom;

static const TokenKey Key{"k", "0123456789abcdef"};

/// Returns a token with the payload and a valid MAC, so that decoding reaches
/// the parser behind the MAC check.
static std::string sign(std::string Bytes) {
  std::array<unsigned char, 32> Mac{};
  unsigned Length = 0;
  HMAC(EVP_sha256(), Key.Secret.data(), static_cast<int>(Key.Secret.size()),
       reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
       Mac.data(), &Length);
  Bytes.append(reinterpret_cast<const char *>(Mac.data()), Length);
  std::string Text((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Text.data()),
                  reinterpret_cast<const unsigned char *>(Bytes.data()),
                  static_cast<int>(Bytes.size()));
  Text.pop_back();
  std::replace(Text.begin(), Text.end(), '+', '-');
  std::replace(Text.begin(), Text.end(), '/', '_');
  Text.erase(std::find(Text.begin(), Text.end(), '='), Text.end());
  return Text;
}

/// A token must not crash the parser or be accepted without a valid MAC, and
/// its positions and session ID must not change when it is encoded again.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  const SessionTokenCodec Codec({Key});
  const std::string Text(reinterpret_cast<const char *>(Data), Size);
  if (std::holds_alternative<SessionTokenState>(Codec.decode(Text)))
    std::abort();
  const auto Signed = Codec.decode(sign(std::string("\1\1k") + Text));
  if (const auto *State = std::get_if<SessionTokenState>(&Signed)) {
    const auto Again = Codec.decode(Codec.encode(*State));
    const auto *Same = std::get_if<SessionTokenState>(&Again);
    if (!Same || Same->Positions != State->Positions ||
        Same->SessionId != State->SessionId)
      std::abort();
  }
  return 0;
}
