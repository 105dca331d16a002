#include "core/configurationsystem.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace nutmegloom {

static constexpr std::size_t WatchersPerZone = 2;
/// Delay before the next watch after a failure or an unusable result, because
/// the number of calls to the store is limited.
static constexpr Milliseconds WatchRetryPause{1000};
/// Time after which a fetch from a peer without a result is abandoned.
static constexpr Milliseconds FetchTimeout{2000};
/// Time after which a watch without a result is abandoned.
static constexpr Milliseconds WatchTimeout{120000};
/// Delay before a peer that did not return a newer version is asked again.
static constexpr Milliseconds PeerRetryPause{1000};

std::string_view nameOf(ConfigurationSource Source) {
  switch (Source) {
  case ConfigurationSource::None:
    return "none";
  case ConfigurationSource::Peers:
    return "peers";
  case ConfigurationSource::Store:
    return "store";
  }
  return "invalid";
}

ConfigurationSystem::ConfigurationSystem(const Tables &Data,
                                         const Policy &Limits, HostName Self,
                                         ZoneName Zone, Hooks Callbacks)
    : Data_(Data), Limits_(Limits), Self_(std::move(Self)),
      Zone_(std::move(Zone)), Hooks_(std::move(Callbacks)) {}

void ConfigurationSystem::applyIfNewer(std::uint64_t Version,
                                       const std::string &Text) {
  if (Version <= Version_ || Version == RefusedVersion_)
    return;
  if (!Hooks_.Apply(Version, Text)) {
    RefusedVersion_ = std::max(RefusedVersion_, Version);
    return;
  }
  Version_ = Version;
  Text_ = Text;
}

void ConfigurationSystem::onStoreConfiguration(std::uint64_t Version,
                                               const std::string &Text,
                                               TimePoint Now) {
  WatchStarted_.reset();
  NextWatch_ = Now;
  if (Version < Version_) {
    // The store returned an older version than the current one. Asking again at
    // once would give the same answer.
    NextWatch_ = Now + WatchRetryPause;
    return;
  }
  applyIfNewer(Version, Text);
  if (Version_ == Version)
    Source_ = ConfigurationSource::Store;
}

void ConfigurationSystem::onStoreUnchanged(TimePoint Now) {
  WatchStarted_.reset();
  NextWatch_ = Now;
  if (Version_ > 0)
    Source_ = ConfigurationSource::Store;
  else
    // The store has no configuration yet and may answer every watch at once.
    NextWatch_ = Now + WatchRetryPause;
}

void ConfigurationSystem::onStoreFailed(TimePoint Now) {
  WatchStarted_.reset();
  NextWatch_ = Now + WatchRetryPause;
}

void ConfigurationSystem::onPeerConfiguration(const HostName &Host,
                                              std::uint64_t Version,
                                              const std::string &Text,
                                              TimePoint Now) {
  if (Fetching_ == Host)
    Fetching_.reset();
  const std::uint64_t PreviousVersion = Version_;
  applyIfNewer(Version, Text);
  if (Version_ > PreviousVersion)
    Source_ = ConfigurationSource::Peers;
  else
    // The peer had announced a newer version than the one it returned.
    PeerRetryAt_[Host] = Now + PeerRetryPause;
}

void ConfigurationSystem::onPeerFailed(const HostName &Host, TimePoint Now) {
  if (Fetching_ == Host)
    Fetching_.reset();
  PeerRetryAt_[Host] = Now + PeerRetryPause;
}

bool ConfigurationSystem::isWatcher() const {
  std::vector<HostName> Candidates{Self_};
  for (const auto &[Name, Host] : Data_.Hosts)
    if (Host.Zone == Zone_ && Name != Self_ && isLive(Host))
      Candidates.push_back(Name);
  const std::vector<HostName> Ranked =
      rankHosts("configuration@" + Zone_, std::move(Candidates));
  const auto Last =
      Ranked.begin() +
      static_cast<std::ptrdiff_t>(std::min(WatchersPerZone, Ranked.size()));
  return std::find(Ranked.begin(), Last, Self_) != Last;
}

void ConfigurationSystem::tick(TimePoint Now) {
  if (WatchStarted_ && Now - *WatchStarted_ >= WatchTimeout)
    WatchStarted_.reset();
  // A host without a configuration watches the store whatever its rank is.
  if (!WatchStarted_ && (!NextWatch_ || Now >= *NextWatch_) &&
      (Source_ == ConfigurationSource::None || isWatcher())) {
    WatchStarted_ = Now;
    // Watch for versions above the refused one, too. Otherwise the store would
    // return the refused version again and again.
    Hooks_.WatchStore(std::max(Version_, RefusedVersion_));
  }
  startFetch(Now);
}

void ConfigurationSystem::startFetch(TimePoint Now) {
  if (Fetching_ && Now - *FetchStarted_ >= FetchTimeout) {
    PeerRetryAt_[*Fetching_] = Now + PeerRetryPause;
    Fetching_.reset();
  }
  std::erase_if(PeerRetryAt_,
                [Now](const auto &Entry) { return Entry.second <= Now; });
  if (Fetching_)
    return;
  const HostEntity *Best = nullptr;
  for (const auto &[Name, Host] : Data_.Hosts) {
    if (Name == Self_ || Host.Suspected ||
        Host.ConfigurationVersion <= std::max(Version_, RefusedVersion_) ||
        PeerRetryAt_.contains(Name))
      continue;
    // Of several hosts with the newest version, prefer one in the same zone,
    // because traffic between regions is billed.
    const auto Preference = [this](const HostEntity &Candidate) {
      return std::pair(Candidate.ConfigurationVersion, Candidate.Zone == Zone_);
    };
    if (!Best || Preference(Host) > Preference(*Best))
      Best = &Host;
  }
  if (!Best)
    return;
  Fetching_ = Best->Name;
  FetchStarted_ = Now;
  Hooks_.FetchFromPeer(Best->Name);
}

} // namespace nutmegloom
