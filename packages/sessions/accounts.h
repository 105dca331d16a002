#ifndef NUTMEGLOOM_SESSIONS_ACCOUNTS_H
#define NUTMEGLOOM_SESSIONS_ACCOUNTS_H

#include "sessions/sessiontypes.h"

namespace nutmegloom {

/// Digest of an API key, by which the key is known in all parts of the product
/// but the connection that it came on.
KeyDigest digestOf(std::string_view Key);
/// First digits of a key's digest, which name the key in logs and do not reveal
/// it.
std::string shortNameOf(const KeyDigest &Key);

/// Finds the client account that holds an API key.
class AccountDirectory {
public:
  AccountDirectory() = default;
  explicit AccountDirectory(
      const std::map<AccountName, AccountSettings> &Accounts);

  /// Returns null if no account holds the key, or more than one: what it asks
  /// for could not be charged to either.
  const AccountName *accountOf(const KeyDigest &Key) const;

private:
  /// A key that several accounts hold has an empty name.
  std::map<KeyDigest, AccountName> Accounts_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_ACCOUNTS_H
