#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_PLATFORMCALLS_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_PLATFORMCALLS_H

#include "protocol/platformclient.h"
#include "settings/settings.h"

namespace nutmegloom {

/// The head of the configuration as read from the store.
struct StoredHead {
  /// Version of the store object; 0 if there is no head yet.
  std::uint64_t Version = 0;
  ConfigurationHead Head;
};

/// Why the head could not be read.
struct HeadReadError {
  /// Set if the call to the store failed.
  std::optional<PlatformError> Reason;
  /// Set if the stored text is not a valid head.
  SettingsErrors Errors;
};

/// Synchronous calls to the platform.
class PlatformCalls {
public:
  struct Hooks {
    /// Waits for one handler of the client's event loop and runs it.
    std::function<void()> RunOnce;
    /// Blocks for this time before a retry.
    std::function<void(Milliseconds)> Pause;
  };

  PlatformCalls(PlatformClient &Client, Hooks CallHooks);

  std::variant<StoredHead, HeadReadError> readHead();
  /// Replaces the head if its version is still Expected. Returns the new
  /// version.
  std::variant<std::uint64_t, PlatformError> writeHead(std::uint64_t Expected,
                                                       const std::string &Text);
  std::variant<std::vector<ListedHost>, PlatformError> listHosts();
  void pause(Milliseconds Time);

private:
  template <typename T> T waitFor(std::optional<T> &Result);

  PlatformClient &Client_;
  Hooks Hooks_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_PLATFORMCALLS_H
