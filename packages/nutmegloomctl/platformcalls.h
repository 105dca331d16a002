#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_PLATFORMCALLS_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_PLATFORMCALLS_H

#include "protocol/platformclient.h"
#include "settings/settings.h"

namespace nutmegloom {

/// The head as it was read from the store.
struct StoredHead {
  /// Version of the object; 0: there is no head yet.
  std::uint64_t Version = 0;
  ConfigurationHead Head;
};

/// Why the head could not be read.
struct HeadReadError {
  /// Set when the store could not be reached.
  std::optional<PlatformError> Reason;
  /// Set when the store's text is not a head.
  SettingsErrors Errors;
};

/// Calls of the platform that wait for their answer.
class PlatformCalls {
public:
  struct Hooks {
    /// Lets the client work until one of its handlers may have been called.
    std::function<void()> RunOnce;
    /// Waits before another try.
    std::function<void(Milliseconds)> Pause;
  };

  PlatformCalls(PlatformClient &Client, Hooks CallHooks);

  std::variant<StoredHead, HeadReadError> readHead();
  /// Returns the new version of the object.
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
