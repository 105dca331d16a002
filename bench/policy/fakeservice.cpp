#include "bench/policy/system.h"

namespace nutmegloom {

FakeService::FakeService(EventQueue &Events, const DeploymentSize &Sizes,
                         const WorkloadOptions &Options)
    : Size(Sizes) {
  for (std::uint32_t Group = 0; Group < Size.Groups; ++Group) {
    Logs.push_back(std::make_unique<FakeLog>());
    for (std::uint32_t Member = 0; Member < 3; ++Member) {
      const bool Primary = Member == 0;
      const Duration Lag = Primary ? Duration(0) : Duration(Options.ApplyLag);
      Databases.push_back(std::make_unique<FakeDatabase>(
          Events, *Logs.back(), Size.Slots, Primary, Lag,
          Primary ? Duration(0) : 2 * latency()));
    }
  }
}

Duration FakeService::latency() const { return Size.ZoneLatency; }

std::string_view nameOf(SystemKind Kind) {
  switch (Kind) {
  case SystemKind::PrimaryReads:
    return "fixed shares, primary reads";
  case SystemKind::RandomReads:
    return "fixed shares, random reads";
  case SystemKind::Nutmegloom:
    return "nutmegloom";
  }
  return "invalid";
}

} // namespace nutmegloom
