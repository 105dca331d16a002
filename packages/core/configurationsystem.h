#ifndef NUTMEGLOOM_CORE_CONFIGURATIONSYSTEM_H
#define NUTMEGLOOM_CORE_CONFIGURATIONSYSTEM_H

#include "core/tables.h"

#include <functional>

namespace nutmegloom {

/// Where the version in force was last compared with.
enum class ConfigurationSource { None, Peers, Store };
std::string_view nameOf(ConfigurationSource Source);

/// Keeps the configuration in force: decides whom to ask for newer versions
/// and never accepts a lower one.
class ConfigurationSystem {
public:
  struct Hooks {
    /// Waits at the store for a version above After.
    std::function<void(std::uint64_t After)> WatchStore;
    /// Asks a peer for its configuration.
    std::function<void(const HostName &)> FetchFromPeer;
    /// Puts a configuration in force; false when its text is not valid.
    std::function<bool(std::uint64_t Version, const std::string &Text)> Apply;
  };

  ConfigurationSystem(const Tables &Data, const Policy &Limits, HostName Self,
                      ZoneName Zone, Hooks Callbacks);

  void onStoreConfiguration(std::uint64_t Version, const std::string &Text,
                            TimePoint Now);
  /// The watch ended without a newer version: the store was reached.
  void onStoreUnchanged(TimePoint Now);
  void onStoreFailed(TimePoint Now);
  void onPeerConfiguration(const HostName &Host, std::uint64_t Version,
                           const std::string &Text, TimePoint Now);
  void onPeerFailed(const HostName &Host, TimePoint Now);

  /// Starts watches and fetches that are due.
  void tick(TimePoint Now);

  std::uint64_t version() const { return Version_; }
  const std::string &text() const { return Text_; }
  ConfigurationSource source() const { return Source_; }
  /// Version that was refused because its text is not valid; zero: none.
  std::uint64_t refusedVersion() const { return RefusedVersion_; }
  /// True when this host should hold a watch at the store.
  bool isWatcher() const;

private:
  void applyIfNewer(std::uint64_t Version, const std::string &Text);
  void startFetch(TimePoint Now);

  const Tables &Data_;
  const Policy &Limits_;
  HostName Self_;
  ZoneName Zone_;
  Hooks Hooks_;
  std::uint64_t Version_ = 0;
  std::string Text_;
  ConfigurationSource Source_ = ConfigurationSource::None;
  std::uint64_t RefusedVersion_ = 0;
  /// Set while a watch waits at the store.
  std::optional<TimePoint> WatchStarted_;
  std::optional<TimePoint> NextWatch_;
  std::optional<HostName> Fetching_;
  std::optional<TimePoint> FetchStarted_;
  std::map<HostName, TimePoint> PeerRetryAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_CONFIGURATIONSYSTEM_H
