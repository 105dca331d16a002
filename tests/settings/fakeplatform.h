#ifndef NUTMEGLOOM_TESTS_SETTINGS_FAKEPLATFORM_H
#define NUTMEGLOOM_TESTS_SETTINGS_FAKEPLATFORM_H

#include "nutmegloomctl/editapplier.h"

#include <deque>

namespace nutmegloom {

/// In-process store that answers immediately and injects scripted faults.
class FakePlatform : public PlatformClient {
public:
  /// Fault of one update. Updates have no fault once the script is empty.
  struct PutFault {
    /// Runs before the update reaches the store, for example an edit of another
    /// operator.
    std::function<void()> Before;
    /// The update reaches the store only after the client has given up waiting
    /// for the answer.
    bool Delayed = false;
    /// The update takes effect, but its answer is lost.
    bool LoseAnswer = false;
    /// The store is unreachable.
    bool Unreachable = false;
  };

  PlatformObject Stored;
  std::deque<PutFault> PutFaults;
  /// FailReadsCount reads fail, starting with the read of this number, counted
  /// from 0.
  std::size_t FailReadsFrom = static_cast<std::size_t>(-1);
  std::size_t FailReadsCount = 0;
  std::size_t Reads = 0;
  std::size_t Puts = 0;
  std::vector<ListedHost> Hosts;

  void get(const std::string &, const std::string &,
           ObjectHandler Handler) override {
    const std::size_t Number = Reads++;
    if (Number >= FailReadsFrom && Number - FailReadsFrom < FailReadsCount)
      Handler(PlatformError::Unreachable);
    else
      Handler(Stored);
  }

  void put(const std::string &, const std::string &, std::uint64_t Expected,
           const std::string &Value, ObjectHandler Handler) override {
    ++Puts;
    PutFault Fault;
    if (!PutFaults.empty()) {
      Fault = PutFaults.front();
      PutFaults.pop_front();
    }
    if (Fault.Before)
      Fault.Before();
    if (Fault.Unreachable) {
      Handler(PlatformError::Unreachable);
      return;
    }
    if (Fault.Delayed) {
      Delayed_.emplace_back(Expected, Value);
      Handler(PlatformError::NoAnswer);
      return;
    }
    const bool Updated = update(Expected, Value);
    if (Fault.LoseAnswer)
      Handler(PlatformError::NoAnswer);
    else if (Updated)
      Handler(Stored);
    else
      Handler(PlatformError::ConditionFailed);
  }

  void watch(const std::string &, const std::string &, std::uint64_t,
             Milliseconds, ObjectHandler Handler) override {
    Handler(PlatformError::Unchanged);
  }
  void listHosts(ListHandler Handler) override { Handler(Hosts); }

  /// Applies the delayed updates to the store.
  void deliverDelayed() {
    for (const auto &[Expected, Value] : Delayed_)
      update(Expected, Value);
    Delayed_.clear();
  }

  /// Returns the stored head. Throws if it can't be parsed, which fails the
  /// test.
  ConfigurationHead head() const {
    return std::get<ConfigurationHead>(parseHead(Stored.Value));
  }

  /// Returns calls that use this store and do not sleep.
  PlatformCalls calls() {
    return {*this, {[] {}, [](Milliseconds) {}}};
  }

private:
  bool update(std::uint64_t Expected, const std::string &Value) {
    if (Stored.Version != Expected)
      return false;
    Stored = {Stored.Version + 1, Value};
    return true;
  }

  std::vector<std::pair<std::uint64_t, std::string>> Delayed_;
};

/// Returns an edit of one overlay.
inline RequestedEdit overlayEdit(const std::string &EditId,
                                 const std::string &Site,
                                 const std::string &Text) {
  RequestedEdit Edit;
  Edit.Files.Overlays[Site] = Text;
  Edit.EditId = EditId;
  Edit.Editor = "ana";
  Edit.EditedAt = "2026-01-01T00:00:00Z";
  return Edit;
}

/// Returns an edit of the base.
inline RequestedEdit baseEdit(const std::string &EditId,
                              const std::string &Text) {
  RequestedEdit Edit = overlayEdit(EditId, "", "");
  Edit.Files.Overlays.clear();
  Edit.Files.Base = Text;
  return Edit;
}

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_SETTINGS_FAKEPLATFORM_H
