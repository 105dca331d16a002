// Measures the policy of the decision library against two baselines, with
// given times and fixed seeds. Prints Markdown.

#include "bench/policy/run.h"

#include <cstdio>
#include <string>

using namespace nutmegloom;

static const SystemKind AllKinds[] = {
    SystemKind::PrimaryReads, SystemKind::RandomReads, SystemKind::Nutmegloom};

static double percent(std::uint64_t Part, std::uint64_t Whole) {
  if (Whole == 0)
    return 0.0;
  return 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
}

static const char *labelOf(SystemKind Kind) { return nameOf(Kind).data(); }

static void printReplicaReads(const DeploymentSize &Size) {
  std::printf("\n### %s: reads served by replicas at half load\n\n",
              Size.Name.c_str());
  std::printf("| apply lag (ms) | policy | replica reads of all (%%) | of the "
              "reads that freshness allows (%%) | older than allowed | p99 of "
              "all classes' waits (ms) |\n|---|---|---|---|---|---|\n");
  for (const int Lag : {0, 50, 500, 1000, 2000, 5000}) {
    for (const SystemKind Kind : AllKinds) {
      WorkloadOptions Options;
      Options.ApplyLag = Milliseconds(Lag);
      const RunFigures Figures = runPolicy(Kind, Size, Options);
      std::printf("| %d | %s | %.1f | %.1f | %llu | %.1f |\n", Lag,
                  labelOf(Kind), percent(Figures.ReplicaReads, Figures.Reads),
                  percent(Figures.AllowedFromReplica, Figures.AllowedReads),
                  static_cast<unsigned long long>(Figures.Violations),
                  Figures.ShortWait.quantile(0.99));
      std::fflush(stdout);
    }
  }
}

static void printCrest(const DeploymentSize &Size) {
  std::printf("\n### %s: demand above capacity\n\n", Size.Name.c_str());
  std::printf(
      "| demand / capacity | policy | goodput / capacity (%%) | refused "
      "(%%) |");
  for (const auto &Class : Size.Classes)
    std::printf(" p99 %s (ms) |", Class.Name.c_str());
  std::printf("\n|---|---|---|---|");
  for (std::size_t Index = 0; Index < Size.Classes.size(); ++Index)
    std::printf("---|");
  std::printf("\n");
  for (const double Demand : {0.5, 1.0, 2.0, 3.0, 5.0}) {
    for (const SystemKind Kind : AllKinds) {
      WorkloadOptions Options;
      Options.Demand = Demand;
      Options.ApplyLag = Milliseconds(50);
      const RunFigures Figures = runPolicy(Kind, Size, Options);
      std::printf("| %.1f | %s | %.1f | %.1f |", Demand, labelOf(Kind),
                  100 * Figures.Goodput,
                  percent(Figures.Refused, Figures.Requests));
      for (const Latencies &Class : Figures.ByClass)
        std::printf(" %.1f |", Class.quantile(0.99));
      std::printf("\n");
      std::fflush(stdout);
    }
  }
}

static void printStragglers(const DeploymentSize &Size) {
  std::printf("\n### %s: short work with 2%% stragglers of 50 times the "
              "length\n\n",
              Size.Name.c_str());
  std::printf("| policy | p99 wait of short work without (ms) | with (ms) | "
              "ratio | p50 of stragglers (ms) | refused (%%) |\n"
              "|---|---|---|---|---|---|\n");
  // The rate of short work is the same in both runs.
  const double ShortDemand = 0.3;
  for (const SystemKind Kind : AllKinds) {
    WorkloadOptions Without;
    Without.Demand = ShortDemand;
    Without.ApplyLag = Milliseconds(50);
    WorkloadOptions With = Without;
    With.StragglerPart = 0.02;
    With.Demand =
        ShortDemand * (1 + With.StragglerPart * (With.StragglerFactor - 1));
    const RunFigures Plain = runPolicy(Kind, Size, Without);
    const RunFigures Mixed = runPolicy(Kind, Size, With);
    const double Low = Plain.ShortWait.quantile(0.99);
    const double High = Mixed.ShortWait.quantile(0.99);
    std::printf("| %s | %.1f | %.1f | %.2f | %.1f | %.1f |\n", labelOf(Kind),
                Low, High, Low > 0 ? High / Low : 0.0,
                Mixed.Straggler.quantile(0.5),
                percent(Mixed.Refused, Mixed.Requests));
    std::fflush(stdout);
  }
}

int main() {
  for (const DeploymentSize &Size : {onss(), harlowRidge()}) {
    printReplicaReads(Size);
    printCrest(Size);
    printStragglers(Size);
  }
  return 0;
}
