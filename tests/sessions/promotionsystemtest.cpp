#include "sessions/promotionsystem.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace nutmegloom {

/// Tests the promotions of one host with scripted reports of the databases.
class PromotionSystemTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PromotionSystemTest);
  CPPUNIT_TEST(choosesTheMostAdvancedReplica);
  CPPUNIT_TEST(rejectsTheLogOfAReplacedPrimary);
  CPPUNIT_TEST(adoptsAPrimaryThatStartedUnderAnotherId);
  CPPUNIT_TEST(waitsUntilTheNextLeaderReportsANewerTerm);
  CPPUNIT_TEST(waitsForASynchronousReplica);
  CPPUNIT_TEST(promotesADrainingReplicaThatAloneHoldsACommit);
  CPPUNIT_TEST(prefersAReplicaThatDoesNotDrain);
  CPPUNIT_TEST(waitsUntilAReplicaHasTheLogOfADrainingLeader);
  CPPUNIT_TEST(comparesLogsAgainOnceNoHostUsesTheLeader);
  CPPUNIT_TEST(comparesLogsAgainAfterThePauses);
  CPPUNIT_TEST(waitsForADatabaseWithTheLeadersTerm);
  CPPUNIT_TEST(promotesALogOfAnEarlierTermAtLast);
  CPPUNIT_TEST(waitsForTheTermOfTheRecordAfterARestart);
  CPPUNIT_TEST(waitsForTheTermBeforeAnUnfinishedClaim);
  CPPUNIT_TEST(completesAClaimAtTheClaimedTerm);
  CPPUNIT_TEST(keepsARecordThatWasSettledMeanwhile);
  CPPUNIT_TEST(keepsALeaderWithOldFailures);
  CPPUNIT_TEST(keepsALeaderThatReportsDuringTheComparison);
  CPPUNIT_TEST(estimatesWhenALeaderIsUsable);
  CPPUNIT_TEST(expectsAnExpiredEntryBackAtAnyMoment);
  CPPUNIT_TEST(settlesThePromotionOfAnUnresponsiveHolder);
  CPPUNIT_TEST(continuesAfterLostWriteAnswers);
  CPPUNIT_TEST(renewsItsLeaseWithTheSameToken);
  CPPUNIT_TEST(respectsTheLeaseOfAnotherHost);
  CPPUNIT_TEST(requestsNothingWithAnExpiredLease);
  CPPUNIT_TEST(requestsNothingUnderAReplacedClaim);
  CPPUNIT_TEST(promotesNoDatabaseThatDrainsByTheNewerList);
  CPPUNIT_TEST(replacesARestoredRecord);
  CPPUNIT_TEST(writesARecordThatTheStoreHasLost);
  CPPUNIT_TEST(requestsNothingUnderALeaseOfAnEarlierEra);
  CPPUNIT_TEST(abandonsAClaimThatTheStoreHasLost);
  CPPUNIT_TEST(pausesDatabasesWhileTheListOfHostsMayBeRestored);
  CPPUNIT_TEST_SUITE_END();

  TimePoint Now_{std::chrono::hours(1)};
  DatabaseTable Table_{[](const ZoneName &) { return Distance::SameZone; }};
  HostTable Hosts_{"self", 7};
  LeaderAuthority Authority_;
  std::vector<LeadershipRecord> Written_;
  /// Revisions that the writes of Written_ expected.
  std::vector<StoreRevision> ExpectedRevisions_;
  std::vector<PromotionLease> WrittenLeases_;
  std::vector<std::pair<DatabaseId, std::uint64_t>> Promoted_;
  /// Reads of the list of databases are answered at once.
  bool ListsDatabases_ = true;
  /// Called when a promotion is requested; optional.
  std::function<void(std::uint64_t Token)> OnPromote_;
  std::map<DatabaseId, DatabaseReport> Reports_;
  std::uint64_t Revision_ = 100;
  std::uint64_t Era_ = 0;
  PromotionSystem System_{Table_, Hosts_, Authority_, hooks()};

  PromotionSystem::Hooks hooks() {
    PromotionSystem::Hooks Hooks;
    Hooks.Write = [this](const LeadershipRecord &Record,
                         StoreRevision Expected) {
      Written_.push_back(Record);
      ExpectedRevisions_.push_back(Expected);
    };
    Hooks.WriteLease = [this](const PromotionLease &Lease, StoreRevision) {
      WrittenLeases_.push_back(Lease);
    };
    Hooks.ListHosts = [this] {
      std::map<HostName, ListedHost> Listed{{"self", {"x", "", ""}}};
      if (KeepsUnreachableHost_)
        Listed["gone"] = {"y", "", ""};
      Hosts_.applyListed(Listed, Now_);
    };
    Hooks.ListDatabases = [this] {
      if (ListsDatabases_)
        System_.setDatabasesListedAt(Now_);
    };
    Hooks.Promote = [this](const GroupId &, const DatabaseId &Id,
                           std::uint64_t Token) {
      Promoted_.emplace_back(Id, Token);
      if (OnPromote_)
        OnPromote_(Token);
    };
    Hooks.Ask = [](const DatabaseListing &, const DatabaseCommand &) {};
    Hooks.Report = [](const PromotionReport &) {};
    return Hooks;
  }

  void listDatabases(const std::vector<DatabaseId> &Ids,
                     const DatabaseId &Draining = {}) {
    std::vector<DatabaseListing> All;
    for (const DatabaseId &Id : Ids) {
      DatabaseListing Listing;
      Listing.Id = Id;
      Listing.Draining = Id == Draining;
      Listing.Group = "g";
      Listing.Role = DatabaseRole::Replica;
      All.push_back(Listing);
    }
    Table_.apply(All);
  }

  void setReport(const DatabaseId &Id, DatabaseRole Role, std::uint64_t Term,
                 std::uint64_t Index, std::uint64_t Paused = 0) {
    DatabaseReport Made;
    Made.Role = Role;
    Made.Term = Term;
    Made.Received = {Term, Index};
    Made.PausedTerm = Paused;
    Reports_[Id] = Made;
  }

  /// Advances the clock by Span. Each step confirms the record, delivers the
  /// reports and answers writes and promotion calls.
  void run(Milliseconds Span) {
    for (TimePoint End = Now_ + Span; Now_ < End; Now_ += Milliseconds{50}) {
      if (const LeadershipRecord *Known = Authority_.recordOf("g"))
        Authority_.confirm(LeadershipRecord(*Known), Now_);
      System_.tick(Now_);
      for (const auto &[Id, Report] : Reports_)
        System_.onReport(Id, Report, Now_, Now_);
      if (DropsAnswers_)
        continue;
      if (AnsweredLeaseWrites_ < WrittenLeases_.size()) {
        PromotionLease Current = WrittenLeases_[AnsweredLeaseWrites_++];
        Current.Revision = StoreRevision(++Revision_, Era_);
        Current.WrittenInEra = Era_;
        System_.lease().onWritten(WriteOutcome::Written, Current, Now_);
      }
      if (AnsweredRecordWrites_ < Written_.size()) {
        LeadershipRecord Current = Written_[AnsweredRecordWrites_++];
        Current.Revision = StoreRevision(++Revision_, Era_);
        Current.WrittenInEra = Era_;
        System_.onWritten("g", WriteOutcome::Written, Current, Now_);
      }
      if (AnsweredPromotions_ < Promoted_.size()) {
        ++AnsweredPromotions_;
        System_.onPromoted("g", PromotionOutcome::Accepted, Now_);
      }
    }
  }

  /// Writes and promotion calls get no answer.
  bool DropsAnswers_ = false;
  /// A host that does not answer stays in the store's list.
  bool KeepsUnreachableHost_ = false;
  std::size_t AnsweredLeaseWrites_ = 0;
  std::size_t AnsweredRecordWrites_ = 0;
  std::size_t AnsweredPromotions_ = 0;

  /// Confirms the database as the settled leader, with a store that has been
  /// reachable for ten seconds.
  void setLeader(const DatabaseId &Leader, std::uint64_t Term) {
    LeadershipRecord Record;
    Record.Group = "g";
    Record.Leader = Leader;
    Record.Term = Term;
    Record.Revision = 1;
    Authority_.confirm(Record, Now_);
    System_.onRecordsListed({}, Era_, Now_);
    System_.setStoreReachedSince(Now_ - std::chrono::seconds(10));
    System_.setListTrustedSince(Now_ - std::chrono::seconds(10));
  }

  void choosesTheMostAdvancedReplica() {
    listDatabases({"b", "c"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    setReport("c", DatabaseRole::Replica, 3, 12);
    run(Milliseconds{500});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("c"), Promoted_.front().first);
  }

  // The primary of term 3 was cut off when term 4 began. Its log is longer, but
  // term 4 does not continue that log.
  void rejectsTheLogOfAReplacedPrimary() {
    listDatabases({"a", "b"});
    setLeader("c", 4);
    setReport("a", DatabaseRole::Primary, 3, 500);
    setReport("b", DatabaseRole::Replica, 4, 40);
    run(Milliseconds{500});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("b"), Promoted_.front().first);
  }

  // Guards against a group without a leader: a promotion must not wait for a
  // primary to report a pause, which only replicas report.
  void adoptsAPrimaryThatStartedUnderAnotherId() {
    Hosts_.applyListed({{"self", {"x", "", ""}}, {"gone", {"y", "", ""}}},
                       Now_);
    listDatabases({"a2", "b", "c"});
    setLeader("a", 3);
    setReport("a2", DatabaseRole::Primary, 3, 12);
    setReport("b", DatabaseRole::Replica, 3, 12, 4);
    setReport("c", DatabaseRole::Replica, 3, 12, 4);
    run(Milliseconds{3000});
    CPPUNIT_ASSERT(System_.stageOf("g") == PromotionStage::Watching);
    const LeadershipRecord *Record = Authority_.recordOf("g");
    CPPUNIT_ASSERT_EQUAL(DatabaseId("a2"), Record->Leader);
    CPPUNIT_ASSERT(Record->Phase == LeadershipPhase::Settled);
  }

  void waitsUntilTheNextLeaderReportsANewerTerm() {
    listDatabases({"b"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{800});
    CPPUNIT_ASSERT(System_.stageOf("g") == PromotionStage::Verifying);
    setReport("b", DatabaseRole::Primary, 4, 10);
    run(Milliseconds{200});
    CPPUNIT_ASSERT(Authority_.recordOf("g")->Phase == LeadershipPhase::Settled);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Authority_.recordOf("g")->Term);
  }

  // Guards against choosing a replica before both have reported: the other one
  // may be the only one that holds the last acknowledged commit.
  void waitsForASynchronousReplica() {
    listDatabases({"b", "c"});
    System_.setSynchronousReplicas("g", 1);
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{3000});
    CPPUNIT_ASSERT(Promoted_.empty());
    setReport("c", DatabaseRole::Replica, 3, 11);
    run(Milliseconds{3000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("c"), Promoted_.front().first);
  }

  // Guards against losing commits that only a draining replica has received: it
  // counts for their acknowledgement, so it must be a candidate as well.
  void promotesADrainingReplicaThatAloneHoldsACommit() {
    listDatabases({"b", "c", "d"}, "b");
    System_.setSynchronousReplicas("g", 1);
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 12);
    setReport("c", DatabaseRole::Replica, 3, 10);
    setReport("d", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{1000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("b"), Promoted_.front().first);
  }

  void prefersAReplicaThatDoesNotDrain() {
    listDatabases({"b", "c"}, "b");
    System_.setSynchronousReplicas("g", 1);
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 12);
    setReport("c", DatabaseRole::Replica, 3, 12);
    run(Milliseconds{1000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("c"), Promoted_.front().first);
  }

  // Guards against losing commits in a planned change while replicas receive
  // nothing: the draining leader may be the only database that still has the
  // commits of an earlier term.
  void waitsUntilAReplicaHasTheLogOfADrainingLeader() {
    listDatabases({"a", "b", "c"}, "a");
    System_.setSynchronousReplicas("g", 1);
    setLeader("a", 4);
    setReport("a", DatabaseRole::Primary, 4, 20);
    setReport("b", DatabaseRole::Replica, 3, 11);
    setReport("c", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{5000});
    CPPUNIT_ASSERT(Promoted_.empty());
    setReport("c", DatabaseRole::Replica, 4, 20);
    run(Milliseconds{3000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("c"), Promoted_.front().first);
  }

  // Guards against losing commits that hosts made at the old leader, and that
  // only the other replica received, between the reports and the claim.
  void comparesLogsAgainOnceNoHostUsesTheLeader() {
    listDatabases({"b", "c"});
    System_.setSynchronousReplicas("g", 1);
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 11);
    setReport("c", DatabaseRole::Replica, 3, 10);
    for (int Step = 0; Step < 20 && Written_.empty(); ++Step)
      run(Milliseconds{50});
    CPPUNIT_ASSERT_EQUAL(DatabaseId("b"), Written_.back().Leader);
    setReport("c", DatabaseRole::Replica, 3, 14);
    run(Milliseconds{3000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("c"), Promoted_.front().first);
  }

  // The same while a listed host is out of reach: it may use the old leader
  // until its confirmation expires, and the databases are paused one by one.
  void comparesLogsAgainAfterThePauses() {
    Hosts_.applyListed({{"self", {"x", "", ""}}, {"gone", {"y", "", ""}}},
                       Now_);
    KeepsUnreachableHost_ = true;
    listDatabases({"b", "c"});
    System_.setSynchronousReplicas("g", 1);
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 11, 4);
    setReport("c", DatabaseRole::Replica, 3, 10, 4);
    for (int Step = 0; Step < 20 && Written_.empty(); ++Step)
      run(Milliseconds{50});
    CPPUNIT_ASSERT_EQUAL(DatabaseId("b"), Written_.back().Leader);
    run(Milliseconds{200});
    setReport("c", DatabaseRole::Replica, 3, 14, 4);
    run(Milliseconds{6000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("c"), Promoted_.front().first);
  }

  // Guards against dropping all commits of a term: the leader is silent, and a
  // database that was down during the whole term is the only one that answers.
  void waitsForADatabaseWithTheLeadersTerm() {
    listDatabases({"a"});
    setLeader("b", 5);
    run(Milliseconds{50});
    System_.onLeaderPosition("g", {5, 20});
    setReport("a", DatabaseRole::Replica, 3, 100);
    run(Milliseconds{8000});
    CPPUNIT_ASSERT(Promoted_.empty());
    // Callers are told to come back instead of being held.
    CPPUNIT_ASSERT(System_.leaderExpectedIn("g", Now_) > Milliseconds{1000});
    listDatabases({"a", "b"});
    setReport("b", DatabaseRole::Replica, 5, 20);
    run(Milliseconds{3000});
    CPPUNIT_ASSERT(Promoted_.empty() || Promoted_.front().first == "b");
    CPPUNIT_ASSERT_EQUAL(DatabaseId("b"), Authority_.recordOf("g")->Leader);
  }

  // Guards against a group that stays without a leader: the databases that had
  // the term are gone for good.
  /// The leader of term 4 is gone, the database that answers has the log of
  /// term 3, and this process has seen no position of the leader.
  void checkWaitForTerm4() {
    setReport("b", DatabaseRole::Replica, 3, 500);
    run(Milliseconds{14000});
    CPPUNIT_ASSERT(Promoted_.empty());
    listDatabases({"b", "c"});
    setReport("c", DatabaseRole::Replica, 4, 40);
    run(Milliseconds{1500});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("c"), Promoted_.front().first);
  }

  // Guards against acknowledged commits that are dropped because all processes
  // were restarted: none of them remembers the leader's position, but the
  // record has its term.
  void waitsForTheTermOfTheRecordAfterARestart() {
    listDatabases({"b"});
    setLeader("a", 4);
    checkWaitForTerm4();
  }

  // The same while a claim replaces that record: its term has not begun.
  void waitsForTheTermBeforeAnUnfinishedClaim() {
    listDatabases({"b"});
    setLeader("a", 4);
    LeadershipRecord Claim;
    Claim.Group = "g";
    Claim.Leader = "c";
    Claim.Term = 5;
    Claim.Phase = LeadershipPhase::Promoting;
    Claim.Revision = 2;
    Authority_.confirm(Claim, Now_);
    checkWaitForTerm4();
  }

  void promotesALogOfAnEarlierTermAtLast() {
    listDatabases({"a"});
    setLeader("b", 5);
    run(Milliseconds{50});
    System_.onLeaderPosition("g", {5, 20});
    setReport("a", DatabaseRole::Replica, 3, 100);
    run(Milliseconds{20000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("a"), Promoted_.front().first);
  }

  // The first holder of the lease failed before its promotion call, so the term
  // that it had claimed never began. The next promotion begins this term.
  void completesAClaimAtTheClaimedTerm() {
    listDatabases({"b"});
    setLeader("a", 3);
    LeadershipRecord Claim;
    Claim.Group = "g";
    Claim.Leader = "b";
    Claim.Term = 4;
    Claim.Phase = LeadershipPhase::Promoting;
    Claim.Revision = 2;
    Authority_.confirm(Claim, Now_);
    setReport("b", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{4000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    setReport("b", DatabaseRole::Primary, 4, 10);
    run(Milliseconds{300});
    CPPUNIT_ASSERT(Authority_.recordOf("g")->Phase == LeadershipPhase::Settled);
  }

  // Guards against a second promotion: while this host waits for the lease,
  // another host may complete the promotion and mark the leader's record as
  // settled.
  void keepsARecordThatWasSettledMeanwhile() {
    listDatabases({"a", "b"});
    setLeader("a", 3);
    LeadershipRecord Record;
    Record.Group = "g";
    Record.Leader = "b";
    Record.Term = 4;
    Record.Phase = LeadershipPhase::Promoting;
    Record.Revision = 2;
    Authority_.confirm(Record, Now_);
    setReport("a", DatabaseRole::Replica, 3, 10);
    setReport("b", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{1500});
    System_.lease().onRead({"other", 1, 4, 50}, Now_);
    run(Milliseconds{1500});
    CPPUNIT_ASSERT(System_.stageOf("g") == PromotionStage::Comparing);
    Record.Phase = LeadershipPhase::Settled;
    Record.Revision = 3;
    Authority_.confirm(Record, Now_);
    run(Milliseconds{4000});
    CPPUNIT_ASSERT(Written_.empty());
    CPPUNIT_ASSERT(Promoted_.empty());
  }

  // Guards against a host that has just reconnected replacing a leader that was
  // promoted meanwhile, because of failures that the host had counted before it
  // lost its connection.
  void keepsALeaderWithOldFailures() {
    listDatabases({"a", "b"});
    setLeader("a", 3);
    for (int Count = 0; Count < 3; ++Count)
      Table_.onFailure("a", false, Now_);
    Now_ += Milliseconds{1500};
    setReport("a", DatabaseRole::Primary, 3, 10);
    setReport("b", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{1000});
    CPPUNIT_ASSERT(Written_.empty());
  }

  void keepsALeaderThatReportsDuringTheComparison() {
    listDatabases({"a", "b"});
    setLeader("a", 3);
    Table_.onFailure("a", true, Now_ - Milliseconds{1000});
    Table_.onFailure("a", true, Now_);
    setReport("a", DatabaseRole::Primary, 3, 10);
    setReport("b", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{600});
    CPPUNIT_ASSERT(Written_.empty());
  }

  // Guards against an estimate that is too short while a promotion waits for a
  // host that is gone: statements would be held until their time-out instead of
  // being refused.
  // Guards against refusing statements after an outage of the store, when the
  // leader lives and only its entry has expired.
  void expectsAnExpiredEntryBackAtAnyMoment() {
    listDatabases({"b", "c"});
    setLeader("a", 3);
    System_.setListTrustedSince(Now_ - Milliseconds{300});
    CPPUNIT_ASSERT(!System_.leaderExpectedIn("g", Now_));
    System_.setListTrustedSince(Now_ - Milliseconds{2600});
    CPPUNIT_ASSERT(System_.leaderExpectedIn("g", Now_));
  }

  void estimatesWhenALeaderIsUsable() {
    listDatabases({"a", "b"});
    setLeader("a", 3);
    LeadershipRecord Claim;
    Claim.Group = "g";
    Claim.Leader = "b";
    Claim.Phase = LeadershipPhase::Promoting;
    Claim.Revision = 2;
    Authority_.confirm(Claim, Now_);
    System_.tick(Now_);
    CPPUNIT_ASSERT(*System_.leaderExpectedIn("g", Now_) < Milliseconds{1000});
    Hosts_.applyListed({{"self", {"x", "", ""}}, {"gone", {"y", "", ""}}},
                       Now_);
    CPPUNIT_ASSERT(*System_.leaderExpectedIn("g", Now_) > Milliseconds{1500});
    // The end of an overdue promotion is unknown. The estimate is then a fixed
    // retry time, so that statements with an earlier deadline are refused.
    TimePoint Late = Now_ + Milliseconds{4000};
    CPPUNIT_ASSERT(*System_.leaderExpectedIn("g", Late) > Milliseconds{1000});
  }

  // Guards against a primary that no host uses for seconds: the host that holds
  // the lease may stop responding right after its promotion call, so another
  // host must complete the promotion.
  void settlesThePromotionOfAnUnresponsiveHolder() {
    listDatabases({"b"});
    setLeader("a", 3);
    LeadershipRecord Claim;
    Claim.Group = "g";
    Claim.Leader = "b";
    Claim.Term = 4;
    Claim.Phase = LeadershipPhase::Promoting;
    Claim.Holder = "other";
    Claim.Revision = 2;
    Authority_.confirm(Claim, Now_);
    System_.lease().onRead({"other", 1, 4, 50}, Now_);
    DatabaseListing Listing = Table_.find("b")->Listing;
    Listing.Role = DatabaseRole::Primary;
    Table_.apply({Listing});
    // The role in the list is not enough: the database still reports a term
    // before the claimed one.
    setReport("b", DatabaseRole::Primary, 3, 10);
    run(Milliseconds{700});
    CPPUNIT_ASSERT(Written_.empty());
    setReport("b", DatabaseRole::Primary, 4, 10);
    run(Milliseconds{300});
    CPPUNIT_ASSERT(Authority_.recordOf("g")->Phase == LeadershipPhase::Settled);
    CPPUNIT_ASSERT(Promoted_.empty());
    CPPUNIT_ASSERT(WrittenLeases_.empty());
  }

  // The store executes both writes, but their answers are lost.
  void continuesAfterLostWriteAnswers() {
    listDatabases({"b"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    DropsAnswers_ = true;
    run(Milliseconds{400});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), WrittenLeases_.size());
    PromotionLease Lease = WrittenLeases_.back();
    Lease.Revision = ++Revision_;
    System_.lease().onWritten(WriteOutcome::Unknown, {}, Now_);
    System_.lease().onRead(Lease, Now_);
    run(Milliseconds{300});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Written_.size());
    System_.onWritten("g", WriteOutcome::Unknown, {}, Now_);
    LeadershipRecord Claim = Written_.back();
    Claim.Holder = "self";
    Claim.Revision = ++Revision_;
    Authority_.confirm(Claim, Now_);
    run(Milliseconds{300});
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Promoted_.size());
  }

  void renewsItsLeaseWithTheSameToken() {
    PromotionLease Own{"self", 7, 9, 50};
    System_.lease().onRead(Own, Now_);
    listDatabases({"b"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{500});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9), Promoted_.front().second);
  }

  void respectsTheLeaseOfAnotherHost() {
    listDatabases({"b"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    System_.lease().onRead({"other", 1, 4, 50}, Now_);
    run(Milliseconds{2000});
    CPPUNIT_ASSERT(WrittenLeases_.empty());
    run(Milliseconds{4000});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Promoted_.front().second);
  }

  void promoteAfterLossOfLeader() {
    listDatabases({"b"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    run(Milliseconds{500});
    CPPUNIT_ASSERT(!Promoted_.empty());
  }

  // Guards against a host that is suspended while it connects to the platform,
  // loses the lease meanwhile and sends its promotion with an old token.
  void requestsNothingWithAnExpiredLease() {
    bool AtOnce = false;
    bool AfterSuspension = true;
    bool WithOtherToken = true;
    OnPromote_ = [&](std::uint64_t Token) {
      AtOnce = System_.mayRequest("g", Token, Now_);
      AfterSuspension =
          System_.mayRequest("g", Token, Now_ + Milliseconds{4000});
      WithOtherToken = System_.mayRequest("g", Token + 1, Now_);
    };
    promoteAfterLossOfLeader();
    CPPUNIT_ASSERT(AtOnce);
    CPPUNIT_ASSERT(!AfterSuspension);
    CPPUNIT_ASSERT(!WithOtherToken);
  }

  void requestsNothingUnderAReplacedClaim() {
    bool Allowed = true;
    OnPromote_ = [&](std::uint64_t Token) {
      LeadershipRecord Other = *Authority_.recordOf("g");
      Other.Holder = "other";
      Other.Revision = ++Revision_;
      Authority_.confirm(Other, Now_);
      Allowed = System_.mayRequest("g", Token, Now_);
    };
    promoteAfterLossOfLeader();
    CPPUNIT_ASSERT(!Allowed);
  }

  // Guards against a host with a list of databases that is older than its
  // claim: it promoted a database that had drained for seconds.
  void promotesNoDatabaseThatDrainsByTheNewerList() {
    listDatabases({"b", "c"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 12);
    setReport("c", DatabaseRole::Replica, 3, 10);
    ListsDatabases_ = false;
    run(Milliseconds{600});
    CPPUNIT_ASSERT(!Written_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("b"), Written_.back().Leader);
    CPPUNIT_ASSERT(Promoted_.empty());
    listDatabases({"b", "c"}, "b");
    ListsDatabases_ = true;
    System_.setDatabasesListedAt(Now_);
    run(Milliseconds{1500});
    CPPUNIT_ASSERT(!Promoted_.empty());
    CPPUNIT_ASSERT_EQUAL(DatabaseId("c"), Promoted_.front().first);
  }

  /// A group whose leader is "b" in term 4 of an era, as this host knows it.
  void settleInFirstEra() {
    listDatabases({"a", "b"});
    setReport("a", DatabaseRole::Replica, 4, 10);
    setReport("b", DatabaseRole::Primary, 4, 12);
    Era_ = 1;
    LeadershipRecord Record;
    Record.Group = "g";
    Record.Leader = "b";
    Record.Term = 4;
    Record.Revision = StoreRevision(100, 1);
    Record.WrittenInEra = 1;
    Authority_.confirm(Record, Now_);
    System_.lease().onRead({"self", 7, 6, StoreRevision(90, 1), 1}, Now_);
    System_.onRecordsListed({}, Era_, Now_);
    System_.setStoreReachedSince(Now_ - std::chrono::seconds(10));
    System_.setListTrustedSince(Now_ - std::chrono::seconds(10));
  }

  /// The store comes back from a copy in which "a" leads in term 3, or without
  /// a record, and without the lease.
  void restoreStore(bool HasRecord) {
    Era_ = 2;
    Revision_ = 60;
    LeadershipRecord Old;
    Old.Group = "g";
    Old.Leader = "a";
    Old.Term = 3;
    Old.Revision = StoreRevision(50, 2);
    Old.WrittenInEra = 1;
    System_.lease().onAbsent(2, Now_);
    std::vector<LeadershipRecord> Records;
    if (HasRecord)
      Records.push_back(Old);
    System_.onRecordsListed(Records, Era_, Now_);
  }

  void checkSettledAgain(StoreRevision Expected) {
    run(HolderTimeout - Milliseconds{100});
    CPPUNIT_ASSERT(Written_.empty());
    run(Milliseconds{1000});
    CPPUNIT_ASSERT(ExpectedRevisions_.front() == Expected);
    const LeadershipRecord *Record = Authority_.recordOf("g");
    CPPUNIT_ASSERT_EQUAL(DatabaseId("b"), Record->Leader);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Record->Term);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Record->Revision.Era);
    CPPUNIT_ASSERT(Record->Phase == LeadershipPhase::Settled);
    CPPUNIT_ASSERT_EQUAL(DatabaseId("b"), Promoted_.front().first);
    CPPUNIT_ASSERT(Promoted_.front().second > 6);
  }

  // Guards against a group whose primary is never replaced again: claims
  // expected the revision of a record that the store has lost.
  void replacesARestoredRecord() {
    settleInFirstEra();
    restoreStore(true);
    checkSettledAgain(StoreRevision(50, 2));
  }

  void writesARecordThatTheStoreHasLost() {
    settleInFirstEra();
    restoreStore(false);
    checkSettledAgain(StoreRevision(0, 2));
  }

  // Guards against two hosts that promote: another one may acquire the lease
  // that the store has lost.
  void requestsNothingUnderALeaseOfAnEarlierEra() {
    listDatabases({"b"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    bool Before = false;
    bool After = true;
    OnPromote_ = [&](std::uint64_t Token) {
      Before = System_.mayRequest("g", Token, Now_);
      System_.lease().onAbsent(1, Now_);
      After = System_.mayRequest("g", Token, Now_);
    };
    run(Milliseconds{500});
    CPPUNIT_ASSERT(Before);
    CPPUNIT_ASSERT(!After);
  }

  // Guards against a promotion under a claim that is no longer in the store:
  // hosts may use the leader of the restored record.
  void abandonsAClaimThatTheStoreHasLost() {
    listDatabases({"b"});
    setLeader("a", 3);
    setReport("b", DatabaseRole::Replica, 3, 10);
    ListsDatabases_ = false;
    run(Milliseconds{400});
    CPPUNIT_ASSERT(System_.stageOf("g") == PromotionStage::Waiting);
    restoreStore(true);
    run(Milliseconds{50});
    CPPUNIT_ASSERT(System_.stageOf("g") == PromotionStage::Watching);
  }

  // Guards against a host that is missing from the restored list of hosts and
  // uses the former leader: without a pause, the reports of the databases
  // confirm that leader to it.
  void pausesDatabasesWhileTheListOfHostsMayBeRestored() {
    settleInFirstEra();
    restoreStore(true);
    Table_.apply({});
    listDatabases({"a"});
    Reports_.erase("b");
    run(Milliseconds{4000});
    CPPUNIT_ASSERT(!Written_.empty());
    CPPUNIT_ASSERT(Promoted_.empty());
    setReport("a", DatabaseRole::Replica, 4, 10, 5);
    run(Milliseconds{1500});
    CPPUNIT_ASSERT_EQUAL(DatabaseId("a"), Promoted_.front().first);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PromotionSystemTest);

} // namespace nutmegloom
