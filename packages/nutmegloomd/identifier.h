#ifndef NUTMEGLOOM_NUTMEGLOOMD_IDENTIFIER_H
#define NUTMEGLOOM_NUTMEGLOOMD_IDENTIFIER_H

#include <cstdint>
#include <string>

namespace nutmegloom {

/// Returns 128 cryptographically random bits as 32 hexadecimal digits. The
/// identifier alone gives access to a transaction, so it must not be
/// predictable. Aborts the process if there is no random source.
std::string makeIdentifier();
/// Returns 64 cryptographically random bits. Aborts the process if there is no
/// random source.
std::uint64_t makeRandomNumber();

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_IDENTIFIER_H
