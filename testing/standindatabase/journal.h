#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_JOURNAL_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_JOURNAL_H

#include "testing/standindatabase/replicatedlog.h"

#include <nlohmann/json_fwd.hpp>

#include <fstream>
#include <functional>
#include <string>

namespace nutmegloom::testing {

nlohmann::json encodeEntry(const LogEntry &Entry);
LogEntry decodeEntry(const nlohmann::json &Body);

/// An append-only file of the durable changes, one JSON line each. Each line
/// reaches the kernel before write returns, so it survives a killed process.
class Journal {
public:
  /// Opens or creates the file and passes its records to Restore. A torn last
  /// line is removed. Throws std::runtime_error if the file can't be used.
  Journal(const std::string &Path,
          const std::function<void(const JournalRecord &)> &Restore);

  bool wasEmpty() const { return WasEmpty_; }
  void write(const JournalRecord &Record);

private:
  std::ofstream File_;
  bool WasEmpty_ = true;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_JOURNAL_H
