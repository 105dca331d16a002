#include "nutmegloomd/identifier.h"

#include <openssl/rand.h>

#include <array>
#include <cstdlib>
#include <cstring>

namespace nutmegloom {

static void fillRandom(unsigned char *Bytes, int Size) {
  // Without random bytes, idempotency keys of different requests would collide.
  if (RAND_bytes(Bytes, Size) != 1)
    std::abort();
}

std::string makeIdentifier() {
  static constexpr char Digits[] = "0123456789abcdef";
  std::array<unsigned char, 16> Bytes{};
  fillRandom(Bytes.data(), static_cast<int>(Bytes.size()));
  std::string Text;
  Text.reserve(Bytes.size() * 2);
  for (unsigned char Byte : Bytes) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 15U];
  }
  return Text;
}

std::uint64_t makeRandomNumber() {
  std::array<unsigned char, sizeof(std::uint64_t)> Bytes{};
  fillRandom(Bytes.data(), static_cast<int>(Bytes.size()));
  std::uint64_t Number = 0;
  std::memcpy(&Number, Bytes.data(), Bytes.size());
  return Number;
}

} // namespace nutmegloom
