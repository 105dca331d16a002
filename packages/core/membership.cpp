#include "core/membership.h"

#include <algorithm>

namespace nutmegloom {

/// A host that is not in the list is removed when no source has reported it for
/// this multiple of Policy::Suspect.
static constexpr int RemovalFactor = 20;
/// The store counts as reachable for this multiple of Policy::Suspect, because
/// the host list is read less often than heartbeats are sent.
static constexpr int StoreSilenceFactor = 4;
/// Maximum number of other hosts in a heartbeat. They only announce hosts that
/// are missing from the list, so it suffices to report all hosts over several
/// heartbeats.
static constexpr std::size_t SummariesPerHeartbeat = 4;

MembershipSystem::MembershipSystem(Tables &Data, const Policy &Limits,
                                   PeerHeartbeat Self, Hooks Callbacks)
    : Data_(Data), Limits_(Limits), Self_(std::move(Self)),
      Hooks_(std::move(Callbacks)) {}

HostEntity &MembershipSystem::findOrAddHost(const HostName &Host,
                                            TimePoint Now) {
  HostEntity &Entity = Data_.Hosts[Host];
  Entity.Name = Host;
  Entity.LastReportedAt = Now;
  return Entity;
}

void MembershipSystem::onHostList(const std::vector<ListedHost> &List,
                                  TimePoint Now) {
  for (auto &[Name, Host] : Data_.Hosts)
    Host.InList = Host.LeavingInList = false;
  for (auto &[Name, Database] : Data_.Databases)
    Database.LeavingInList = false;
  for (const ListedHost &Listed : List) {
    if (Listed.Role == "database") {
      if (const auto Found = Data_.Databases.find(Listed.Name);
          Found != Data_.Databases.end())
        Found->second.LeavingInList = Listed.Leaving;
      continue;
    }
    if (Listed.Role != "entry" || Listed.Name.empty())
      continue;
    HostEntity &Host = findOrAddHost(Listed.Name, Now);
    Host.InList = true;
    // Heartbeats of the host are more recent than the list.
    if (!Host.LastHeard) {
      Host.Zone = Listed.Zone;
      Host.Region = Listed.Region;
      Host.PeerAddress = Listed.PeerAddress;
    }
    Host.LeavingInList = Listed.Leaving;
  }
  for (auto &[Name, Database] : Data_.Databases)
    Database.Leaving = Database.LeavingInList ||
                       (Database.StatusSentAt && Database.Status.Leaving);
  onStoreContact(Now);
}

static void update(HostEntity &Host, const PeerHeartbeat &Message,
                   TimePoint Now) {
  Host.Region = Message.Region;
  Host.Zone = Message.Zone;
  Host.PeerAddress = Message.PeerAddress;
  Host.Incarnation = Message.Incarnation;
  Host.State = Message.State;
  Host.LastHeard = Now;
  Host.Suspected = false;
  Host.ConfigurationVersion = Message.ConfigurationVersion;
}

void MembershipSystem::onHeartbeat(const PeerHeartbeat &Message,
                                   TimePoint Now) {
  if (Message.Host.empty() || Message.Host == Self_.Host)
    return;
  update(findOrAddHost(Message.Host, Now), Message, Now);
  for (const PeerSummary &Summary : Message.Known)
    addSummarizedHost(Summary, Now);
}

void MembershipSystem::addSummarizedHost(const PeerSummary &Summary,
                                         TimePoint Now) {
  if (Summary.Host.empty() || Summary.Host == Self_.Host || Summary.Suspected ||
      Summary.Age >= Limits_.Suspect)
    return;
  HostEntity &Host = findOrAddHost(Summary.Host, Now);
  if (Host.LastHeard)
    return;
  Host.Region = Summary.Region;
  Host.Zone = Summary.Zone;
  Host.PeerAddress = Summary.PeerAddress;
}

void MembershipSystem::onPeerConnectionLost(const HostName &Host, TimePoint) {
  if (const auto Found = Data_.Hosts.find(Host);
      Found != Data_.Hosts.end() && Host != Self_.Host)
    Found->second.Suspected = true;
}

void MembershipSystem::addSeed(const std::string &PeerAddress) {
  if (PeerAddress != Self_.PeerAddress &&
      std::find(Seeds_.begin(), Seeds_.end(), PeerAddress) == Seeds_.end())
    Seeds_.push_back(PeerAddress);
}

void MembershipSystem::setState(HostState State) { Self_.State = State; }

void MembershipSystem::setConfigurationVersion(std::uint64_t Version) {
  Self_.ConfigurationVersion = Version;
}

bool MembershipSystem::isPartitioned(TimePoint Now) const {
  if (LastStoreContactAt_ &&
      Now - *LastStoreContactAt_ <= StoreSilenceFactor * Limits_.Suspect)
    return false;
  // This host itself counts as known and heard.
  std::size_t Known = 1;
  std::size_t Heard = 1;
  for (const auto &[Name, Host] : Data_.Hosts) {
    // A host that shut down in an orderly way does not indicate a partition.
    if (Name == Self_.Host || !Host.LastHeard ||
        Host.State == HostState::Leaving)
      continue;
    ++Known;
    if (Now - *Host.LastHeard <= Limits_.Suspect)
      ++Heard;
  }
  return Heard * 2 <= Known;
}

void MembershipSystem::onStoreContact(TimePoint Now) {
  LastStoreContactAt_ = Now;
}

void MembershipSystem::updateSelf(TimePoint Now) {
  update(findOrAddHost(Self_.Host, Now), Self_, Now);
}

void MembershipSystem::suspectSilentHosts(TimePoint Now) {
  for (auto &[Name, Host] : Data_.Hosts)
    if (Host.LastHeard && Now - *Host.LastHeard > Limits_.Suspect)
      Host.Suspected = true;
}

void MembershipSystem::removeStaleHosts(TimePoint Now) {
  // A partitioned host must not remove the hosts that it does not hear, since
  // it would then count itself as a majority.
  if (isPartitioned(Now))
    return;
  std::erase_if(Data_.Hosts, [&](const auto &Entry) {
    const HostEntity &Host = Entry.second;
    return !Host.InList && Host.LastReportedAt &&
           Now - *Host.LastReportedAt > RemovalFactor * Limits_.Suspect;
  });
}

std::vector<PeerSummary> MembershipSystem::summarize(TimePoint Now) {
  std::vector<PeerSummary> Summaries;
  auto Next = Data_.Hosts.lower_bound(NextSummarized_);
  for (std::size_t Seen = 0;
       Seen < Data_.Hosts.size() && Summaries.size() < SummariesPerHeartbeat;
       ++Seen) {
    if (Next == Data_.Hosts.end())
      Next = Data_.Hosts.begin();
    const HostEntity &Host = (Next++)->second;
    if (Host.Name == Self_.Host || !Host.LastHeard || Host.Suspected)
      continue;
    Summaries.push_back(
        {Host.Name, Host.Incarnation, Host.Region, Host.Zone, Host.PeerAddress,
         Host.State, Host.ConfigurationVersion,
         std::chrono::duration_cast<Milliseconds>(Now - *Host.LastHeard),
         Host.Suspected});
  }
  NextSummarized_ = Next == Data_.Hosts.end() ? HostName() : Next->first;
  return Summaries;
}

void MembershipSystem::sendHeartbeats(TimePoint Now) {
  std::vector<std::string> Addresses;
  Self_.Known = summarize(Now);
  for (const auto &[Name, Host] : Data_.Hosts) {
    if (Name == Self_.Host || Host.PeerAddress.empty())
      continue;
    Addresses.push_back(Host.PeerAddress);
    Hooks_.SendHeartbeat(Host, Self_);
  }
  for (const std::string &Seed : Seeds_) {
    if (std::find(Addresses.begin(), Addresses.end(), Seed) != Addresses.end())
      continue;
    HostEntity Unnamed;
    Unnamed.PeerAddress = Seed;
    Hooks_.SendHeartbeat(Unnamed, Self_);
  }
}

void MembershipSystem::tick(TimePoint Now) {
  updateSelf(Now);
  suspectSilentHosts(Now);
  removeStaleHosts(Now);
  if (LastHeartbeatAt_ && Now - *LastHeartbeatAt_ < Limits_.Heartbeat)
    return;
  LastHeartbeatAt_ = Now;
  sendHeartbeats(Now);
}

} // namespace nutmegloom
