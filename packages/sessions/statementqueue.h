#ifndef NUTMEGLOOM_SESSIONS_STATEMENTQUEUE_H
#define NUTMEGLOOM_SESSIONS_STATEMENTQUEUE_H

#include "sessions/sessiontypes.h"

#include <set>

namespace nutmegloom {

/// Sessions whose statements wait for a connection, by group. They are ordered
/// by priority (0 first), then by the time at which the statement was received.
class StatementQueue {
public:
  /// Adds a session, or moves it if it is queued already.
  void add(const GroupId &Group, CallerSessionId Session,
           std::uint32_t Priority, TimePoint ReceivedAt);
  void remove(CallerSessionId Session);
  /// Queued sessions of a group, in the order in which they are to be started.
  std::vector<CallerSessionId> waitingFor(const GroupId &Group) const;
  std::size_t countOf(const GroupId &Group) const;
  /// Number of queued sessions of the group that are to be started before one
  /// with this priority and time of receipt.
  std::size_t countAhead(const GroupId &Group, std::uint32_t Priority,
                         TimePoint ReceivedAt) const;
  std::vector<GroupId> groups() const;
  std::size_t size() const { return Keys_.size(); }

private:
  struct Key {
    std::uint32_t Priority = 0;
    TimePoint ReceivedAt;
    CallerSessionId Session = 0;
    auto operator<=>(const Key &) const = default; // NOLINT
  };
  std::map<GroupId, std::set<Key>> Waiting_;
  std::map<CallerSessionId, std::pair<GroupId, Key>> Keys_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_STATEMENTQUEUE_H
