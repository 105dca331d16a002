#include "sessions/statementqueue.h"

namespace nutmegloom {

void StatementQueue::add(const GroupId &Group, CallerSessionId Session,
                         std::uint32_t Priority, TimePoint ReceivedAt) {
  remove(Session);
  Key Added{Priority, ReceivedAt, Session};
  Waiting_[Group].insert(Added);
  Keys_.emplace(Session, std::pair{Group, Added});
}

void StatementQueue::remove(CallerSessionId Session) {
  auto Found = Keys_.find(Session);
  if (Found == Keys_.end())
    return;
  auto Group = Waiting_.find(Found->second.first);
  Group->second.erase(Found->second.second);
  if (Group->second.empty())
    Waiting_.erase(Group);
  Keys_.erase(Found);
}

std::vector<CallerSessionId>
StatementQueue::waitingFor(const GroupId &Group) const {
  std::vector<CallerSessionId> Sessions;
  auto Found = Waiting_.find(Group);
  if (Found == Waiting_.end())
    return Sessions;
  for (const Key &Entry : Found->second)
    Sessions.push_back(Entry.Session);
  return Sessions;
}

std::size_t StatementQueue::countOf(const GroupId &Group) const {
  auto Found = Waiting_.find(Group);
  return Found == Waiting_.end() ? 0 : Found->second.size();
}

std::size_t StatementQueue::countAhead(const GroupId &Group,
                                       std::uint32_t Priority,
                                       TimePoint ReceivedAt) const {
  auto Found = Waiting_.find(Group);
  if (Found == Waiting_.end())
    return 0;
  auto Behind = Found->second.lower_bound(Key{Priority, ReceivedAt, 0});
  return static_cast<std::size_t>(std::distance(Found->second.begin(), Behind));
}

std::vector<GroupId> StatementQueue::groups() const {
  std::vector<GroupId> Groups;
  for (const auto &[Group, Entries] : Waiting_)
    Groups.push_back(Group);
  return Groups;
}

} // namespace nutmegloom
