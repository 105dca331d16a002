#ifndef NUTMEGLOOM_CORE_CONFIGURATIONSYSTEM_H
#define NUTMEGLOOM_CORE_CONFIGURATIONSYSTEM_H

#include "core/tables.h"

#include <functional>

namespace nutmegloom {

/// Where the current configuration version was last obtained or confirmed.
enum class ConfigurationSource { None, Peers, Store };
std::string_view nameOf(ConfigurationSource Source);

/// Maintains the current configuration: decides when to ask the store or a peer
/// for a newer version, and never accepts an older one.
class ConfigurationSystem {
public:
  struct Hooks {
    /// Starts to wait at the store for a version higher than After.
    std::function<void(std::uint64_t After)> WatchStore;
    /// Requests the configuration of a peer.
    std::function<void(const HostName &)> FetchFromPeer;
    /// Applies a configuration; returns false if its text is not valid.
    std::function<bool(std::uint64_t Version, const std::string &Text)> Apply;
  };

  ConfigurationSystem(const Tables &Data, const Policy &Limits, HostName Self,
                      ZoneName Zone, Hooks Callbacks);

  void onStoreConfiguration(std::uint64_t Version, const std::string &Text,
                            TimePoint Now);
  /// The watch ended without a newer version, so the store is reachable.
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
  /// Highest version that was refused because its text is not valid; zero if
  /// there is none.
  std::uint64_t refusedVersion() const { return RefusedVersion_; }
  /// True if this host is one of those in its zone that watch the store.
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
  /// Start of the watch in progress, if there is one.
  std::optional<TimePoint> WatchStarted_;
  std::optional<TimePoint> NextWatch_;
  std::optional<HostName> Fetching_;
  std::optional<TimePoint> FetchStarted_;
  std::map<HostName, TimePoint> PeerRetryAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_CONFIGURATIONSYSTEM_H
