#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_FAULTS_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_FAULTS_H

#include <chrono>
#include <cstdint>
#include <set>
#include <string>

namespace nutmegloom::testing {

/// Fault switches of a stand-in database.
struct DatabaseFaults {
  std::chrono::milliseconds ReplicationDelay{0};
  std::chrono::milliseconds ApplyDelay{0};
  std::chrono::milliseconds StatementTime{0};
  /// "service", "control" and "replication": accept and never answer.
  std::set<std::string> Cut;
  bool Leaving = false;
  /// Service answers still to be cut after execution.
  std::uint64_t DropAnswers = 0;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_FAULTS_H
