#include "sessions/accounts.h"

#include <openssl/sha.h>

#include <array>

namespace nutmegloom {

static constexpr std::size_t ShortNameBytes = 4;

/// Digests are compared in place of keys: how long a comparison takes tells
/// something of a digest, and nothing of the key.
KeyDigest digestOf(std::string_view Key) {
  KeyDigest Digest{};
  static_assert(std::tuple_size_v<KeyDigest> == SHA256_DIGEST_LENGTH);
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.data());
  return Digest;
}

std::string shortNameOf(const KeyDigest &Key) {
  static constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (std::size_t At = 0; At < ShortNameBytes; ++At) {
    Text += Digits[Key[At] >> 4];
    Text += Digits[Key[At] & 0xF];
  }
  return Text;
}

AccountDirectory::AccountDirectory(
    const std::map<AccountName, AccountSettings> &Accounts) {
  for (const auto &[Name, Settings] : Accounts)
    for (const KeyDigest &Key : Settings.Keys) {
      auto [Found, IsNew] = Accounts_.try_emplace(Key, Name);
      if (!IsNew && Found->second != Name)
        Found->second.clear();
    }
}

const AccountName *AccountDirectory::accountOf(const KeyDigest &Key) const {
  auto Found = Accounts_.find(Key);
  if (Found == Accounts_.end() || Found->second.empty())
    return nullptr;
  return &Found->second;
}

} // namespace nutmegloom
