#ifndef NUTMEGLOOM_BENCH_POLICY_SYSTEM_H
#define NUTMEGLOOM_BENCH_POLICY_SYSTEM_H

#include "bench/policy/fakedatabase.h"
#include "bench/policy/workload.h"

#include <memory>

namespace nutmegloom {

/// Fate of one request.
struct WorkResult {
  bool Answered = false;
  bool Refused = false;
  TimePoint AnsweredAt;
  bool FromReplica = false;
  /// The answer was older than the session's own write or the stated age.
  bool Violation = false;
  /// A replica held what the read needed when it arrived.
  bool ReplicaAllowed = false;
};

/// The databases of one service, three for each group, as one owner of one
/// region sees them. The first of a group is its primary.
struct FakeService {
  FakeService(EventQueue &Events, const DeploymentSize &Size,
              const WorkloadOptions &Options);

  FakeDatabase &database(std::uint32_t Group, std::uint32_t Member) {
    return *Databases[Group * 3 + Member];
  }
  /// One way, between an owner and any database of its region.
  Duration latency() const;

  DeploymentSize Size;
  std::vector<std::unique_ptr<FakeLog>> Logs;
  std::vector<std::unique_ptr<FakeDatabase>> Databases;
};

/// A way to serve requests: the decision library or a baseline.
class System {
public:
  using DoneFunction = std::function<void(const WorkResult &)>;

  virtual ~System() = default;
  virtual void submit(const WorkItem &Item, DoneFunction Done) = 0;
  /// Runs before the first request, to connect and learn the primaries.
  virtual void prepare() {}
};

/// The baselines are nine hosts with a fixed share of each database's slots
/// and first-in-first-out queues; they differ in where reads go.
enum class SystemKind { PrimaryReads, RandomReads, Nutmegloom };
std::string_view nameOf(SystemKind Kind);

std::unique_ptr<System> makeSystem(SystemKind Kind, EventQueue &Events,
                                   FakeService &Service);

} // namespace nutmegloom

#endif // NUTMEGLOOM_BENCH_POLICY_SYSTEM_H
