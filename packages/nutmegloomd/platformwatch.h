#ifndef NUTMEGLOOM_NUTMEGLOOMD_PLATFORMWATCH_H
#define NUTMEGLOOM_NUTMEGLOOMD_PLATFORMWATCH_H

#include "nutmegloomd/hostcontext.h"
#include "protocol/platformclient.h"

namespace nutmegloom {

/// Polls the platform's host list and watches the head of the configuration.
class PlatformWatch {
public:
  PlatformWatch(HostContext &Context, const std::string &Address);

  /// Requests the host list if the polling interval has passed.
  void tick(TimePoint Now);
  /// Starts one watch for a version of the head above After. The outcome is
  /// reported to the configuration system, which starts the next watch.
  void watchHead(std::uint64_t After);

private:
  void onList(const std::variant<std::vector<ListedHost>, PlatformError> &List);
  void onHead(const std::variant<PlatformObject, PlatformError> &Head);

  HostContext &Context_;
  std::shared_ptr<PlatformClient> Client_;
  std::optional<TimePoint> NextHostListAt_;
  bool HostListInProgress_ = false;
  bool HostListFailing_ = false;
  bool StoreFailing_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_PLATFORMWATCH_H
