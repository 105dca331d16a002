#ifndef NUTMEGLOOM_CORE_READVALIDATOR_H
#define NUTMEGLOOM_CORE_READVALIDATOR_H

#include "core/freshness.h"
#include "core/tables.h"

namespace nutmegloom {

class TermCheck;

/// Term of the log entry at the index, by the terms of its log.
std::uint64_t termAt(const TermHistory &Terms, std::uint64_t Index);

/// Later of what the session requires and a position that it has now seen.
Position laterOf(const std::optional<Position> &Required, const Position &Seen);

/// True when a log whose last term is LogTerm and that reads see up to Applied
/// isn't part of the group's log, by the group's own term history.
bool isOnDiscardedBranch(const GroupEntity &Group, std::uint64_t LogTerm,
                         std::uint64_t Applied);

/// Judges the answers of databases to reads before they are returned.
class ReadValidator {
public:
  explicit ReadValidator(const TermCheck &Terms) : Terms_(Terms) {}

  /// Fresh: the answer may be returned. Lost: the write that the session's
  /// token names did not survive. Stale: ask another database or later.
  Freshness validate(const CallerRequest &Request, const DatabaseAnswer &Answer,
                     const GroupEntity &Group, TimePoint Now) const;

  /// True when the required position is certain to be absent from the group's
  /// log for ever.
  bool isPositionLost(const Position &Required, const GroupEntity &Group,
                      TimePoint Now) const;

  /// Position that the session has seen once it has the answer.
  std::optional<Position> seen(const CallerRequest &Request,
                               const DatabaseAnswer &Answer,
                               const GroupEntity &Group) const;

private:
  const TermCheck &Terms_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_READVALIDATOR_H
