#include "testing/standindatabase/replicatedlog.h"

#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace nutmegloom::testing {

/// Model of a group of three databases that write, pull, fence, promote and
/// follow in any order.
class ReplicaGroupModel {
public:
  ReplicaGroupModel() {
    Logs_[0].initialize(true, "0");
    Logs_[1].initialize(false, "0");
    Logs_[2].initialize(false, "0");
  }

  /// Action is 0 to 5, Database 0 to 2.
  void applyAction(int Action, std::size_t Database) {
    switch (Action) {
    case 0:
    case 1:
      write(Database);
      break;
    case 2:
    case 3:
    case 4:
      pull(Database);
      break;
    default:
      failOver(Database);
    }
    recordConfirmedWrites();
  }

  /// Each write that a majority held while its term was the current one is in
  /// the log of the newest primary.
  bool keepsConfirmedWrites() const {
    const ReplicatedLog &Primary = newestPrimary();
    return std::all_of(Confirmed_.begin(), Confirmed_.end(),
                       [&](const Position &At) {
                         return Primary.termAt(At.Index) == At.Term;
                       });
  }

  /// Entries with the same term and index are identical in all logs.
  bool agreesOnEntries() const {
    for (const ReplicatedLog &Left : Logs_)
      for (const ReplicatedLog &Right : Logs_)
        if (!sharePrefix(Left, Right))
          return false;
    return true;
  }

private:
  static void discard(const JournalRecord &) {}

  static bool sharePrefix(const ReplicatedLog &Left,
                          const ReplicatedLog &Right) {
    const std::uint64_t Common = lastCommonIndex(
        Left.terms(), Left.received(), Right.terms(), Right.received());
    const PullReply Ours = Left.serve({0, {0, 0}}, Common);
    const PullReply Theirs = Right.serve({0, {0, 0}}, Common);
    for (std::uint64_t Index = 0; Index < Common; ++Index)
      if (Ours.Entries[Index].Result != Theirs.Entries[Index].Result ||
          Ours.Entries[Index].Term != Theirs.Entries[Index].Term)
        return false;
    const std::uint64_t Next = Common + 1;
    return Left.termAt(Next) == 0 || Left.termAt(Next) != Right.termAt(Next);
  }

  const ReplicatedLog &newestPrimary() const {
    return *std::max_element(
        Logs_.begin(), Logs_.end(),
        [](const ReplicatedLog &Left, const ReplicatedLog &Right) {
          return primaryTermOf(Left) < primaryTermOf(Right);
        });
  }

  static std::uint64_t primaryTermOf(const ReplicatedLog &Log) {
    return Log.role() == DatabaseRole::Primary ? Log.term() : 0;
  }

  /// A primary that has been replaced without being fenced still writes.
  void write(std::size_t Database) {
    ReplicatedLog &Log = Logs_[Database];
    if (Log.role() != DatabaseRole::Primary)
      return;
    LogEntry Entry;
    Entry.Result = std::to_string(++Written_);
    Log.append(Entry);
  }

  void pull(std::size_t Database) {
    ReplicatedLog &Log = Logs_[Database];
    const ReplicatedLog &Primary = newestPrimary();
    if (&Log == &Primary || !Log.follow(Primary.term(), "primary"))
      return;
    const PullReply Reply =
        Primary.serve({Log.term(), {Log.logTerm(), Log.received()}}, 2);
    if (Reply.Conflict)
      Log.truncateToCommon(Reply.Terms, Reply.Last);
    else
      Log.receive(Reply.Term, Reply.Entries);
  }

  /// Fences the two databases other than Absent and promotes the one with the
  /// more advanced log.
  void failOver(std::size_t Absent) {
    ReplicatedLog &Left = Logs_[(Absent + 1) % 3];
    ReplicatedLog &Right = Logs_[(Absent + 2) % 3];
    const std::uint64_t Term = std::max(Left.term(), Right.term()) + 1;
    if (!Left.fence(Term, "promoter") || !Right.fence(Term, "promoter"))
      return;
    const bool TakeLeft = std::tuple(Left.logTerm(), Left.received()) >=
                          std::tuple(Right.logTerm(), Right.received());
    (TakeLeft ? Left : Right).promote(Term, "promoter");
  }

  void recordConfirmedWrites() {
    const ReplicatedLog &Primary = newestPrimary();
    std::vector<std::uint64_t> HeldIndexes;
    for (const ReplicatedLog &Log : Logs_)
      if (Log.term() == Primary.term() && Log.logTerm() == Primary.term())
        HeldIndexes.push_back(std::min(Log.received(), Primary.received()));
    if (HeldIndexes.size() < 2)
      return;
    std::sort(HeldIndexes.begin(), HeldIndexes.end(), std::greater<>());
    for (std::uint64_t Index = 1; Index <= HeldIndexes[1]; ++Index)
      Confirmed_.insert({Primary.termAt(Index), Index});
  }

  std::array<ReplicatedLog, 3> Logs_{
      ReplicatedLog(discard), ReplicatedLog(discard), ReplicatedLog(discard)};
  std::set<Position> Confirmed_;
  std::uint64_t Written_ = 0;
};

class ReplicationPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicationPropertyTest);
  CPPUNIT_TEST(keepsConfirmedWritesInAnyOrderOfEvents);
  CPPUNIT_TEST_SUITE_END();

  // If the simulated database lost confirmed writes by itself, scenarios would
  // fail without a fault of the product, or hide one.
  void keepsConfirmedWritesInAnyOrderOfEvents() {
    CPPUNIT_ASSERT(holdsForAll("confirmed writes are kept", [] {
      const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3)));
      ReplicaGroupModel Group;
      for (const auto &[Action, Database] : Steps) {
        Group.applyAction(Action, static_cast<std::size_t>(Database));
        RC_ASSERT(Group.keepsConfirmedWrites());
        RC_ASSERT(Group.agreesOnEntries());
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicationPropertyTest);

} // namespace nutmegloom::testing
