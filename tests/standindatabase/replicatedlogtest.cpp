#include "testing/standindatabase/replicatedlog.h"

#include "testing/standindatabase/journal.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace nutmegloom::testing {

static LogEntry makeWrite(const std::string &Key, const std::string &Value) {
  LogEntry Entry;
  Entry.Key = "write-" + Key + Value;
  Entry.Result = Value;
  Entry.Effects = {{Key, Value}};
  return Entry;
}

static void discard(const JournalRecord &) {}

class ReplicatedLogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicatedLogTest);
  CPPUNIT_TEST(grantsATermToOnePromoterOnly);
  CPPUNIT_TEST(rejectsWritesOfAFencedPrimary);
  CPPUNIT_TEST(startsATermWithAnEmptyEntry);
  CPPUNIT_TEST(truncatesADiscardedBranch);
  CPPUNIT_TEST(truncatesABranchThatIsLongerThanTheNewLog);
  CPPUNIT_TEST(dropsKeysOfADiscardedBranch);
  CPPUNIT_TEST(hidesEntriesUntilTheyAreApplied);
  CPPUNIT_TEST(rejectsEntriesOfAnotherTerm);
  CPPUNIT_TEST(restoresPromiseLogAndKeysFromTheJournal);
  CPPUNIT_TEST(dropsATornLastLine);
  CPPUNIT_TEST_SUITE_END();

  ReplicatedLog First_{discard};
  ReplicatedLog Second_{discard};

  /// Makes First_ primary of term 1 and Second_ its replica, with one entry
  /// each.
  void startPrimaryAndReplica() {
    First_.initialize(true, "");
    Second_.initialize(false, "first");
    First_.append(makeWrite("a", "1"));
    pull(Second_, First_);
  }

  static void pull(ReplicatedLog &Replica, const ReplicatedLog &Primary) {
    // A truncated log is a prefix of the primary's, so only the first attempt
    // can conflict.
    for (int Attempt = 0; Attempt < 2; ++Attempt) {
      const PullReply Reply = Primary.serve(
          {Replica.term(), {Replica.logTerm(), Replica.received()}}, 100);
      if (!Reply.Conflict) {
        CPPUNIT_ASSERT(Replica.receive(Reply.Term, Reply.Entries));
        Replica.applyTo(Replica.received());
        return;
      }
      Replica.truncateToCommon(Reply.Terms, Reply.Last);
    }
    CPPUNIT_FAIL("the primary reports a conflict with the truncated log");
  }

  void promoteSecond() {
    CPPUNIT_ASSERT(Second_.fence(2, "host-a"));
    CPPUNIT_ASSERT(Second_.promote(2, "host-a"));
  }

  // If two hosts could fence for the same term, both could promote a primary.
  void grantsATermToOnePromoterOnly() {
    startPrimaryAndReplica();
    CPPUNIT_ASSERT(Second_.fence(2, "host-a"));
    CPPUNIT_ASSERT(Second_.fence(2, "host-a"));
    CPPUNIT_ASSERT(!Second_.fence(2, "host-b"));
    CPPUNIT_ASSERT(!Second_.promote(2, "host-b"));
    CPPUNIT_ASSERT(Second_.promote(2, "host-a"));
  }

  // A write that reaches the old primary after it was fenced would be lost.
  void rejectsWritesOfAFencedPrimary() {
    startPrimaryAndReplica();
    CPPUNIT_ASSERT(First_.mayWrite(1));
    CPPUNIT_ASSERT(First_.fence(2, "host-a"));
    CPPUNIT_ASSERT(!First_.mayWrite(1));
    CPPUNIT_ASSERT(!First_.mayWrite(2));
    CPPUNIT_ASSERT(!First_.mayRead(1));
  }

  void startsATermWithAnEmptyEntry() {
    startPrimaryAndReplica();
    promoteSecond();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Second_.received());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Second_.logTerm());
    CPPUNIT_ASSERT(Second_.terms() == (TermHistory{{1, 0}, {2, 1}}));
  }

  // Entries that only the old primary holds must be removed when it becomes a
  // replica of the new one.
  void truncatesADiscardedBranch() {
    startPrimaryAndReplica();
    First_.append(makeWrite("a", "2"));
    promoteSecond();
    CPPUNIT_ASSERT(First_.follow(2, "second"));
    pull(First_, Second_);
    CPPUNIT_ASSERT_EQUAL(std::string("1"), First_.data().get("a"));
    CPPUNIT_ASSERT(First_.terms() == Second_.terms());
    CPPUNIT_ASSERT_EQUAL(Second_.received(), First_.received());
  }

  // A comparison by index alone would take the longer, discarded branch for the
  // newer one.
  void truncatesABranchThatIsLongerThanTheNewLog() {
    startPrimaryAndReplica();
    for (int Count = 0; Count < 5; ++Count)
      First_.append(makeWrite("b", std::to_string(Count)));
    promoteSecond();
    CPPUNIT_ASSERT(First_.follow(2, "second"));
    pull(First_, Second_);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), First_.received());
    CPPUNIT_ASSERT_EQUAL(std::string("null"), First_.data().get("b"));
  }

  // With the record of a discarded write, a retry would be answered from the
  // record and never executed.
  void dropsKeysOfADiscardedBranch() {
    startPrimaryAndReplica();
    First_.append(makeWrite("a", "2"));
    CPPUNIT_ASSERT(First_.findKey("write-a2"));
    promoteSecond();
    CPPUNIT_ASSERT(First_.follow(2, "second"));
    pull(First_, Second_);
    CPPUNIT_ASSERT(!First_.findKey("write-a2"));
    CPPUNIT_ASSERT(First_.findKey("write-a1"));
  }

  void hidesEntriesUntilTheyAreApplied() {
    startPrimaryAndReplica();
    First_.append(makeWrite("a", "2"));
    const PullReply Reply = First_.serve({1, {1, 1}}, 100);
    CPPUNIT_ASSERT(Second_.receive(1, Reply.Entries));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Second_.data().get("a"));
    Second_.applyTo(2);
    CPPUNIT_ASSERT_EQUAL(std::string("2"), Second_.data().get("a"));
  }

  // A delayed reply of the old primary must not extend a fenced replica's log.
  void rejectsEntriesOfAnotherTerm() {
    startPrimaryAndReplica();
    First_.append(makeWrite("a", "2"));
    const PullReply Reply = First_.serve({1, {1, 1}}, 100);
    CPPUNIT_ASSERT(Second_.fence(2, "host-a"));
    CPPUNIT_ASSERT(!Second_.receive(1, Reply.Entries));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), Second_.received());
  }

  static std::string journalPath(const std::string &Name) {
    std::string Path = (std::filesystem::temp_directory_path() /
                        ("nutmegloom-" + std::to_string(getpid()) + "-" + Name))
                           .string();
    std::filesystem::remove(Path);
    return Path;
  }

  static void writeJournal(const std::string &Path) {
    Journal File(Path, discard);
    ReplicatedLog Log(
        [&File](const JournalRecord &Record) { File.write(Record); });
    Log.initialize(true, "");
    Log.append(makeWrite("a", "1"));
    LogEntry Closing;
    Closing.Key = "closed";
    Closing.Closes = true;
    Log.append(Closing);
    CPPUNIT_ASSERT(Log.fence(3, "host-a"));
  }

  // A database that lost its promise in a restart could be fenced by a second
  // host for the same term, which would allow two primaries.
  void restoresPromiseLogAndKeysFromTheJournal() {
    const std::string Path = journalPath("restart");
    writeJournal(Path);
    ReplicatedLog Log(discard);
    const Journal File(
        Path, [&Log](const JournalRecord &Record) { Log.restore(Record); });
    Log.finishRestore();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Log.term());
    CPPUNIT_ASSERT(Log.role() == DatabaseRole::Fenced);
    CPPUNIT_ASSERT(!Log.fence(3, "host-b"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"), Log.data().get("a"));
    CPPUNIT_ASSERT(Log.findKey("closed") && Log.findKey("closed")->Closed);
    CPPUNIT_ASSERT(Log.findKey("write-a1"));
    std::filesystem::remove(Path);
  }

  // A process that is killed during a write leaves an incomplete last line.
  void dropsATornLastLine() {
    const std::string Path = journalPath("torn");
    writeJournal(Path);
    std::ofstream(Path, std::ios::app) << R"({"append":{"te)";
    int Records = 0;
    {
      Journal File(Path, [&Records](const JournalRecord &) { ++Records; });
      File.write(JournalRecord());
    }
    int RecordsAfterReopening = 0;
    const Journal File(Path, [&RecordsAfterReopening](const JournalRecord &) {
      ++RecordsAfterReopening;
    });
    CPPUNIT_ASSERT_EQUAL(Records + 1, RecordsAfterReopening);
    std::filesystem::remove(Path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicatedLogTest);

class StatementViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StatementViewTest);
  CPPUNIT_TEST(executesTheStatementLanguage);
  CPPUNIT_TEST(changesNothingWhenAStatementFails);
  CPPUNIT_TEST(detectsAConflictingChange);
  CPPUNIT_TEST_SUITE_END();

  KeyValueStore Data_;

  static std::string run(StatementView &View, const std::string &Text) {
    return std::get<std::string>(View.execute(nlohmann::json::parse(Text)));
  }

  void executesTheStatementLanguage() {
    Data_.set("n", "4", 1);
    StatementView View(Data_);
    CPPUNIT_ASSERT_EQUAL(std::string("7"),
                         run(View, R"({"op":"add","key":"n","value":3})"));
    CPPUNIT_ASSERT_EQUAL(std::string("1"),
                         run(View, R"({"op":"append","key":"l","value":"x"})"));
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"stored":false,"value":7})"),
        run(View, R"({"op":"put_if_absent","key":"n","value":1})"));
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"l":["x"],"n":7})"),
                         run(View, R"({"op":"scan","prefix":"","limit":9})"));
  }

  void changesNothingWhenAStatementFails() {
    Data_.set("n", "4", 1);
    StatementView View(Data_);
    const auto Result = View.execute(
        nlohmann::json::parse(R"({"op":"append","key":"n","value":1})"));
    CPPUNIT_ASSERT(std::holds_alternative<StatementView::Failed>(Result));
    CPPUNIT_ASSERT(View.effects().empty());
  }

  // Of two transactions that read and change the same value, the second would
  // overwrite the first one's change if both committed.
  void detectsAConflictingChange() {
    Data_.set("n", "4", 1);
    StatementView View(Data_);
    run(View, R"({"op":"add","key":"n","value":3})");
    CPPUNIT_ASSERT(View.readsAreCurrent());
    Data_.set("n", "5", 2);
    CPPUNIT_ASSERT(!View.readsAreCurrent());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementViewTest);

} // namespace nutmegloom::testing
