#include "tests/settings/fakeplatform.h"
#include "tests/settings/samplesettings.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class EditApplierTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EditApplierTest);
  CPPUNIT_TEST(createsTheFirstHead);
  CPPUNIT_TEST(refusesAnInvalidEditWithoutAnUpdate);
  CPPUNIT_TEST(refusesChangesThatAreUnsafeWhileHostsServe);
  CPPUNIT_TEST(appliesOnTopOfAnEditOfAnotherFile);
  CPPUNIT_TEST(refusesWhatIsInvalidTogetherWithTheOtherEdit);
  CPPUNIT_TEST(stopsWhenTheOtherEditChangedTheSameFile);
  CPPUNIT_TEST(stopsWhenTheFilesAreBasedOnAnOlderVersion);
  CPPUNIT_TEST(findsAnEditWhoseAnswerWasLost);
  CPPUNIT_TEST(findsAnEditBelowNewerEditsAfterALostAnswer);
  CPPUNIT_TEST(appliesADelayedUpdateOnce);
  CPPUNIT_TEST(reportsAnUnknownOutcomeWhileTheStoreIsUnreachable);
  CPPUNIT_TEST(reportsAnUnknownOutcomeWhenTheHistoryIsTooShort);
  CPPUNIT_TEST(reportsAnUnreachableStore);
  CPPUNIT_TEST(givesUpAfterRepeatedConflicts);
  CPPUNIT_TEST(boundsHistoryAndSize);
  CPPUNIT_TEST(reportsMatchTheStoreUnderRandomFaults);
  CPPUNIT_TEST_SUITE_END();

  FakePlatform Store_;

  ApplyResult apply(RequestedEdit Edit) {
    PlatformCalls Calls = Store_.calls();
    return EditApplier(Calls, std::move(Edit)).run();
  }

  void storeSample() {
    CPPUNIT_ASSERT(apply(baseEdit("first", sampleBase())).Outcome ==
                   ApplyOutcome::Done);
  }

  /// Returns a fault that applies the edit of another operator just before an
  /// update arrives.
  FakePlatform::PutFault concurrentEdit(const RequestedEdit &Other) {
    FakePlatform::PutFault Fault;
    Fault.Before = [this, Other] {
      std::deque<FakePlatform::PutFault> Rest;
      Rest.swap(Store_.PutFaults);
      CPPUNIT_ASSERT(apply(Other).Outcome == ApplyOutcome::Done);
      Rest.swap(Store_.PutFaults);
    };
    return Fault;
  }

  static std::string limits(int Connections) {
    return "{\"limits\": {\"connections\": " + std::to_string(Connections) +
           "}}";
  }

  // Without the condition that the head must not exist, two first edits would
  // both succeed.
  void createsTheFirstHead() {
    const auto Result = apply(baseEdit("first", sampleBase()));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Result.Version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Store_.head().Version);
    CPPUNIT_ASSERT_EQUAL(std::string("first"), Store_.head().EditId);
  }

  // Every host would refuse an invalid head that reached the store.
  void refusesAnInvalidEditWithoutAnUpdate() {
    storeSample();
    const auto Result = apply(overlayEdit("bad", "a", limits(1)));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Refused);
    CPPUNIT_ASSERT(hasError(Result.Errors, "a", "limits.connections", "1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Store_.Puts);
  }

  // While hosts use different term validities, a write of a replaced primary
  // could be acknowledged. A database that moves to another group serves wrong
  // data.
  void refusesChangesThatAreUnsafeWhileHostsServe() {
    storeSample();
    RequestedEdit Edit = baseEdit(
        "mine", sampleBaseWith("_validity_ms\": 400", "_validity_ms\": 500"));
    const auto Refused = apply(Edit);
    CPPUNIT_ASSERT(Refused.Outcome == ApplyOutcome::Refused);
    CPPUNIT_ASSERT(
        hasError(Refused.Errors, "base", "timing.term_validity_ms", "500"));
    Edit.Offline = true;
    CPPUNIT_ASSERT(apply(Edit).Outcome == ApplyOutcome::Done);
    const auto Moved =
        apply(baseEdit("move", sampleBaseWith("\"groups\": [", R"("groups": [
            {"databases": [{"id": "d2", "zone": "a",
             "service_address": "127.0.0.1:1004",
             "control_address": "127.0.0.1:1005"}]}, )")));
    CPPUNIT_ASSERT(Moved.Outcome == ApplyOutcome::Refused);
    CPPUNIT_ASSERT(hasError(Moved.Errors, "base", "services",
                            "\"d1\" is in group shop/0 and may not move to "
                            "group shop/1"));
  }

  // An unconditional update would overwrite the concurrent edit.
  void appliesOnTopOfAnEditOfAnotherFile() {
    storeSample();
    Store_.PutFaults = {concurrentEdit(overlayEdit("other", "b", limits(50)))};
    const auto Result = apply(overlayEdit("mine", "a", limits(60)));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Done);
    CPPUNIT_ASSERT_EQUAL(2, Result.Attempts);
    const ConfigurationHead Head = Store_.head();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Head.Version);
    CPPUNIT_ASSERT_EQUAL(limits(50), Head.Overlays.at("b"));
    CPPUNIT_ASSERT_EQUAL(limits(60), Head.Overlays.at("a"));
    CPPUNIT_ASSERT_EQUAL(std::string("other"), Head.History.at(1).EditId);
  }

  // Each edit is valid alone. Together, the overlay refers to a class that the
  // base no longer has.
  void refusesWhatIsInvalidTogetherWithTheOtherEdit() {
    storeSample();
    Store_.PutFaults = {concurrentEdit(
        baseEdit("other", sampleBaseWith(", \"slow\": {}", "")))};
    const auto Result = apply(
        overlayEdit("mine", "a", R"({"classes": {"slow": {"weight": 2}}})"));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Refused);
    CPPUNIT_ASSERT(hasError(Result.Errors, "a", "classes.slow", "base"));
    CPPUNIT_ASSERT(Store_.head().Overlays.empty());
  }

  // Replacing the file would silently discard the change of the other operator.
  void stopsWhenTheOtherEditChangedTheSameFile() {
    storeSample();
    Store_.PutFaults = {concurrentEdit(overlayEdit("other", "a", limits(50)))};
    const auto Result = apply(overlayEdit("mine", "a", limits(60)));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Conflict);
    CPPUNIT_ASSERT(Result.Detail.find("version 2") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(limits(50), Store_.head().Overlays.at("a"));
  }

  // Applying outdated copies of the files must not revert newer edits.
  void stopsWhenTheFilesAreBasedOnAnOlderVersion() {
    storeSample();
    apply(overlayEdit("other", "a", limits(50)));
    RequestedEdit Edit = overlayEdit("mine", "a", limits(60));
    Edit.BasedOn = 1;
    CPPUNIT_ASSERT(apply(Edit).Outcome == ApplyOutcome::Conflict);
    Edit.BasedOn = 3;
    CPPUNIT_ASSERT(apply(Edit).Outcome == ApplyOutcome::Refused);
    Edit.BasedOn = 2;
    CPPUNIT_ASSERT(apply(Edit).Outcome == ApplyOutcome::Done);
  }

  // If a lost answer is reported as a failure, the operator repeats the edit.
  void findsAnEditWhoseAnswerWasLost() {
    storeSample();
    Store_.PutFaults = {{nullptr, false, true, false}};
    const auto Result = apply(overlayEdit("mine", "a", limits(60)));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Result.Version);
    CPPUNIT_ASSERT_EQUAL(1, Result.Attempts);
  }

  // The edit must be found in the history, because newer edits follow it and
  // the head has the id of the newest one.
  void findsAnEditBelowNewerEditsAfterALostAnswer() {
    storeSample();
    Store_.PutFaults = {{nullptr, false, true, false}};
    Store_.FailReadsFrom = Store_.Reads + 1;
    Store_.FailReadsCount = 1;
    PlatformCalls Calls(Store_, {[] {},
                                 [this](Milliseconds) {
                                   Store_.FailReadsCount = 0;
                                   apply(overlayEdit("other", "b", limits(50)));
                                 }});
    const auto Result =
        EditApplier(Calls, overlayEdit("mine", "a", limits(60))).run();
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Result.Version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Store_.head().Version);
  }

  // The delayed first update arrives just before its retry. The edit must
  // create one version, not two.
  void appliesADelayedUpdateOnce() {
    storeSample();
    FakePlatform::PutFault Arrival;
    Arrival.Before = [this] { Store_.deliverDelayed(); };
    Store_.PutFaults = {{nullptr, true, false, false}, Arrival};
    const auto Result = apply(overlayEdit("mine", "a", limits(60)));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Result.Version);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Store_.head().History.size());
  }

  // The update may still arrive, so it must not be reported as without effect.
  void reportsAnUnknownOutcomeWhileTheStoreIsUnreachable() {
    storeSample();
    Store_.PutFaults = {{nullptr, true, false, false}};
    Store_.FailReadsFrom = Store_.Reads + 1;
    Store_.FailReadsCount = 1000;
    const auto Result = apply(overlayEdit("mine", "a", limits(60)));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Unknown);
    CPPUNIT_ASSERT(Result.Detail.find("mine") != std::string::npos);
  }

  // A missing edit id proves nothing once the history has dropped old entries.
  void reportsAnUnknownOutcomeWhenTheHistoryIsTooShort() {
    storeSample();
    Store_.PutFaults = {{nullptr, false, true, false}};
    Store_.FailReadsFrom = Store_.Reads + 1;
    Store_.FailReadsCount = 1;
    PlatformCalls Calls(Store_,
                        {[] {},
                         [this](Milliseconds) {
                           Store_.FailReadsCount = 0;
                           for (int Edit = 0; Edit < 51; ++Edit)
                             apply(overlayEdit("other" + std::to_string(Edit),
                                               "b", limits(50 + Edit)));
                         }});
    const auto Result =
        EditApplier(Calls, overlayEdit("mine", "a", limits(60))).run();
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Unknown);
  }

  // Scripts must be able to distinguish an outage from a refused edit.
  void reportsAnUnreachableStore() {
    storeSample();
    Store_.PutFaults = {{nullptr, false, false, true}};
    CPPUNIT_ASSERT(apply(overlayEdit("mine", "a", limits(60))).Outcome ==
                   ApplyOutcome::Unreachable);
    Store_.FailReadsFrom = Store_.Reads;
    Store_.FailReadsCount = 1;
    CPPUNIT_ASSERT(apply(overlayEdit("mine", "a", limits(60))).Outcome ==
                   ApplyOutcome::Unreachable);
    CPPUNIT_ASSERT(Store_.head().Overlays.empty());
  }

  // Without a retry limit, the command would not end while another script keeps
  // editing.
  void givesUpAfterRepeatedConflicts() {
    storeSample();
    for (int Race = 0; Race < 20; ++Race)
      Store_.PutFaults.push_back(concurrentEdit(
          overlayEdit("other" + std::to_string(Race), "b", limits(50 + Race))));
    const auto Result = apply(overlayEdit("mine", "a", limits(60)));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Conflict);
    CPPUNIT_ASSERT(Store_.head().Overlays.count("a") == 0);
  }

  // The store refuses values above 1 MB. A head that grows beyond that would
  // make further edits impossible.
  void boundsHistoryAndSize() {
    storeSample();
    RequestedEdit Edit = overlayEdit("", "a", "");
    for (int Count = 0; Count < 60; ++Count) {
      Edit.EditId = "edit" + std::to_string(Count);
      Edit.Comment = std::string(40000, 'x');
      Edit.Files.Overlays["a"] = limits(50 + Count);
      CPPUNIT_ASSERT(apply(Edit).Outcome == ApplyOutcome::Done);
    }
    CPPUNIT_ASSERT(Store_.Stored.Value.size() < 1000000);
    CPPUNIT_ASSERT(Store_.head().History.size() < 50);
    const auto Result =
        apply(overlayEdit("huge", "b", "{} // " + std::string(1000000, 'x')));
    CPPUNIT_ASSERT(Result.Outcome == ApplyOutcome::Refused);
    CPPUNIT_ASSERT(hasError(Result.Errors, "head", "", "fewer than 1000000"));
  }

  // The reported outcome must match the store under any combination of faults:
  // a successful edit is in the history once, a failed one is not in it.
  void reportsMatchTheStoreUnderRandomFaults() {
    CPPUNIT_ASSERT(holdsForAll("reports match the store", [this] {
      Store_ = FakePlatform();
      storeSample();
      for (int Count = *rc::gen::inRange(0, 8); Count > 0; --Count) {
        FakePlatform::PutFault Fault;
        const int Kind = *rc::gen::inRange(0, 5);
        if (Kind == 0)
          Fault = concurrentEdit(overlayEdit("other" + std::to_string(Count),
                                             "b", limits(50 + Count)));
        else if (Kind == 1)
          Fault.Before = [this] { Store_.deliverDelayed(); };
        Fault.Delayed = Kind == 2;
        Fault.LoseAnswer = Kind == 3;
        Fault.Unreachable = Kind == 4;
        Store_.PutFaults.push_back(Fault);
      }
      const auto Result = apply(overlayEdit("mine", "a", limits(60)));
      Store_.PutFaults.clear();
      Store_.deliverDelayed();
      std::size_t Found = 0;
      for (const ConfigurationEdit &Edit : Store_.head().History)
        Found += Edit.EditId == "mine" ? 1 : 0;
      if (Result.Outcome == ApplyOutcome::Done)
        RC_ASSERT(Found == 1U);
      else if (Result.Outcome == ApplyOutcome::Unknown)
        RC_ASSERT(Found <= 1U);
      else
        RC_ASSERT(Found == 0U);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EditApplierTest);

} // namespace nutmegloom
