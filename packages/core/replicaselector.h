#ifndef NUTMEGLOOM_CORE_REPLICASELECTOR_H
#define NUTMEGLOOM_CORE_REPLICASELECTOR_H

#include "core/groupaccess.h"

#include <functional>
#include <map>
#include <set>

namespace nutmegloom {

/// Routing decision for a read.
struct ReadRoute {
  enum class Kind { Database, Redirect, Wait };
  Kind Action = Kind::Wait;
  DatabaseId Database;
  /// The read is sent to the primary, so its answer may be returned only after
  /// a majority has confirmed the primary's term.
  bool AtPrimary = false;
  RegionName Region;
};

/// True if only the primary may serve the read.
bool needsPrimary(const CallerRequest &Request);

/// Selects the database that serves a read by the freshness that the request
/// needs, the predicted log positions of the replicas, their queues and their
/// regions. Because predictions may be wrong, ReadValidator checks the position
/// in each answer before the answer is returned.
class ReplicaSelector {
public:
  struct Hooks {
    /// Expected waiting time of the read in the queue of the database.
    std::function<Milliseconds(const DatabaseId &, const CallerRequest &)>
        ExpectedWait;
    /// Mean service time of a statement digest at the database.
    std::function<Milliseconds(const DatabaseId &,
                               std::uint64_t StatementDigest)>
        ServiceTime;
    /// Number of requests of this host that are queued or running at the
    /// database.
    std::function<std::size_t(const DatabaseId &)> Load;
    /// True if the database currently does not answer on its connections.
    std::function<bool(const DatabaseId &)> IsUnresponsive;
  };

  ReplicaSelector(const Tables &Data, const Policy &Limits,
                  const GroupAccess &Access, Hooks Callbacks);

  /// Records the last log term and the applied index that a status or an answer
  /// of the database reported.
  void observe(const DatabaseId &Database, std::uint64_t LogTerm,
               std::uint64_t Applied, TimePoint Now);
  /// Records the promised term that a refusal of the database reported.
  void observeTerm(const DatabaseId &Database, std::uint64_t Term);
  /// Records that an answer was older than predicted, which pauses predictions
  /// for the database.
  void onStaleRead(const DatabaseId &Database, TimePoint Now);

  /// Selects where to send the read. Replicas in Excluded are skipped.
  ReadRoute choose(const CallerRequest &Request,
                   const std::set<DatabaseId> &Excluded, TimePoint Now) const;
  /// True if the replica for which a read is queued can still serve it.
  bool mayStillServe(const CallerRequest &Request, const DatabaseId &Database,
                     TimePoint Now) const;

  /// Highest term that the database is known to have promised, under which it
  /// executes reads.
  std::uint64_t termOf(const DatabaseId &Database) const;
  /// Applied index of the database, extrapolated from its recent rate.
  std::uint64_t predictedIndex(const DatabaseId &Database, TimePoint Now) const;

private:
  struct Progress {
    std::uint64_t LogTerm = 0;
    std::uint64_t Applied = 0;
    TimePoint ObservedAt;
    /// Index and time at which the current measurement of the rate started.
    std::uint64_t RateStartIndex = 0;
    TimePoint RateStartTime;
    /// Log entries applied per millisecond.
    double Rate = 0;
    /// Time of the last answer that was too old for its read. For a while
    /// afterwards the index is not extrapolated.
    std::optional<TimePoint> LastStaleReadAt;
    std::uint64_t PromisedTerm = 0;
  };

  bool isUsable(const DatabaseEntity &Candidate) const;
  /// True if the replica can serve the read before its deadline and not much
  /// later than the primary.
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
