#ifndef NUTMEGLOOM_SESSIONS_PROMOTIONSYSTEM_H
#define NUTMEGLOOM_SESSIONS_PROMOTIONSYSTEM_H

#include "sessions/databasetable.h"
#include "sessions/hosttable.h"
#include "sessions/leaderauthority.h"
#include "sessions/leasemanager.h"

#include <functional>

namespace nutmegloom {

/// Why a group's leader is replaced.
enum class PromotionReason { None, Draining, Gone, Silent, Demoted };
std::string_view nameOf(PromotionReason Reason);

/// Steps of a promotion that this host carries out.
enum class PromotionStage {
  Watching,
  /// The members' logs are compared.
  Comparing,
  /// The record that names the next leader is being written.
  Claiming,
  /// No host may use the old leader once this wait is over.
  Waiting,
  /// The platform was asked to promote.
  Promoting,
  /// The promoted database is asked whether it leads.
  Verifying,
  /// The record that lets hosts use the leader is being written.
  Settling,
};
std::string_view nameOf(PromotionStage Stage);

/// Outcome of a call for a promotion.
enum class PromotionOutcome { Accepted, NotRunning, Refused, Unknown };

/// A change of stage, for the log.
struct PromotionReport {
  GroupId Group;
  PromotionStage Stage = PromotionStage::Watching;
  PromotionReason Reason = PromotionReason::None;
  DatabaseId Candidate;
  std::uint64_t Token = 0;
  std::string_view Detail;
};

/// Finds leaders that fail, drain or are gone, and has another database
/// promoted.
///
/// One host at a time holds the duty to promote, with a fencing token. A
/// promotion goes through the group's record in the store: writing it on
/// condition ends every host's permission to use the old leader one validity
/// later, and only then is the platform asked. A host that stops half-way is
/// followed by another one, which takes the duty and claims the record anew.
class PromotionSystem {
public:
  struct Hooks {
    /// Replaces the record if its revision in the store is still Expected
    /// (zero: there is none). Ends in onWritten.
    std::function<void(const LeadershipRecord &, std::uint64_t Expected)> Write;
    LeaseManager::Write WriteLease;
    /// Ends in onPromoted.
    std::function<void(const GroupId &, const DatabaseId &,
                       std::uint64_t Token)>
        Promote;
    /// Reads the list of hosts again. Ends in the host table.
    std::function<void()> ListHosts;
    /// Asks a database for its report. Ends in onReport.
    std::function<void(const DatabaseListing &, const DatabaseCommand &)> Ask;
    std::function<void(const PromotionReport &)> Report;
  };

  PromotionSystem(const DatabaseTable &Table, const HostTable &Hosts,
                  LeaderAuthority &Authority, Hooks Callbacks);

  /// The store has listed all records; groups without one have none.
  void onRecordsListed(TimePoint Now);
  /// The store's list of databases has been followed without a break since.
  void setListTrustedSince(std::optional<TimePoint> Since) {
    ListTrustedSince_ = Since;
  }
  /// The store has answered this host without a break since.
  void setStoreReachedSince(std::optional<TimePoint> Since) {
    StoreReachedSince_ = Since;
  }
  void setSynchronousReplicas(const GroupId &Group, std::uint32_t Count) {
    SynchronousReplicas_[Group] = Count;
  }

  LeaseManager &lease() { return Lease_; }
  const LeaseManager &lease() const { return Lease_; }

  void onWritten(const GroupId &Group, WriteOutcome Outcome,
                 const LeadershipRecord &Current, TimePoint Now);
  void onPromoted(const GroupId &Group, PromotionOutcome Outcome,
                  TimePoint Now);
  void onReport(const DatabaseId &Database,
                const std::optional<DatabaseReport> &Report, TimePoint BegunAt,
                TimePoint Now);

  void tick(TimePoint Now);
  /// Time until the group has a leader that may be used; nothing: unknown.
  std::optional<Milliseconds> leaderExpectedIn(const GroupId &Group,
                                               TimePoint Now) const;
  PromotionStage stageOf(const GroupId &Group) const;

private:
  struct TimedReport {
    DatabaseReport Report;
    TimePoint BegunAt;
  };
  struct GroupPromotion {
    PromotionStage Stage = PromotionStage::Watching;
    PromotionReason Reason = PromotionReason::None;
    TimePoint StageSince;
    /// First moment at which the reason was seen.
    std::optional<TimePoint> SuspectedAt;
    /// Revision of the record and when this host first saw it.
    std::uint64_t SeenRevision = 0;
    TimePoint SeenAt;
    DatabaseId OldLeader;
    /// The old leader has not answered the question of this comparison.
    bool OldLeaderFailed = false;
    DatabaseId NextLeader;
    /// A claim was sent whose end is not known.
    bool ClaimWritePending = false;
    /// Revision of this host's claim.
    std::uint64_t ClaimRevision = 0;
    TimePoint ClaimedAt;
    /// When all hosts went by the claim.
    std::optional<TimePoint> AllHostsUpdatedAt;
    /// The platform was asked under this claim.
    bool PlatformCalled = false;
    /// The promotion is another host's, and only its end is written here.
    bool CompletingForHolder = false;
    /// When the claimed leader was first listed as primary.
    std::optional<TimePoint> ListedPrimarySince;
    /// The platform has answered that it promotes.
    bool Accepted = false;
    /// When the other members had reported that they are paused.
    std::optional<TimePoint> PausedAt;
    std::optional<TimePoint> AskedAt;
    std::map<DatabaseId, TimedReport> Reports;
    std::uint64_t LeadingTerm = 0;
  };

  void watch(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  void watchClaim(const GroupId &Group, const LeadershipRecord &Claim,
                  GroupPromotion &Promotion, TimePoint Now);
  void createFirstRecord(const GroupId &Group, GroupPromotion &Promotion,
                         TimePoint Now);
  bool isOwnClaim(const LeadershipRecord &Record,
                  const GroupPromotion &Promotion) const;
  void beginWaiting(const GroupId &Group, GroupPromotion &Promotion,
                    std::uint64_t ClaimRevision, TimePoint Now);
  bool mayCompleteForHolder(const LeadershipRecord &Record,
                            GroupPromotion &Promotion, TimePoint Now) const;
  PromotionReason reasonToReplace(const GroupId &Group,
                                  const LeadershipRecord &Record,
                                  TimePoint Now) const;
  bool isUnreachable(const DatabaseInfo &Leader, TimePoint Now) const;
  std::size_t rank(TimePoint Now) const;
  void beginComparing(const GroupId &Group, GroupPromotion &Promotion,
                      PromotionReason Reason, TimePoint Now);
  void compare(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  std::optional<DatabaseId>
  bestCandidate(const GroupId &Group, const GroupPromotion &Promotion) const;
  bool hasEnoughReports(const GroupId &Group,
                        const GroupPromotion &Promotion) const;
  std::uint64_t requiredTerm(const LeadershipRecord *Record,
                             const GroupPromotion &Promotion) const;
  bool isLeading(const GroupId &Group, const GroupPromotion &Promotion,
                 TimePoint Now) const;
  void claim(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  void waitForOldLeaderExpiry(const GroupId &Group, GroupPromotion &Promotion,
                              TimePoint Now);
  bool isCaughtUp(const GroupPromotion &Promotion, TimePoint Stopped) const;
  static bool isPaused(const GroupPromotion &Promotion,
                       const DatabaseId &Database);
  bool pauseMembers(const GroupId &Group, GroupPromotion &Promotion,
                    TimePoint Now);
  bool hasUnpausedMember(const GroupId &Group,
                         const GroupPromotion &Promotion) const;
  void resumeOthers(const GroupId &Group, const GroupPromotion &Promotion);
  void promote(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  void verify(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  void settle(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  void requestReports(const GroupId &Group, GroupPromotion &Promotion,
                      Milliseconds Interval, TimePoint Now);
  void enter(const GroupId &Group, GroupPromotion &Promotion,
             PromotionStage Stage, TimePoint Now, std::string_view Detail = {});

  const DatabaseTable &Table_;
  const HostTable &Hosts_;
  LeaderAuthority &Authority_;
  Hooks Hooks_;
  LeaseManager Lease_;
  bool RecordsListed_ = false;
  std::optional<TimePoint> ListTrustedSince_;
  std::optional<TimePoint> StoreReachedSince_;
  std::map<GroupId, std::uint32_t> SynchronousReplicas_;
  std::map<GroupId, GroupPromotion> Promotions_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_PROMOTIONSYSTEM_H
