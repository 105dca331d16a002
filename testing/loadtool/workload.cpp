#include "testing/loadtool/workload.h"

namespace nutmegloom::testing {

Workload::Workload(WorkloadOptions Options)
    : Options_(std::move(Options)), Random_(Options_.Seed) {}

bool Workload::happens(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(Random_) < Share;
}

std::uint64_t Workload::below(std::uint64_t Limit) {
  return std::uniform_int_distribution<std::uint64_t>(0, Limit - 1)(Random_);
}

double Workload::nextGap(double RequestsPerSecond) {
  return std::exponential_distribution<double>(RequestsPerSecond)(Random_);
}

LoadRequest Workload::next() {
  LoadRequest Request;
  Request.Number = ++Number_;
  Request.Session = below(Options_.Sessions);
  Request.Group = below(Options_.Groups);
  Request.MovesHost = happens(Options_.MoveShare);
  Request.Straggler = happens(Options_.StragglerShare);
  if (!Options_.Classes.empty())
    Request.WorkClass = Options_.Classes[below(Options_.Classes.size())];
  const std::string Key = "k" + std::to_string(below(Options_.Keys));
  std::string Tail = "\"key\":\"" + Key + "\"";
  const std::uint64_t Work =
      Request.Straggler ? Options_.StragglerMs : Options_.WorkMs;
  if (Work > 0)
    Tail += ",\"work_ms\":" + std::to_string(Work);
  if (happens(Options_.WriteShare)) {
    Request.Kind = StatementKind::Write;
    Request.Key = "load-" + std::to_string(Options_.Seed) + "-" +
                  std::to_string(Request.Number);
    Request.Statement = "{\"op\":\"put\"," + Tail +
                        ",\"value\":" + std::to_string(Request.Number) + "}";
  } else {
    if (happens(Options_.StatedAgeShare))
      Request.MaximumAgeMs = Options_.MaximumAgeMs;
    Request.Statement = "{\"op\":\"get\"," + Tail + "}";
  }
  return Request;
}

} // namespace nutmegloom::testing
