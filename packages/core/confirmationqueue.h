#ifndef NUTMEGLOOM_CORE_CONFIRMATIONQUEUE_H
#define NUTMEGLOOM_CORE_CONFIRMATIONQUEUE_H

#include "core/tables.h"

#include <functional>
#include <list>
#include <map>

namespace nutmegloom {

class TermCheck;

/// Holds answers of primaries back until their position is confirmed and the
/// term check holds.
class ConfirmationQueue {
public:
  /// Confirmed is false when the primary was replaced in the meantime.
  using Handler = std::function<void(bool Confirmed, TimePoint)>;

  ConfirmationQueue(const Tables &Data, const TermCheck &Terms)
      : Data_(Data), Terms_(Terms) {}

  /// Wanted is absent for a read, which needs the term check only. The handler
  /// is called from check.
  void add(TaskId Task, const GroupId &Group, std::uint64_t Term,
           std::optional<Position> Wanted, Handler Done);
  void remove(TaskId Task, const GroupId &Group);

  /// A status arrived that may confirm positions of the group.
  void onStatus(const GroupId &Group);
  /// Ends what can be ended, as far as there is something new to go by.
  void processDecided(TimePoint Now);

private:
  struct Entry {
    TaskId Task = 0;
    std::uint64_t Term = 0;
    std::optional<Position> Wanted;
    Handler Done;
    bool Checked = false;
  };
  struct GroupQueue {
    std::list<Entry> Entries;
    /// An entry was added or a status arrived since the last check.
    bool HasNewEntry = false;
    bool HasNewStatus = false;
  };

  bool isDecided(const GroupId &Group, const Entry &Each, bool &Confirmed,
                 TimePoint Now) const;
  bool isPrimaryReplaced(const GroupId &Group, std::uint64_t Term) const;

  const Tables &Data_;
  const TermCheck &Terms_;
  std::map<GroupId, GroupQueue> Groups_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_CONFIRMATIONQUEUE_H
