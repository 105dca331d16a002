#ifndef NUTMEGLOOM_SESSIONS_STATEMENTQUEUE_H
#define NUTMEGLOOM_SESSIONS_STATEMENTQUEUE_H

#include "sessions/sessiontypes.h"

#include <set>

namespace nutmegloom {

/// Sessions whose statements wait for a connection, by group: higher priority
/// first, then the longest wait.
class StatementQueue {
public:
  void add(const GroupId &Group, CallerSessionId Session,
           std::uint32_t Priority, TimePoint ReceivedAt);
  void remove(CallerSessionId Session);
  /// Waiting sessions of a group in the order in which they are served.
  std::vector<CallerSessionId> waitingFor(const GroupId &Group) const;
  std::size_t countOf(const GroupId &Group) const;
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
