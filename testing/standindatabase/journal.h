#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_JOURNAL_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_JOURNAL_H

#include "testing/standindatabase/replicatedlog.h"

#include <nlohmann/json_fwd.hpp>

#include <fstream>
#include <functional>
#include <string>

namespace nutmegloom::testing {

/// JSON form of an entry, in the journal and in replies to pulls.
nlohmann::json encodeEntry(const LogEntry &Entry);
/// Throws nlohmann::json::exception if the entry is malformed.
LogEntry decodeEntry(const nlohmann::json &Body);

/// Append-only file of durable changes, one JSON object per line. write()
/// passes each line to the kernel before it returns, so the line survives a
/// crash of the process, though not one of the machine.
class Journal {
public:
  /// Opens or creates the file and passes its records to Restore in order. An
  /// incomplete last line is removed from the file. Throws std::runtime_error
  /// if the file can't be opened, nlohmann::json::exception if a complete line
  /// is malformed.
  Journal(const std::string &Path,
          const std::function<void(const JournalRecord &)> &Restore);

  /// True if the file held no complete record when it was opened.
  bool wasEmpty() const { return WasEmpty_; }
  void write(const JournalRecord &Record);

private:
  std::ofstream File_;
  bool WasEmpty_ = true;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_JOURNAL_H
