#include "core/rendezvous.h"

#include <algorithm>

namespace nutmegloom {

// FNV-1a followed by a final mix. std::hash is not used because its result may
// differ between builds, and all hosts must compute the same order.
static std::uint64_t weighHost(std::string_view Key, std::string_view Host) {
  constexpr std::uint64_t Basis = 0xcbf29ce484222325;
  constexpr std::uint64_t Prime = 0x100000001b3;
  std::uint64_t Hash = Basis;
  const auto Add = [&](std::string_view Text) {
    for (const char Byte : Text)
      Hash = (Hash ^ static_cast<unsigned char>(Byte)) * Prime;
  };
  Add(Key);
  // Separates the two strings, so that "a" + "bc" and "ab" + "c" differ.
  Hash = (Hash ^ 0xff) * Prime;
  Add(Host);
  // The final mix of MurmurHash3: FNV-1a alone leaves the high bits of names
  // that differ only in their last character close together.
  Hash = (Hash ^ (Hash >> 33)) * 0xff51afd7ed558ccd;
  Hash = (Hash ^ (Hash >> 33)) * 0xc4ceb9fe1a85ec53;
  return Hash ^ (Hash >> 33);
}

std::vector<HostName> rankHosts(std::string_view Key,
                                std::vector<HostName> Candidates) {
  std::vector<std::pair<std::uint64_t, HostName>> Weighted;
  Weighted.reserve(Candidates.size());
  for (HostName &Host : Candidates) {
    const std::uint64_t Weight = weighHost(Key, Host);
    Weighted.emplace_back(Weight, std::move(Host));
  }
  std::sort(Weighted.begin(), Weighted.end(),
            [](const auto &Left, const auto &Right) {
              if (Left.first != Right.first)
                return Left.first > Right.first;
              return Left.second < Right.second;
            });
  std::vector<HostName> Ranked;
  Ranked.reserve(Weighted.size());
  for (auto &Entry : Weighted)
    Ranked.push_back(std::move(Entry.second));
  return Ranked;
}

} // namespace nutmegloom
