#include "bench/policy/workload.h"

namespace nutmegloom {

static constexpr std::uint32_t Sessions = 600;

DeploymentSize onss() {
  DeploymentSize Size;
  Size.Name = "ONSS";
  Size.Slots = 5;
  Size.Classes = {{"panels", 8}, {"bookings", 4}, {"clerks", 1}};
  Size.Mix = {{0.15, 0.05, Milliseconds(2000), Milliseconds(1000)},
              {0.25, 0.5, Milliseconds(0), Milliseconds(3000)},
              {0.60, 0.05, Milliseconds(5000), Milliseconds(5000)}};
  return Size;
}

DeploymentSize harlowRidge() {
  DeploymentSize Size;
  Size.Name = "Harlow Ridge";
  Size.Slots = 2;
  Size.Classes = {{"catalogue", 8}, {"approvals", 4}, {"saves", 1}};
  Size.Mix = {{0.15, 0.0, Milliseconds(5000), Milliseconds(1000)},
              {0.45, 0.1, Milliseconds(0), Milliseconds(3000)},
              {0.40, 0.4, Milliseconds(0), Milliseconds(5000)}};
  return Size;
}

static double meanWork(const DeploymentSize &Size,
                       const WorkloadOptions &Options) {
  double Writes = 0;
  for (const auto &Class : Size.Mix)
    Writes += Class.Part * Class.Writes;
  const double Plain =
      Writes * WriteMilliseconds + (1 - Writes) * ReadMilliseconds;
  return Plain * (1 + Options.StragglerPart * (Options.StragglerFactor - 1));
}

/// Picks an index with the probability of its part.
static std::size_t pickClass(const DeploymentSize &Size, double Uniform) {
  for (std::size_t Index = 0; Index + 1 < Size.Mix.size(); ++Index) {
    if (Uniform < Size.Mix[Index].Part)
      return Index;
    Uniform -= Size.Mix[Index].Part;
  }
  return Size.Mix.size() - 1;
}

std::vector<WorkItem> makeWorkload(const DeploymentSize &Size,
                                   const WorkloadOptions &Options,
                                   TimePoint Start) {
  std::mt19937_64 Random(Options.Seed);
  std::uniform_real_distribution<double> Uniform(0, 1);
  std::exponential_distribution<double> Exponential(1);
  // Three databases in each group.
  const double Slots = 3.0 * Size.Groups * Size.Slots;
  const double PerMillisecond =
      Options.Demand * Slots / meanWork(Size, Options);

  std::vector<WorkItem> Items;
  double At = 0;
  while (At < static_cast<double>(Options.Length.count())) {
    At += Exponential(Random) / PerMillisecond;
    WorkItem Item;
    Item.Arrival =
        Start + std::chrono::microseconds(static_cast<std::int64_t>(At * 1000));
    Item.Group = static_cast<std::uint32_t>(Random() % Size.Groups);
    Item.Session = static_cast<std::uint32_t>(Random() % Sessions);
    Item.ClassIndex = pickClass(Size, Uniform(Random));
    const auto &Class = Size.Mix[Item.ClassIndex];
    Item.Timeout = Class.Timeout;
    const bool Write = Uniform(Random) < Class.Writes;
    Item.Kind = Write ? StatementKind::Write : StatementKind::Read;
    if (!Write && Class.MaximumAge > Milliseconds(0))
      Item.MaximumAge = Class.MaximumAge;
    // Drawn in every run, so that stragglers change nothing else.
    const bool Straggler = Uniform(Random) < Options.StragglerPart;
    Item.WorkMilliseconds = (Write ? WriteMilliseconds : ReadMilliseconds) *
                            (0.5 + 0.5 * Exponential(Random));
    if (Straggler) {
      Item.Straggler = true;
      Item.WorkMilliseconds *= Options.StragglerFactor;
      Item.Timeout = Milliseconds(30000);
    }
    Items.push_back(Item);
  }
  return Items;
}

} // namespace nutmegloom
