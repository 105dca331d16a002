#ifndef NUTMEGLOOM_CORE_REPLICASELECTOR_H
#define NUTMEGLOOM_CORE_REPLICASELECTOR_H

#include "core/groupaccess.h"

#include <functional>
#include <map>
#include <set>

namespace nutmegloom {

/// Where a read is sent.
struct ReadRoute {
  enum class Kind { Database, Redirect, Wait };
  Kind Action = Kind::Wait;
  DatabaseId Database;
  /// The answer counts only while the term check holds.
  bool AtPrimary = false;
  RegionName Region;
};

/// True when only the primary may serve the read.
bool needsPrimary(const CallerRequest &Request);

/// Chooses the database that serves a read: required freshness, stated age,
/// predicted position, queue and region. It only chooses: the position in the
/// answer decides whether the answer is returned.
class ReplicaSelector {
public:
  struct Hooks {
    /// Time that the read would wait in the queue of the database.
    std::function<Milliseconds(const DatabaseId &, const CallerRequest &)>
        ExpectedWait;
    /// Learned service time of a shape at the database.
    std::function<Milliseconds(const DatabaseId &,
                               std::uint64_t StatementDigest)>
        ServiceTime;
    /// Work that the database has from this host, to spread reads evenly.
    std::function<std::size_t(const DatabaseId &)> Load;
    /// True when the database's connections don't work at present.
    std::function<bool(const DatabaseId &)> IsUnresponsive;
  };

  ReplicaSelector(const Tables &Data, const Policy &Limits,
                  const GroupAccess &Access, Hooks Callbacks);

  /// A status or an answer shows how far a database's reads see.
  void observe(const DatabaseId &Database, std::uint64_t LogTerm,
               std::uint64_t Applied, TimePoint Now);
  /// A refusal shows the term that the database has promised.
  void observeTerm(const DatabaseId &Database, std::uint64_t Term);
  /// An answer was older than predicted.
  void onStaleRead(const DatabaseId &Database, TimePoint Now);

  ReadRoute choose(const CallerRequest &Request,
                   const std::set<DatabaseId> &Excluded, TimePoint Now) const;
  /// True when a read that waits for a replica may stay in its queue.
  bool mayStillServe(const CallerRequest &Request, const DatabaseId &Database,
                     TimePoint Now) const;

  /// Term under which the database executes reads.
  std::uint64_t termOf(const DatabaseId &Database) const;
  std::uint64_t predictedIndex(const DatabaseId &Database, TimePoint Now) const;

private:
  struct Progress {
    std::uint64_t LogTerm = 0;
    std::uint64_t Applied = 0;
    TimePoint At;
    /// Index and time from which the rate is measured.
    std::uint64_t RateStartIndex = 0;
    TimePoint RateStartTime;
    /// Log entries applied per millisecond.
    double Rate = 0;
    std::optional<TimePoint> StaleAt;
    std::uint64_t Term = 0;
  };

  bool isUsable(const DatabaseEntity &Candidate) const;
  /// True when a replica's queue is short enough to spare the primary.
  bool isWaitAcceptable(const CallerRequest &Request,
                        const PrimaryAccess &Primary, Milliseconds Wait,
                        TimePoint Now) const;
  bool isFreshEnough(const CallerRequest &Request, const GroupEntity &Group,
                     const DatabaseEntity &Candidate, TimePoint Now) const;

  const Tables &Data_;
  const Policy &Limits_;
  const GroupAccess &Access_;
  Hooks Hooks_;
  std::map<DatabaseId, Progress> Progress_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_REPLICASELECTOR_H
