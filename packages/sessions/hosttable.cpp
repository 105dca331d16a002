#include "sessions/hosttable.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// A host is live for this long after its latest message.
constexpr Milliseconds LivenessTimeout{1200};
/// How long the connections of a lost host are counted: databases close them
/// after some seconds.
constexpr Milliseconds ConnectionLinger{4000};

} // namespace

void HostTable::applyListed(const std::map<HostName, ListedHost> &Hosts,
                            TimePoint BegunAt) {
  Listed_.clear();
  ListedAt_ = BegunAt;
  for (const auto &[Host, Entry] : Hosts) {
    if (Host == Self_)
      continue;
    Listed_.push_back(Host);
    Peer &Known = Peers_[Host];
    Known.Address = Entry.Address;
    Known.Zone = Entry.Zone;
    if (!Entry.Region.empty())
      Known.Region = Entry.Region;
  }
  std::erase_if(Peers_, [&](const auto &Entry) {
    return !Hosts.contains(Entry.first) && !Entry.second.HeardAt;
  });
}

bool HostTable::isListed(const HostName &Host) const {
  return std::find(Listed_.begin(), Listed_.end(), Host) != Listed_.end();
}

bool HostTable::isMember(const HostName &Host, TimePoint Now) const {
  return ListedAt_ ? isListed(Host) : isLive(Host, Now);
}

bool HostTable::allAtRevision(const GroupId &Group, StoreRevision Revision,
                              TimePoint Since) const {
  if (!ListedAt_ || *ListedAt_ < Since)
    return false;
  return std::all_of(Listed_.begin(), Listed_.end(), [&](const auto &Host) {
    auto Known = Peers_.find(Host);
    if (Known == Peers_.end())
      return false;
    auto Followed = Known->second.RecordRevisions.find(Group);
    return Followed != Known->second.RecordRevisions.end() &&
           Followed->second >= Revision;
  });
}

std::optional<TimePoint> HostTable::onMessage(const HostObservation &Message,
                                              TimePoint Now) {
  if (Message.Host == Self_)
    return std::nullopt;
  Peer &Sender = Peers_[Message.Host];
  bool SameProcess = Sender.Incarnation == Message.Incarnation;
  if (SameProcess && Message.SentAt <= Sender.SentAt)
    return std::nullopt;
  if (!SameProcess)
    Sender.RecordRevisions.clear();
  Sender.Address = Message.Address;
  Sender.Region = Message.Region;
  Sender.Incarnation = Message.Incarnation;
  Sender.SentAt = Message.SentAt;
  Sender.HeardAt = Now;
  Sender.Leaving = Message.Leaving;
  Sender.ReachesStore = Message.ReachesStore;
  for (const GroupObservation &Group : Message.Groups)
    Sender.RecordRevisions[Group.Record.Group] = Group.Record.Revision;
  Sender.ConfigurationVersion = Message.ConfigurationVersion;
  Sender.Members = Message.Members;
  Sender.DatabaseListRevision = Message.DatabaseListRevision;
  if (Message.EchoIncarnation != Incarnation_)
    return std::nullopt;
  TimePoint SentAfter{std::chrono::microseconds(Message.EchoSentAt)};
  if (SentAfter > Now)
    return std::nullopt;
  for (const GroupObservation &Group : Message.Groups) {
    if (!Group.LeaderAnsweredAge || Group.Record.Leader.empty())
      continue;
    TimePoint &Answered = Sender.LeaderAnswered[Group.Record.Leader];
    Answered = std::max(Answered, SentAfter - *Group.LeaderAnsweredAge);
  }
  return SentAfter;
}

bool HostTable::isLive(const HostName &Host, TimePoint Now) const {
  if (Host == Self_)
    return true;
  auto Found = Peers_.find(Host);
  return Found != Peers_.end() && Found->second.HeardAt &&
         Now - *Found->second.HeardAt < LivenessTimeout;
}

std::vector<HostName> HostTable::liveHosts(TimePoint Now) const {
  std::vector<HostName> Live{Self_};
  for (const auto &[Name, Known] : Peers_)
    if (isLive(Name, Now) && !Known.Leaving)
      Live.push_back(Name);
  std::sort(Live.begin(), Live.end());
  return Live;
}

bool HostTable::allListedLive(TimePoint Now) const {
  return std::all_of(Listed_.begin(), Listed_.end(),
                     [&](const HostName &Name) { return isLive(Name, Now); });
}

std::vector<HostName> HostTable::hostsReachingStore(TimePoint Now) const {
  std::vector<HostName> Live = liveHosts(Now);
  std::erase_if(Live, [&](const HostName &Name) {
    auto Known = Peers_.find(Name);
    return Known != Peers_.end() && !Known->second.ReachesStore;
  });
  return Live;
}

std::size_t HostTable::connectionHolders(TimePoint Now) const {
  // A listed host without an address is a former one.
  return 1 + static_cast<std::size_t>(std::count_if(
                 Peers_.begin(), Peers_.end(), [&](const auto &Entry) {
                   const auto &[Name, Known] = Entry;
                   if (!Known.HeardAt)
                     return isListed(Name) && !Known.Address.empty();
                   return Now - *Known.HeardAt < ConnectionLinger;
                 }));
}

std::optional<TimePoint>
HostTable::latestAnswerToOthers(const DatabaseId &Database,
                                TimePoint Now) const {
  std::optional<TimePoint> Latest;
  for (const auto &[Name, Known] : Peers_) {
    auto Found = Known.LeaderAnswered.find(Database);
    if (Found == Known.LeaderAnswered.end() || !isLive(Name, Now))
      continue;
    if (!Latest || *Latest < Found->second)
      Latest = Found->second;
  }
  return Latest;
}

std::pair<std::size_t, std::size_t>
HostTable::countHostsReaching(const DatabaseId &Database, TimePoint Since,
                              TimePoint Now) const {
  std::size_t Reached = 0;
  std::size_t Live = 0;
  for (const auto &[Name, Known] : Peers_) {
    if (!isLive(Name, Now))
      continue;
    ++Live;
    auto Found = Known.LeaderAnswered.find(Database);
    if (Found != Known.LeaderAnswered.end() && Found->second >= Since)
      ++Reached;
  }
  return {Reached, Live};
}

} // namespace nutmegloom
