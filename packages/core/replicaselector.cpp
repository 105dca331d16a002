#include "core/replicaselector.h"

#include "core/readvalidator.h"

#include <algorithm>
#include <tuple>

namespace nutmegloom {

/// Time after a stale answer for which the position of the database is not
/// extrapolated.
static constexpr Milliseconds PredictionPause{1000};
/// A read is sent to the primary only if its wait there is shorter by more than
/// this multiple of its service time. For a smaller gain the primary's slots
/// are kept for writes.
static constexpr int PrimaryReliefFactor = 4;
/// Longest time by which a position is extrapolated.
static constexpr Milliseconds MaximumPredictionSpan{400};
/// Shortest time over which the rate of a replica is measured.
static constexpr Milliseconds RateSpan{100};
/// Weight of a new measurement in the moving average of the rate.
static constexpr double RateSampleWeight = 0.5;
/// Fraction of the extrapolated progress that is relied on.
static constexpr double PredictionFactor = 0.8;

bool needsPrimary(const CallerRequest &Request) {
  return !Request.Required && !Request.MaximumAge;
}

ReplicaSelector::ReplicaSelector(const Tables &Data, const Policy &Limits,
                                 const GroupAccess &Access, Hooks Callbacks)
    : Data_(Data), Limits_(Limits), Access_(Access),
      Hooks_(std::move(Callbacks)) {}

void ReplicaSelector::observe(const DatabaseId &Database, std::uint64_t LogTerm,
                              std::uint64_t Applied, TimePoint Now) {
  Progress &Known = Progress_[Database];
  if (LogTerm != Known.LogTerm || Applied < Known.Applied) {
    // The database has a different log or truncated its log. An answer that
    // arrives after a newer one looks the same and only restarts the
    // measurement.
    if (LogTerm != Known.LogTerm)
      Known.Rate = 0;
    Known.LogTerm = LogTerm;
    Known.Applied = Known.RateStartIndex = Applied;
    Known.ObservedAt = Known.RateStartTime = Now;
    return;
  }
  Known.Applied = Applied;
  Known.ObservedAt = Now;
  if (Now - Known.RateStartTime < RateSpan)
    return;
  const double Rate = static_cast<double>(Applied - Known.RateStartIndex) /
                      toMilliseconds(Now - Known.RateStartTime);
  Known.Rate += RateSampleWeight * (Rate - Known.Rate);
  Known.RateStartIndex = Applied;
  Known.RateStartTime = Now;
}

void ReplicaSelector::observeTerm(const DatabaseId &Database,
                                  std::uint64_t Term) {
  Progress &Known = Progress_[Database];
  Known.PromisedTerm = std::max(Known.PromisedTerm, Term);
}

void ReplicaSelector::onStaleRead(const DatabaseId &Database, TimePoint Now) {
  Progress_[Database].LastStaleReadAt = Now;
}

std::uint64_t ReplicaSelector::predictedIndex(const DatabaseId &Database,
                                              TimePoint Now) const {
  const auto Found = Progress_.find(Database);
  if (Found == Progress_.end())
    return 0;
  const Progress &Known = Found->second;
  if (Known.LastStaleReadAt && Now - *Known.LastStaleReadAt < PredictionPause)
    return Known.Applied;
  const Duration Ahead =
      std::min<Duration>(Now - Known.ObservedAt, MaximumPredictionSpan);
  const double Steps = PredictionFactor * Known.Rate * toMilliseconds(Ahead);
  return Known.Applied + static_cast<std::uint64_t>(std::max(0.0, Steps));
}

std::uint64_t ReplicaSelector::termOf(const DatabaseId &Database) const {
  // A fenced replica refuses the group's term. With the term that it has
  // promised it continues to serve reads while the group has no primary.
  const auto Found = Progress_.find(Database);
  const std::uint64_t Refused =
      Found == Progress_.end() ? 0 : Found->second.PromisedTerm;
  const DatabaseEntity *Entity = Access_.findDatabase(Database);
  return std::max(Entity == nullptr ? 0 : Entity->Status.Term, Refused);
}

bool ReplicaSelector::isUsable(const DatabaseEntity &Candidate) const {
  return !Candidate.Leaving && Candidate.StatusSentAt &&
         !Candidate.FailingSince && !Hooks_.IsUnresponsive(Candidate.Id);
}

bool ReplicaSelector::isFreshEnough(const CallerRequest &Request,
                                    const GroupEntity &Group,
                                    const DatabaseEntity &Candidate,
                                    TimePoint Now) const {
  const DatabaseStatus &Status = Candidate.Status;
  if (isOnDiscardedBranch(Group, Status.LogTerm, Status.Applied))
    return false;
  if (Request.MaximumAge) {
    // The age in the last status is used as it is: the age of a replica that
    // keeps up hardly changes, and a replica that has lost its primary reports
    // a greater age in its next status.
    if (Status.Age > *Request.MaximumAge)
      return false;
  }
  if (!Request.Required)
    return true;
  return checkFreshness(
             *Request.Required, Status.LogTerm,
             std::max(Status.Applied, predictedIndex(Candidate.Id, Now)),
             Status.Terms) == Freshness::Fresh;
}

bool ReplicaSelector::isWaitAcceptable(const CallerRequest &Request,
                                       const PrimaryAccess &Primary,
                                       Milliseconds Wait, TimePoint Now) const {
  if (Now + Wait > Request.Deadline)
    return false;
  if (Primary.State != PrimaryAccess::Kind::Ready)
    return true;
  const Milliseconds Relief =
      PrimaryReliefFactor *
      Hooks_.ServiceTime(Primary.Database, Request.StatementDigest);
  return Wait <= Hooks_.ExpectedWait(Primary.Database, Request) + Relief;
}

ReadRoute ReplicaSelector::choose(const CallerRequest &Request,
                                  const std::set<DatabaseId> &Excluded,
                                  TimePoint Now) const {
  ReadRoute Route;
  const GroupEntity *Group = Access_.findGroup(Request.Group);
  if (Group == nullptr)
    return Route;
  const PrimaryAccess Primary = Access_.primaryOf(Request.Group, Now);
  RegionName RemoteReplica;
  if (!needsPrimary(Request)) {
    const DatabaseEntity *Best = nullptr;
    std::tuple<bool, Milliseconds, std::size_t> BestRank;
    for (const DatabaseId &Member : Group->Members) {
      const DatabaseEntity *Candidate = Access_.findDatabase(Member);
      if (Candidate == nullptr || Group->Primary == Member ||
          Candidate->Status.Role == DatabaseRole::Primary ||
          Excluded.contains(Member) || !isUsable(*Candidate) ||
          !isFreshEnough(Request, *Group, *Candidate, Now))
        continue;
      if (!Access_.serves(Request.Group, Candidate->Region)) {
        RemoteReplica = Candidate->Region;
        continue;
      }
      // Replicas without a recent status rank last.
      const std::tuple Rank(
          Now - *Candidate->StatusReceivedAt > 3 * Limits_.StatusInterval,
          Hooks_.ExpectedWait(Member, Request), Hooks_.Load(Member));
      if (Best == nullptr || Rank < BestRank) {
        Best = Candidate;
        BestRank = Rank;
      }
    }
    const bool PrimaryMayServe =
        Primary.State != PrimaryAccess::Kind::Unavailable;
    if (Best != nullptr &&
        (!PrimaryMayServe ||
         isWaitAcceptable(Request, Primary, std::get<1>(BestRank), Now))) {
      Route.Action = ReadRoute::Kind::Database;
      Route.Database = Best->Id;
      return Route;
    }
  }
  if (Primary.State == PrimaryAccess::Kind::Ready) {
    Route.Action = ReadRoute::Kind::Database;
    Route.Database = Primary.Database;
    Route.AtPrimary = true;
  } else if (Primary.State == PrimaryAccess::Kind::Redirect) {
    Route.Action = ReadRoute::Kind::Redirect;
    Route.Region = Primary.Region;
  } else if (!RemoteReplica.empty()) {
    Route.Action = ReadRoute::Kind::Redirect;
    Route.Region = RemoteReplica;
  }
  return Route;
}

bool ReplicaSelector::mayStillServe(const CallerRequest &Request,
                                    const DatabaseId &Database,
                                    TimePoint Now) const {
  const GroupEntity *Group = Access_.findGroup(Request.Group);
  const DatabaseEntity *Candidate = Access_.findDatabase(Database);
  if (Group == nullptr || Candidate == nullptr)
    return false;
  // A replica that became the primary may serve the read only under a confirmed
  // term, so the read must be routed again.
  return Group->Primary != Database && !needsPrimary(Request) &&
         isUsable(*Candidate) &&
         Candidate->Status.Role != DatabaseRole::Primary &&
         isFreshEnough(Request, *Group, *Candidate, Now);
}

} // namespace nutmegloom
