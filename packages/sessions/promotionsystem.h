#ifndef NUTMEGLOOM_SESSIONS_PROMOTIONSYSTEM_H
#define NUTMEGLOOM_SESSIONS_PROMOTIONSYSTEM_H

#include "sessions/databasetable.h"
#include "sessions/hosttable.h"
#include "sessions/leaderauthority.h"
#include "sessions/leasemanager.h"
#include "sessions/logcomparison.h"
#include "sessions/restoredrecords.h"

#include <functional>

namespace nutmegloom {

/// Reason for replacing a group's leader.
enum class PromotionReason {
  None,
  Draining,
  Gone,
  Silent,
  Demoted,
  /// The store came back without the group's latest record.
  RecordLost,
};
std::string_view nameOf(PromotionReason Reason);

/// Stage of a promotion at this host.
enum class PromotionStage {
  /// No promotion is in progress here; the leader is monitored.
  Watching,
  /// Reports of the group's databases are collected and their logs compared.
  Comparing,
  /// The claim, a record that names the next leader, is being written.
  Claiming,
  /// Waiting until no host may use the old leader any more.
  Waiting,
  /// The platform was asked to promote the next leader.
  Promoting,
  /// The promoted database is asked whether it is the primary.
  Verifying,
  /// The record that allows hosts to use the new leader is being written.
  Settling,
};
std::string_view nameOf(PromotionStage Stage);

/// Outcome of a promotion request to the platform.
enum class PromotionOutcome { Accepted, NotRunning, Refused, Unknown };

/// Change of a promotion's stage, for the log.
struct PromotionReport {
  GroupId Group;
  PromotionStage Stage = PromotionStage::Watching;
  PromotionReason Reason = PromotionReason::None;
  DatabaseId Candidate;
  std::uint64_t Token = 0;
  std::string_view Detail;
};

/// Detects leaders that fail, drain or are removed, and has another database
/// promoted in their place.
///
/// Only the holder of the promotion lease requests promotions from the
/// platform, with the lease's fencing token. Before that it replaces the
/// group's record in the store by a claim, in a conditional write. No host may
/// use the old leader once it has the claim, or once its latest confirmation is
/// older than LeadershipValidity; only then the platform is asked. If the
/// holder fails during a promotion, another host acquires the lease and claims
/// the record again.
class PromotionSystem {
public:
  struct Hooks {
    /// Replaces the record if its revision in the store is still Expected (not
    /// set: it does not exist). The result is passed to onWritten.
    std::function<void(const LeadershipRecord &, StoreRevision Expected)> Write;
    LeaseManager::Write WriteLease;
    /// Asks the platform for a promotion. mayRequest() must be asked again
    /// immediately before the request is sent, for example once a connection is
    /// open. The result is passed to onPromoted.
    std::function<void(const GroupId &, const DatabaseId &,
                       std::uint64_t Token)>
        Promote;
    /// Reads the list of hosts again. The result is passed to
    /// HostTable::applyListed.
    std::function<void()> ListHosts;
    /// Reads the list of databases again. setDatabasesListedAt() is called when
    /// the result has been applied.
    std::function<void()> ListDatabases;
    /// Sends a command to a database. Its report is passed to onReport.
    std::function<void(const DatabaseListing &, const DatabaseCommand &)> Ask;
    std::function<void(const PromotionReport &)> Report;
  };

  PromotionSystem(const DatabaseTable &Table, const HostTable &Hosts,
                  LeaderAuthority &Authority, Hooks Callbacks);

  /// Handles a list of all records in the store: a group without a known record
  /// has none. Era: of the store when it answered.
  void onRecordsListed(const std::vector<LeadershipRecord> &Records,
                       std::uint64_t Era, TimePoint Now);
  /// Sets since when the store's list of databases has been watched without
  /// interruption; nothing: it is not being watched.
  void setListTrustedSince(std::optional<TimePoint> Since) {
    ListTrustedSince_ = Since;
  }
  /// Sets when the latest read of the list of databases began that has been
  /// applied.
  void setDatabasesListedAt(TimePoint BegunAt) { DatabasesListedAt_ = BegunAt; }
  /// Sets since when the store has answered all calls of this host; nothing:
  /// the latest call failed.
  void setStoreReachedSince(std::optional<TimePoint> Since) {
    StoreReachedSince_ = Since;
  }
  void setSynchronousReplicas(const GroupId &Group, std::uint32_t Count) {
    SynchronousReplicas_[Group] = Count;
  }

  /// Handles the log position of a group's leader, as it reported it to this
  /// host or another one: commits up to it may have been acknowledged.
  void onLeaderPosition(const GroupId &Group, Position Log);

  LeaseManager &lease() { return Lease_; }
  const LeaseManager &lease() const { return Lease_; }

  void onWritten(const GroupId &Group, WriteOutcome Outcome,
                 const LeadershipRecord &Current, TimePoint Now);
  void onPromoted(const GroupId &Group, PromotionOutcome Outcome,
                  TimePoint Now);
  /// True while a promotion of the group with this token may be requested: the
  /// lease is held, and the group's record is still this host's claim.
  bool mayRequest(const GroupId &Group, std::uint64_t Token,
                  TimePoint Now) const;
  void onReport(const DatabaseId &Database,
                const std::optional<DatabaseReport> &Report, TimePoint BegunAt,
                TimePoint Now);

  void tick(TimePoint Now);
  /// Expected time until the group has a leader that may be used; nothing:
  /// unknown, or the group has one.
  std::optional<Milliseconds> leaderExpectedIn(const GroupId &Group,
                                               TimePoint Now) const;
  PromotionStage stageOf(const GroupId &Group) const;

private:
  struct GroupPromotion {
    PromotionStage Stage = PromotionStage::Watching;
    PromotionReason Reason = PromotionReason::None;
    TimePoint StageSince;
    /// When a reason to replace the leader was first seen.
    std::optional<TimePoint> SuspectedAt;
    /// Revision of the group's record, and when this host first saw it.
    StoreRevision SeenRevision;
    TimePoint SeenAt;
    DatabaseId OldLeader;
    /// The old leader failed to answer in the stage Comparing.
    bool OldLeaderFailed = false;
    DatabaseId NextLeader;
    /// The next leader was listed as draining when it was chosen.
    bool NextLeaderDrains = false;
    /// The write of a claim was begun, and its outcome is unknown.
    bool ClaimWritePending = false;
    /// Revision of this host's claim.
    StoreRevision ClaimRevision;
    TimePoint ClaimedAt;
    /// When all hosts were first known to use the claim.
    std::optional<TimePoint> AllHostsUpdatedAt;
    /// The platform was asked for a promotion under this claim.
    bool PlatformCalled = false;
    /// The promotion was requested by another host; this host only writes the
    /// final record.
    bool CompletingForHolder = false;
    /// When the claimed leader was first listed as primary.
    std::optional<TimePoint> ListedPrimarySince;
    /// The platform has accepted the promotion request.
    bool Accepted = false;
    /// When the group's databases, except the old leader, were known to be
    /// paused.
    std::optional<TimePoint> PausedAt;
    std::optional<TimePoint> AskedAt;
    std::map<DatabaseId, TimedReport> Reports;
    std::uint64_t LeadingTerm = 0;
    /// Highest known log position of the leader.
    Position LeaderLog;
    /// Since when no candidate is known to have commits of the leader's term.
    std::optional<TimePoint> TermMissingSince;
  };

  void watch(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  void watchClaim(const GroupId &Group, const LeadershipRecord &Claim,
                  GroupPromotion &Promotion, TimePoint Now);
  void watchRestored(const GroupId &Group, GroupPromotion &Promotion,
                     TimePoint Now);
  StoreRevision replaceableRevision(const GroupId &Group) const;
  bool areHostsUpdated(const GroupId &Group, const GroupPromotion &Promotion,
                       TimePoint Now) const;
  void createFirstRecord(const GroupId &Group, GroupPromotion &Promotion,
                         TimePoint Now);
  bool isOwnClaim(const LeadershipRecord &Record,
                  const GroupPromotion &Promotion) const;
  void beginWaiting(const GroupId &Group, GroupPromotion &Promotion,
                    StoreRevision ClaimRevision, TimePoint Now);
  bool mayCompleteForHolder(const LeadershipRecord &Record,
                            GroupPromotion &Promotion, TimePoint Now) const;
  /// True when a database that is missing from the list is gone: the list has
  /// been up to date for longer than entries need to reappear.
  bool isListTrusted(TimePoint Now) const;
  PromotionReason reasonToReplace(const GroupId &Group,
                                  const LeadershipRecord &Record,
                                  TimePoint Now) const;
  bool isUnreachable(const DatabaseInfo &Leader, TimePoint Now) const;
  std::size_t rank(TimePoint Now) const;
  void beginComparing(const GroupId &Group, GroupPromotion &Promotion,
                      PromotionReason Reason, TimePoint Now);
  void compare(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  bool mustWaitForTerm(const GroupId &Group, GroupPromotion &Promotion,
                       const DatabaseId &Candidate, TimePoint Now) const;
  std::uint64_t begunTerm(const GroupId &Group,
                          const GroupPromotion &Promotion) const;
  LogComparison comparisonOf(const GroupId &Group,
                             const GroupPromotion &Promotion) const;
  std::uint64_t requiredTerm(const LeadershipRecord *Record,
                             const GroupPromotion &Promotion) const;
  bool isLeading(const GroupId &Group, const GroupPromotion &Promotion,
                 TimePoint Now) const;
  void claim(const GroupId &Group, GroupPromotion &Promotion, TimePoint Now);
  void waitForOldLeaderExpiry(const GroupId &Group, GroupPromotion &Promotion,
                              TimePoint Now);
  void promoteOnceCaughtUp(const GroupId &Group, GroupPromotion &Promotion,
                           TimePoint Now);
  bool isCaughtUp(const GroupPromotion &Promotion, TimePoint Stopped) const;
  static bool isPaused(const GroupPromotion &Promotion,
                       const DatabaseId &Database);
  bool pauseMembers(const GroupId &Group, GroupPromotion &Promotion,
                    TimePoint Now);
  bool hasUnpausedMember(const GroupId &Group,
                         const GroupPromotion &Promotion) const;
  void resumePaused(const GroupId &Group, const GroupPromotion &Promotion);
  bool hasNextLeaderLeft(const GroupPromotion &Promotion) const;
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
  RestoredRecords Restored_;
  std::optional<TimePoint> ListTrustedSince_;
  std::optional<TimePoint> DatabasesListedAt_;
  std::optional<TimePoint> StoreReachedSince_;
  std::map<GroupId, std::uint32_t> SynchronousReplicas_;
  std::map<GroupId, GroupPromotion> Promotions_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_PROMOTIONSYSTEM_H
