#ifndef NUTMEGLOOM_CORE_CONFIRMATIONQUEUE_H
#define NUTMEGLOOM_CORE_CONFIRMATIONQUEUE_H

#include "core/tables.h"

#include <functional>
#include <list>
#include <map>

namespace nutmegloom {

class TermCheck;

/// Holds back answers of primaries until a majority of the group holds their
/// log position and has confirmed the primary's term.
class ConfirmationQueue {
public:
  /// Confirmed is false if the primary was replaced in the meantime.
  using Handler = std::function<void(bool Confirmed, TimePoint)>;

  ConfirmationQueue(const Tables &Data, const TermCheck &Terms)
      : Data_(Data), Terms_(Terms) {}

  /// Adds an answer. RequiredPosition is absent for a read, which depends on
  /// the term only. Done is called from processDecided().
  void add(TaskId Task, const GroupId &Group, std::uint64_t Term,
           std::optional<Position> RequiredPosition, Handler Done);
  void remove(TaskId Task, const GroupId &Group);

  /// Must be called when a status arrives that may confirm positions of the
  /// group.
  void onStatus(const GroupId &Group);
  /// Calls the handlers of the answers that are confirmed or whose primary was
  /// replaced. Checks only groups with a new answer or a new status.
  void processDecided(TimePoint Now);

private:
  struct Entry {
    TaskId Task = 0;
    std::uint64_t Term = 0;
    std::optional<Position> RequiredPosition;
    Handler Done;
    bool Checked = false;
  };
  struct GroupQueue {
    std::list<Entry> Entries;
    /// An entry was added or a status arrived since the last check.
    bool HasNewEntry = false;
    bool HasNewStatus = false;
  };

  /// True if the answer can be released. Sets Confirmed to the value for its
  /// handler.
  bool isDecided(const GroupId &Group, const Entry &Each, bool &Confirmed,
                 TimePoint Now) const;
  bool isPrimaryReplaced(const GroupId &Group, std::uint64_t Term) const;

  const Tables &Data_;
  const TermCheck &Terms_;
  std::map<GroupId, GroupQueue> Groups_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_CONFIRMATIONQUEUE_H
