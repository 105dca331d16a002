#include "sessions/hostschedule.h"

#include <algorithm>

namespace nutmegloom {

namespace {

constexpr Milliseconds ObservationInterval{250};
/// Used between regions, where bandwidth is limited and charged for.
constexpr Milliseconds CrossRegionObservationInterval{500};
/// Minimum interval between two reads of the leadership records by a host.
constexpr Milliseconds RecordsInterval{350};
/// A host reads the records itself when a confirmation is older than this.
constexpr Milliseconds RecordsAgeLimit{680};
constexpr std::size_t ShortWatchHosts = 2;
constexpr Milliseconds ShortWatchTimeout{2000};
constexpr Milliseconds LongWatchTimeout{10000};
/// Used for short watches where configurations must be confirmed: each watch
/// that ends without a change confirms the present one.
constexpr Milliseconds ConfirmingWatchTimeout{800};
constexpr Milliseconds RefreshInterval{250};

} // namespace

HostSchedule::HostSchedule(HostName Self, RegionName Region,
                           const SessionEngine &Engine)
    : Self_(std::move(Self)), Region_(std::move(Region)), Engine_(Engine) {}

bool HostSchedule::isRecordsReaderOfRegion(TimePoint Now) const {
  const auto &Peers = Engine_.hosts().peers();
  for (const HostName &Name : Engine_.hosts().hostsReachingStore(Now)) {
    if (Name == Self_)
      return true;
    auto Peer = Peers.find(Name);
    if (Peer != Peers.end() && Peer->second.Region == Region_)
      return false;
  }
  return true;
}

bool HostSchedule::isRecordsReadDue(TimePoint Now) const {
  if (ReadingRecords_ || !Registered_ || Now - RecordsReadAt_ < RecordsInterval)
    return false;
  if (!RecordsKnown_ || isRecordsReaderOfRegion(Now))
    return true;
  for (const GroupId &Group : Engine_.databases().groups()) {
    std::optional<TimePoint> At = Engine_.authority().confirmedAt(Group);
    if (!At || Now - *At > RecordsAgeLimit)
      return true;
  }
  return false;
}

void HostSchedule::onRecordsReadBegun(TimePoint Now) {
  ReadingRecords_ = true;
  RecordsReadAt_ = Now;
}

PeerScope HostSchedule::onRecordsRead(bool Succeeded, TimePoint Now) {
  ReadingRecords_ = false;
  RecordsKnown_ |= Succeeded;
  return Succeeded && isRecordsReaderOfRegion(Now) ? PeerScope::SameRegion
                                                   : PeerScope::None;
}

PeerScope HostSchedule::observationsDue(TimePoint Now) const {
  if (!Registered_)
    return PeerScope::None;
  if (Now - CrossRegionSentAt_ >= CrossRegionObservationInterval)
    return PeerScope::All;
  if (Now - SentAt_ >= ObservationInterval)
    return PeerScope::SameRegion;
  return PeerScope::None;
}

void HostSchedule::onObservationsSent(PeerScope Scope, TimePoint Now) {
  SentAt_ = Now;
  if (Scope != PeerScope::All)
    return;
  CrossRegionSentAt_ = Now;
  HasUnsentLeadershipChange_ = false;
}

Milliseconds HostSchedule::watchWait(TimePoint Now) const {
  return isAmongFirst(ShortWatchHosts, Engine_.hosts().liveHosts(Now))
             ? ShortWatchTimeout
             : LongWatchTimeout;
}

Milliseconds HostSchedule::configurationWatchWait(TimePoint Now) const {
  if (!Engine_.freshness().isBounded() ||
      !Engine_.sessions().configuration().RequiresKeys)
    return watchWait(Now);
  return isAmongFirst(ShortWatchHosts, Engine_.hosts().hostsReachingStore(Now))
             ? ConfirmingWatchTimeout
             : LongWatchTimeout;
}

bool HostSchedule::isAmongFirst(std::size_t Count,
                                const std::vector<HostName> &Hosts) const {
  auto Rank = std::find(Hosts.begin(), Hosts.end(), Self_) - Hosts.begin();
  return static_cast<std::size_t>(Rank) < Count;
}

HostSchedule::Refresh HostSchedule::refreshDue(TimePoint Now) {
  if (Now - RefreshedAt_ < RefreshInterval)
    return {};
  Refresh Found;
  const auto &Peers = Engine_.hosts().peers();
  for (const HostName &Name : Engine_.hosts().liveHosts(Now)) {
    auto Peer = Peers.find(Name);
    if (Peer == Peers.end())
      continue;
    Found.Configuration |= Peer->second.ConfigurationVersion >
                           Engine_.sessions().configuration().Version;
    Found.Databases |=
        Peer->second.DatabaseListRevision > Engine_.databaseListRevision();
  }
  if (!Found.Configuration && !Found.Databases)
    return {};
  RefreshedAt_ = Now;
  Refresh Due{Found.Configuration && PreviouslyOutdated_.Configuration,
              Found.Databases && PreviouslyOutdated_.Databases};
  PreviouslyOutdated_ = Found;
  return Due;
}

} // namespace nutmegloom
