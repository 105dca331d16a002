#ifndef NUTMEGLOOM_TESTS_CORE_CONTROLLEDDATABASE_H
#define NUTMEGLOOM_TESTS_CORE_CONTROLLEDDATABASE_H

#include "core/messages.h"

#include <functional>

namespace nutmegloom {

/// A database with the control commands of the design. Promised term, promoter
/// and log survive a restart.
struct ControlledDatabase {
  DatabaseId Id;
  bool Up = true;
  bool Leaving = false;
  std::uint64_t PromisedTerm = 1;
  std::string Promoter;
  DatabaseRole Role = DatabaseRole::Replica;
  DatabaseId Primary;
  /// Term of each entry of the log.
  std::vector<std::uint64_t> Log;
  TimePoint LastPrimaryContact;

  DatabaseStatus status(TimePoint Now) const;
  /// True when the command was granted.
  bool execute(const ControlRequest &Request);
  bool holds(const Position &Entry) const;
  /// One exchange of a replica with its primary: drops what the primary does
  /// not have, then takes one entry.
  void pullFrom(const ControlledDatabase &Source, TimePoint Now);
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_CORE_CONTROLLEDDATABASE_H
