#ifndef NUTMEGLOOM_CORE_GROUPACCESS_H
#define NUTMEGLOOM_CORE_GROUPACCESS_H

#include "core/tables.h"

namespace nutmegloom {

class OwnershipSystem;
class TermCheck;

/// Whether and where this host may send requests that need the primary.
struct PrimaryAccess {
  enum class Kind {
    /// Requests may be sent to Database under Term.
    Ready,
    /// The primary is in a region that another host serves.
    Redirect,
    /// No primary is known, or its term is not confirmed at present.
    Unavailable,
  };
  Kind State = Kind::Unavailable;
  DatabaseId Database;
  std::uint64_t Term = 0;
  RegionName Region;
};

/// Determines which databases of a group this host may use.
class GroupAccess {
public:
  GroupAccess(const Tables &Data, const OwnershipSystem &Owners,
              const TermCheck &Terms, HostName Self, RegionName Region);

  PrimaryAccess primaryOf(const GroupId &Group, TimePoint Now) const;
  /// True if this host sends requests to the group's databases in the region.
  bool serves(const GroupId &Group, const RegionName &Region) const;
  /// Clears the cached results of serves(). Must be called regularly, because
  /// the set of live hosts changes.
  void clearCache() { ServedRegions_.clear(); }
  const GroupEntity *findGroup(const GroupId &Group) const;
  const DatabaseEntity *findDatabase(const DatabaseId &Database) const;

private:
  const Tables &Data_;
  const OwnershipSystem &Owners_;
  const TermCheck &Terms_;
  HostName Self_;
  RegionName Region_;
  /// Cached results of serves(). Ranking all hosts for each request would cost
  /// more than the request.
  mutable std::map<std::pair<GroupId, RegionName>, bool> ServedRegions_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_GROUPACCESS_H
