#include "testing/loadtool/loadreport.h"

#include <nlohmann/json.hpp>

namespace nutmegloom::testing {

using nlohmann::json;

void LoadReport::record(const LoadRequest &Request, const LoadResult &Result,
                        double Milliseconds) {
  std::vector<std::string> Names{"all",
                                 std::string(nameOf(Request.Kind)) + "s"};
  if (Request.MaximumAgeMs)
    Names.emplace_back("stated_age_reads");
  if (!Request.WorkClass.empty())
    Names.push_back("class_" + Request.WorkClass);
  Names.emplace_back(Request.Straggler ? "stragglers" : "short");
  for (const std::string &Name : Names) {
    Part &Found = Parts_[Name];
    if (Result.Error.empty())
      Found.Latency.record(Milliseconds);
    else
      ++Found.Errors[Result.Error];
  }
  if (!Result.Database.empty())
    ++Databases_[Result.Database];
}

std::string LoadReport::toJson(std::uint64_t Seed, double Seconds) const {
  json Body = {{"seed", Seed}, {"seconds", Seconds}, {"databases", Databases_}};
  for (const auto &[Name, Found] : Parts_) {
    const LatencyStatistics &Latency = Found.Latency;
    Body["parts"][Name] = {
        {"answered", Latency.count()},
        {"answered_per_second", static_cast<double>(Latency.count()) / Seconds},
        {"errors", Found.Errors},
        {"p50_ms", Latency.percentile(0.50)},
        {"p90_ms", Latency.percentile(0.90)},
        {"p99_ms", Latency.percentile(0.99)},
        {"greatest_ms", Latency.greatest()}};
  }
  return Body.dump(2);
}

} // namespace nutmegloom::testing
