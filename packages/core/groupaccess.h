#ifndef NUTMEGLOOM_CORE_GROUPACCESS_H
#define NUTMEGLOOM_CORE_GROUPACCESS_H

#include "core/tables.h"

namespace nutmegloom {

class OwnershipSystem;
class TermCheck;

/// Whether and where this host may send work that needs the primary.
struct PrimaryAccess {
  enum class Kind {
    /// Send to Database under Term.
    Ready,
    /// The primary is in a region that another host serves.
    Redirect,
    /// No trusted primary at present.
    Unavailable,
  };
  Kind State = Kind::Unavailable;
  DatabaseId Database;
  std::uint64_t Term = 0;
  RegionName Region;
};

/// Answers which databases of a group this host may use.
class GroupAccess {
public:
  GroupAccess(const Tables &Data, const OwnershipSystem &Owners,
              const TermCheck &Terms, HostName Self, RegionName Region);

  PrimaryAccess primaryOf(const GroupId &Group, TimePoint Now) const;
  /// True when this host sends statements to the group's databases there.
  bool serves(const GroupId &Group, const RegionName &Region) const;
  /// Forgets which regions this host serves, because hosts come and go.
  void clearCache() { ServedRegions_.clear(); }
  const GroupEntity *find(const GroupId &Group) const;
  const DatabaseEntity *findDatabase(const DatabaseId &Database) const;

private:
  const Tables &Data_;
  const OwnershipSystem &Owners_;
  const TermCheck &Terms_;
  HostName Self_;
  RegionName Region_;
  /// To rank all hosts for each task would cost more than the task.
  mutable std::map<std::pair<GroupId, RegionName>, bool> ServedRegions_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_GROUPACCESS_H
