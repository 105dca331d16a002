#ifndef NUTMEGLOOM_CORE_READVALIDATOR_H
#define NUTMEGLOOM_CORE_READVALIDATOR_H

#include "core/freshness.h"
#include "core/tables.h"

namespace nutmegloom {

class TermCheck;

/// Term of the log entry at Index according to the log's term history; zero if
/// the history does not cover it.
std::uint64_t termAt(const TermHistory &Terms, std::uint64_t Index);

/// Returns the later one of the position that a session requires, if there is
/// one, and a position that it has read or written.
Position laterOf(const std::optional<Position> &Required, const Position &Seen);

/// True if the log of a database contains entries that the group's log does
/// not, according to the group's term history. LogTerm is the last term of the
/// database's log and Applied its applied index.
bool isOnDiscardedBranch(const GroupEntity &Group, std::uint64_t LogTerm,
                         std::uint64_t Applied);

/// Checks the answers of databases to reads before they are returned.
class ReadValidator {
public:
  explicit ReadValidator(const TermCheck &Terms) : Terms_(Terms) {}

  /// Returns Fresh if the answer may be returned, Lost if the write at the
  /// required position did not survive a failover, and Stale if the read must
  /// be sent to another database or repeated later.
  Freshness validate(const CallerRequest &Request, const DatabaseAnswer &Answer,
                     const GroupEntity &Group, TimePoint Now) const;

  /// True if it is certain that the group's log will never contain the required
  /// position.
  bool isPositionLost(const Position &Required, const GroupEntity &Group,
                      TimePoint Now) const;

  /// Log position that the session token must record after the answer.
  std::optional<Position> seen(const CallerRequest &Request,
                               const DatabaseAnswer &Answer,
                               const GroupEntity &Group) const;

private:
  const TermCheck &Terms_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_READVALIDATOR_H
