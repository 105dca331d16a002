#ifndef NUTMEGLOOM_NUTMEGLOOMD_PLATFORMWATCH_H
#define NUTMEGLOOM_NUTMEGLOOMD_PLATFORMWATCH_H

#include "nutmegloomd/hostcontext.h"
#include "protocol/platformclient.h"

namespace nutmegloom {

/// Reads the platform's host list and watches the head of the configuration.
class PlatformWatch {
public:
  PlatformWatch(HostContext &Context, const std::string &Address);

  /// Reads the host list when it is due.
  void tick(TimePoint Now);
  /// Waits once for a version of the head above After.
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
