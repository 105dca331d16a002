#ifndef NUTMEGLOOM_TESTS_CORE_CONTROLLEDDATABASE_H
#define NUTMEGLOOM_TESTS_CORE_CONTROLLEDDATABASE_H

#include "core/messages.h"

#include <functional>

namespace nutmegloom {

/// In-memory database that implements the control commands fence, promote and
/// follow. Clearing and setting Up simulates a restart, which keeps its state.
struct ControlledDatabase {
  DatabaseId Id;
  bool Up = true;
  bool Leaving = false;
  std::uint64_t PromisedTerm = 1;
  std::string Promoter;
  DatabaseRole Role = DatabaseRole::Replica;
  DatabaseId Primary;
  /// Term of each log entry.
  std::vector<std::uint64_t> Log;
  TimePoint LastPrimaryContact;

  DatabaseStatus status(TimePoint Now) const;
  /// Executes a command. Returns false if the promised term, the promoter or
  /// the role does not allow it.
  bool execute(const ControlRequest &Request);
  /// True if the log contains the entry. Its index is at least 1.
  bool holds(const Position &Entry) const;
  /// One replication exchange: truncates entries that Source lacks, then
  /// appends at most one entry. Does nothing unless this is a running replica
  /// of Source and Source is a running primary of the same term.
  void pullFrom(const ControlledDatabase &Source, TimePoint Now);
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_CORE_CONTROLLEDDATABASE_H
