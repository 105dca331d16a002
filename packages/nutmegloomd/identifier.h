#ifndef NUTMEGLOOM_NUTMEGLOOMD_IDENTIFIER_H
#define NUTMEGLOOM_NUTMEGLOOMD_IDENTIFIER_H

#include <cstdint>
#include <string>

namespace nutmegloom {

/// 128 random bits as 32 hexadecimal digits. They can't be guessed, since a
/// transaction is reached by its identifier alone.
std::string makeIdentifier();
std::uint64_t makeRandomNumber();

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_IDENTIFIER_H
