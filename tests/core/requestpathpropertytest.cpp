#include "tests/core/enginefixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <iostream>

namespace nutmegloom {

static constexpr std::uint64_t Seed = 20260412;

enum class Step {
  Write,
  RepeatWrite,
  Read,
  Commit,
  LoseAnswer,
  BreakConnections,
  Isolate,
  Reconnect,
  Pause,
  DelayRequests,
  Lag,
  StallConnections,
  Leave,
  IsolatePrimary,
  Wait,
  Count,
};

static constexpr auto StepCount = static_cast<unsigned>(Step::Count);

/// Drives an engine through requests and faults, and checks every answer
/// against the log that survives.
class Scenario {
public:
  /// Executes a step. Choice selects its database, key or duration.
  void execute(Step Next, unsigned Choice) {
    const DatabaseId Id(1, static_cast<char>('a' + Choice % 3));
    const Milliseconds Span(Choice % 8 * 100);
    switch (Next) {
    case Step::Write:
      submitWrite("k" + std::to_string(Keys_.size()));
      break;
    case Step::RepeatWrite:
      if (!Keys_.empty())
        submitWrite(std::next(Keys_.begin(), static_cast<std::ptrdiff_t>(
                                                 Choice % Keys_.size()))
                        ->first);
      break;
    case Step::Read:
      read(Choice);
      break;
    case Step::Commit:
      commit();
      break;
    case Step::LoseAnswer:
      ++Fixture_.AnswersToLose;
      break;
    case Step::BreakConnections:
      Fixture_.breakConnections(Id);
      break;
    case Step::Isolate:
      Fixture_.setIsolated(Id, true);
      break;
    case Step::IsolatePrimary:
      if (const FakeDatabase *Primary = Fixture_.primary())
        Fixture_.setIsolated(Primary->Id, true);
      break;
    case Step::Wait:
      Fixture_.run(4 * Span);
      break;
    case Step::Reconnect:
      Fixture_.setIsolated(Id, false);
      break;
    case Step::Pause:
      Fixture_.pause(2 * Span);
      break;
    case Step::DelayRequests:
      Fixture_.RequestDelay = Choice % 2 == 0 ? Milliseconds(0) : 2 * Span;
      break;
    case Step::Lag:
      for (auto &[Each, Database] : Fixture_.Databases)
        if (Each == Id || Choice % 2 == 0)
          Database.Lag = Span;
      break;
    case Step::StallConnections:
      Fixture_.stallConnections();
      break;
    case Step::Leave:
      Fixture_.database(Id).Leaving = Choice % 2 == 0;
      break;
    case Step::Count:
      break;
    }
    Fixture_.run(Milliseconds(1 + Choice % 13 * 20));
    checkReads();
  }

  /// Ends all faults, runs for nine seconds and checks all outcomes.
  void finish() {
    Fixture_.RequestDelay = Milliseconds(0);
    Fixture_.AnswersToLose = 0;
    for (auto &[Id, Each] : Fixture_.Databases) {
      Each.Isolated = Each.Leaving = false;
      Each.Lag = Milliseconds(0);
    }
    Fixture_.run(Milliseconds(9000));
    checkReads();
    RC_ASSERT(Fixture_.Violation == "");
    RC_ASSERT(Fixture_.PeakConnections <= 3U);
    RC_ASSERT(Fixture_.Host->isIdle());
    RC_ASSERT(Fixture_.primary() != nullptr);
    for (const auto &[Key, Tasks] : Keys_)
      checkKey(Key, Tasks);
  }

private:
  void submitWrite(const std::string &Key) {
    CallerRequest Request = Fixture_.makeWrite(Key);
    Request.Deadline = Fixture_.Now + Milliseconds(3000);
    Keys_[Key].push_back(Fixture_.submit(Request));
  }

  void commit() {
    const std::string Id = Fixture_.begin();
    if (Id.empty())
      return;
    const std::string Key = "k" + std::to_string(Keys_.size());
    Fixture_.await(Fixture_.submit(
        Fixture_.makeStep(RequestStep::TransactionStatement, Id)));
    Keys_[Key].push_back(
        Fixture_.submit(Fixture_.makeStep(RequestStep::Commit, Id, Key)));
  }

  /// Reads the key of an answered write and requires the position that the
  /// answer reported, as the session's token would.
  void read(unsigned Choice) {
    for (const auto &[Key, Tasks] : Keys_)
      for (const TaskId Task : Tasks) {
        const auto Found = Fixture_.Answers.find(Task);
        if (Found == Fixture_.Answers.end() || !Found->second.Seen ||
            Choice-- % 5 != 0)
          continue;
        CallerRequest Request = Fixture_.makeRead(Key);
        Request.Required = Found->second.Seen;
        Reads_.push_back(Fixture_.submit(Request));
        return;
      }
  }

  // Checks that reads see the writes of their session and that no acknowledged
  // write is lost.
  void checkReads() {
    for (const TaskId Task : Reads_) {
      const auto Found = Fixture_.Answers.find(Task);
      if (Found == Fixture_.Answers.end())
        continue;
      RC_ASSERT(Found->second.Error != ErrorCode::WriteLost);
      RC_ASSERT((Found->second.Error != ErrorCode::None ||
                 Found->second.Body == "found"));
    }
  }

  void checkKey(const std::string &Key, const std::vector<TaskId> &Tasks) {
    const std::size_t Count = Fixture_.primary()->countOf(Key);
    RC_LOG() << Key << ": executed " << Count << " times" << std::endl;
    bool Run = false;
    bool AllNotRun = true;
    for (const TaskId Task : Tasks) {
      const CallerAnswer &Answer = Fixture_.Answers.at(Task);
      RC_LOG() << "  task " << Task << ": " << nameOf(Answer.Result) << " "
               << Answer.Detail << std::endl;
      Run = Run || Answer.Result == Outcome::Run;
      AllNotRun = AllNotRun && Answer.Result == Outcome::NotRun;
    }
    RC_ASSERT(Count <= 1U);
    RC_ASSERT((!Run || Count == 1));
    RC_ASSERT((!AllNotRun || Count == 0));
  }

  EngineFixture Fixture_;
  std::map<std::string, std::vector<TaskId>> Keys_;
  std::vector<TaskId> Reads_;
};

/// Generates steps, each with a number that selects its database, key or
/// duration. Requests and failures of the primary are more frequent than other
/// faults.
static rc::Gen<std::vector<std::pair<unsigned, unsigned>>> genSteps() {
  const auto GenStep = rc::gen::weightedOneOf<unsigned>(
      {{4, rc::gen::inRange(0U, 4U)},
       {1, rc::gen::element(static_cast<unsigned>(Step::IsolatePrimary),
                            static_cast<unsigned>(Step::Wait))},
       {5, rc::gen::inRange(0U, StepCount)}});
  return rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
      rc::gen::resize(rc::kNominalSize,
                      rc::gen::pair(GenStep, rc::gen::inRange(0U, 1000U))));
}

class RequestPathPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPathPropertyTest);
  CPPUNIT_TEST(keepsItsInvariantsUnderFaults);
  CPPUNIT_TEST_SUITE_END();

  void keepsItsInvariantsUnderFaults() {
    rc::detail::TestParams Params;
    Params.seed = Seed;
    Params.maxSuccess = 300;
    Params.maxSize = 100;
    const auto Result = rc::detail::checkTestable(
        [] {
          const auto Steps = *genSteps();
          Scenario Run;
          for (const auto &[Next, Choice] : Steps)
            Run.execute(static_cast<Step>(Next), Choice);
          Run.finish();
        },
        rc::detail::TestMetadata(), Params);
    if (Result.template is<rc::detail::SuccessResult>())
      return;
    std::cerr << "seed " << Seed << "\n";
    rc::detail::printResultMessage(Result, std::cerr);
    CPPUNIT_FAIL("an invariant was violated; see the counterexample above");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPathPropertyTest);

} // namespace nutmegloom
