#ifndef NUTMEGLOOM_TESTS_SETTINGS_FAKEPLATFORM_H
#define NUTMEGLOOM_TESTS_SETTINGS_FAKEPLATFORM_H

#include "nutmegloomctl/editapplier.h"

#include <deque>

namespace nutmegloom {

/// A store in process that answers at once and takes its faults from a script.
class FakePlatform : public PlatformClient {
public:
  /// What happens to one update. An empty script means a healthy store.
  struct PutFault {
    /// Runs before the update reaches the store, as another operator's edit.
    std::function<void()> Before;
    /// The update doesn't reach the store before its answer is given up.
    bool Delayed = false;
    /// The update takes effect without an answer.
    bool LoseAnswer = false;
    /// The store can't be reached.
    bool NotReached = false;
  };

  PlatformObject Stored;
  std::deque<PutFault> PutFaults;
  /// Reads that fail, from the read with this number on (first: 0).
  std::size_t FailReadsFrom = static_cast<std::size_t>(-1);
  std::size_t FailReadsCount = 0;
  std::size_t Reads = 0;
  std::size_t Puts = 0;
  std::vector<ListedHost> Hosts;

  void get(const std::string &Kind, const std::string &Name,
           ObjectHandler Handler) override;
  void put(const std::string &Kind, const std::string &Name,
           std::uint64_t Expected, const std::string &Value,
           ObjectHandler Handler) override;
  void watch(const std::string &Kind, const std::string &Name,
             std::uint64_t After, Milliseconds Wait,
             ObjectHandler Handler) override;
  void listHosts(ListHandler Handler) override;

  /// Lets the delayed updates reach the store.
  void deliverDelayed();

  /// The stored head; fails the test if it can't be read.
  ConfigurationHead head() const;

  /// Calls that use this store.
  PlatformCalls calls();

private:
  bool update(std::uint64_t Expected, const std::string &Value);

  std::vector<std::pair<std::uint64_t, std::string>> Delayed_;
};

/// An edit of one overlay.
RequestedEdit overlayEdit(const std::string &EditId, const std::string &Site,
                          const std::string &Text);

/// An edit of the base.
RequestedEdit baseEdit(const std::string &EditId, const std::string &Text);

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_SETTINGS_FAKEPLATFORM_H
