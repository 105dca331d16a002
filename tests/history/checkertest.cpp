#include "testing/history/checker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <sstream>

namespace nutmegloom::testing {

/// Builds a history of sequential operations on the lists a and b of group 0.
class HistoryBuilder {
public:
  HistoryOperation &write(const std::string &Session, const std::string &Value,
                          Outcome Result, std::uint64_t Length = 0) {
    HistoryOperation &Operation = add(Session, Result);
    Operation.Key = "key-" + Value;
    Operation.Steps.push_back({"a", "a/" + Value, std::nullopt, std::nullopt});
    if (Length > 0)
      Operation.Steps.back().Length = Length;
    return Operation;
  }

  HistoryOperation &read(const std::string &Session,
                         const std::vector<std::string> &Values,
                         const std::string &List = "a") {
    HistoryOperation &Operation = add(Session, Outcome::Run);
    Operation.Steps.push_back({List, "", std::vector<std::string>(), {}});
    for (const std::string &Value : Values)
      Operation.Steps.back().Items->push_back("a/" + Value);
    return Operation;
  }

  HistoryOperation &finalRead(const std::vector<std::string> &Values) {
    HistoryOperation &Operation = read("final", Values);
    Operation.IsFinal = true;
    return Operation;
  }

  HistoryOperation &transaction(const std::string &Session,
                                const std::string &Value, Outcome Result) {
    HistoryOperation &Operation = add(Session, Result);
    Operation.Key = "key-" + Value;
    Operation.IsTransaction = true;
    Operation.Steps.push_back({"a", "a/" + Value, std::nullopt, std::nullopt});
    Operation.Steps.push_back({"b", "b/" + Value, std::nullopt, std::nullopt});
    return Operation;
  }

  HistoryOperation &add(const std::string &Session, Outcome Result) {
    HistoryOperation Operation;
    Operation.Id = "operation" + std::to_string(Operations.size() + 1);
    Operation.Session = Session;
    Operation.Caller = Session;
    Operation.Group = "0";
    Operation.InvokedAt = ++Time_;
    Operation.AnsweredAt = ++Time_;
    Operation.Result = Result;
    Operations.push_back(Operation);
    return Operations.back();
  }

  std::set<ViolationKind> check() const {
    // Encodes and decodes the history, so that the file format is tested too.
    std::stringstream File;
    for (const HistoryOperation &Operation : Operations) {
      File << encodeInvocation(Operation) << "\n";
      if (Operation.AnsweredAt > 0)
        File << encodeAnswer(Operation) << "\n";
    }
    std::set<ViolationKind> Kinds;
    for (const Violation &Found : checkHistory(readHistory(File)))
      Kinds.insert(Found.Kind);
    return Kinds;
  }

  std::vector<HistoryOperation> Operations;

private:
  std::uint64_t Time_ = 0;
};

class CheckerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CheckerTest);
  CPPUNIT_TEST(acceptsAHistoryWithFaultsThatWereReported);
  CPPUNIT_TEST(reportsAReadOlderThanTheSessionsWrite);
  CPPUNIT_TEST(acceptsAnOldReadOfAnotherSession);
  CPPUNIT_TEST(reportsAnAcknowledgedWriteThatVanished);
  CPPUNIT_TEST(acceptsALostWriteReportedToTheSession);
  CPPUNIT_TEST(reportsAWriteThatRanTwice);
  CPPUNIT_TEST(reportsAWriteThatRanAlthoughNotRun);
  CPPUNIT_TEST(acceptsARunAfterARefusedAttempt);
  CPPUNIT_TEST(reportsAnAnswerOfAnotherRequest);
  CPPUNIT_TEST(reportsAReadOfAnotherList);
  CPPUNIT_TEST(reportsHalfATransaction);
  CPPUNIT_TEST(reportsARolledBackTransactionThatShows);
  CPPUNIT_TEST(reportsATransactionThatLosesItsOwnStatement);
  CPPUNIT_TEST(reportsAHistoryWithoutAFinalRead);
  CPPUNIT_TEST_SUITE_END();

  using Kinds = std::set<ViolationKind>;
  HistoryBuilder History_;

  void expectViolations(const Kinds &Wanted) {
    CPPUNIT_ASSERT(History_.check() == Wanted);
  }

  void acceptsAHistoryWithFaultsThatWereReported() {
    History_.write("s1", "1", Outcome::Run, 1);
    History_.read("s1", {"1"});
    // The first attempt has an unknown outcome; the retry with the same key
    // returns the recorded result.
    History_.write("s1", "2", Outcome::Unknown);
    History_.write("s1", "2", Outcome::Run, 2);
    History_.write("s2", "3", Outcome::NotRun);
    HistoryOperation &Unanswered = History_.write("s2", "4", Outcome::Unknown);
    Unanswered.AnsweredAt = 0;
    History_.read("s2", {"1", "2", "4"});
    History_.finalRead({"1", "2", "4"});
    expectViolations({});
  }

  void reportsAReadOlderThanTheSessionsWrite() {
    History_.write("s1", "1", Outcome::Run, 1);
    History_.read("s1", {});
    History_.finalRead({"1"});
    expectViolations({ViolationKind::StaleRead});
  }

  void acceptsAnOldReadOfAnotherSession() {
    History_.write("s1", "1", Outcome::Run, 1);
    History_.read("s2", {});
    History_.finalRead({"1"});
    expectViolations({});
  }

  void reportsAnAcknowledgedWriteThatVanished() {
    History_.write("s1", "1", Outcome::Run, 1);
    History_.finalRead({});
    expectViolations({ViolationKind::LostWrite});
  }

  void acceptsALostWriteReportedToTheSession() {
    History_.write("s1", "1", Outcome::Run, 1);
    HistoryOperation &Notification = History_.add("s1", Outcome::NotRun);
    Notification.Error = "write_lost";
    Notification.Steps.push_back({"a", "", std::nullopt, std::nullopt});
    History_.read("s1", {});
    History_.finalRead({});
    expectViolations({});
  }

  void reportsAWriteThatRanTwice() {
    History_.write("s1", "1", Outcome::Run, 1);
    History_.finalRead({"1", "1"});
    expectViolations({ViolationKind::DuplicateWrite});
  }

  void reportsAWriteThatRanAlthoughNotRun() {
    History_.write("s1", "1", Outcome::NotRun);
    History_.finalRead({"1"});
    expectViolations({ViolationKind::RanAlthoughNotRun});
  }

  void acceptsARunAfterARefusedAttempt() {
    History_.write("s1", "1", Outcome::NotRun);
    History_.write("s1", "1", Outcome::Run, 1);
    History_.finalRead({"1"});
    expectViolations({});
  }

  void reportsAnAnswerOfAnotherRequest() {
    History_.write("s1", "1", Outcome::Run, 2);
    History_.write("s2", "2", Outcome::Run, 1);
    History_.finalRead({"1", "2"});
    expectViolations({ViolationKind::WrongAnswer});
  }

  void reportsAReadOfAnotherList() {
    History_.write("s1", "1", Outcome::Run, 1);
    History_.read("s2", {"1"}, "b");
    History_.finalRead({"1"});
    expectViolations({ViolationKind::WrongAnswer});
  }

  void finalReadOfB(const std::vector<std::string> &Values) {
    HistoryOperation &Operation = History_.finalRead({});
    Operation.Steps.front().List = "b";
    *Operation.Steps.front().Items = Values;
  }

  void reportsHalfATransaction() {
    History_.transaction("s1", "1", Outcome::Unknown);
    History_.finalRead({"1"});
    finalReadOfB({});
    expectViolations({ViolationKind::MixedTransaction});
  }

  void reportsARolledBackTransactionThatShows() {
    History_.transaction("s1", "1", Outcome::NotRun);
    History_.finalRead({"1"});
    finalReadOfB({"b/1"});
    expectViolations({ViolationKind::RanAlthoughNotRun});
  }

  void reportsATransactionThatLosesItsOwnStatement() {
    HistoryOperation &Mixed = History_.transaction("s1", "1", Outcome::Run);
    Mixed.Steps.push_back({"a", "", std::vector<std::string>(), {}});
    History_.finalRead({"1"});
    finalReadOfB({"b/1"});
    expectViolations({ViolationKind::MixedTransaction});
  }

  // Without a final read a lost write could not be detected.
  void reportsAHistoryWithoutAFinalRead() {
    History_.write("s1", "1", Outcome::Run, 1);
    expectViolations({ViolationKind::Incomplete});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckerTest);

} // namespace nutmegloom::testing
