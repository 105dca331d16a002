#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_FAULTS_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_FAULTS_H

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace nutmegloom::testing {

/// Faults that the simulated database injects, set through its control port.
struct DatabaseFaults {
  /// Time from the receipt of log entries until they are in the replica's log.
  std::chrono::milliseconds ReplicationDelay{0};
  /// Time from then until reads at the replica see them.
  std::chrono::milliseconds ApplyDelay{0};
  /// Added to the execution time of each statement.
  std::chrono::milliseconds StatementTime{0};
  /// Any of "service", "control" and "replication": their requests are accepted
  /// but not answered. A replica with "replication" doesn't pull either.
  std::set<std::string> Cut;
  /// Reported as "leaving" in the status.
  bool Leaving = false;
  /// Number of further answers to changes (writes, commits, closed keys) that
  /// are lost after execution.
  std::uint64_t DropAnswers = 0;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_FAULTS_H
