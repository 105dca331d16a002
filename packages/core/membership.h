#ifndef NUTMEGLOOM_CORE_MEMBERSHIP_H
#define NUTMEGLOOM_CORE_MEMBERSHIP_H

#include "core/tables.h"

#include <functional>

namespace nutmegloom {

/// An entry of the platform's lagging list of hosts.
struct ListedHost {
  std::string Name;
  /// "entry" or "database".
  std::string Role;
  ZoneName Zone;
  RegionName Region;
  std::string PeerAddress;
  bool Leaving = false;
};

/// Keeps the host table: candidates from the platform's list, from settings
/// and from peers; liveness from heartbeats.
class MembershipSystem {
public:
  struct Hooks {
    /// Sends a heartbeat to the peer at the host's address.
    std::function<void(const HostEntity &, const PeerHeartbeat &)>
        SendHeartbeat;
  };

  MembershipSystem(Tables &Data, const Policy &Limits, PeerHeartbeat Self,
                   Hooks Callbacks);

  /// Puts the platform's list in force. Marks leaving databases as well.
  void onHostList(const std::vector<ListedHost> &List, TimePoint Now);
  /// A heartbeat or the reply to one.
  void onHeartbeat(const PeerHeartbeat &Message, TimePoint Now);
  /// The peer connection to the host broke or could not be made.
  void onPeerConnectionLost(const HostName &Host, TimePoint Now);
  /// Adds a peer known by its address only, from the host's settings.
  void addSeed(const std::string &PeerAddress);

  void setState(HostState State);
  void setConfigurationVersion(std::uint64_t Version);
  const PeerHeartbeat &self() const { return Self_; }

  /// True when neither a majority of the hosts that were live, this one
  /// included, nor the store was heard lately.
  bool isPartitioned(TimePoint Now) const;
  void onStoreContact(TimePoint Now);

  /// Sends heartbeats that are due and suspects silent hosts.
  void tick(TimePoint Now);

private:
  HostEntity &findOrAddHost(const HostName &Host, TimePoint Now);
  void addSummarizedHost(const PeerSummary &Summary, TimePoint Now);
  void updateSelf(TimePoint Now);
  void suspectSilentHosts(TimePoint Now);
  void removeStaleHosts(TimePoint Now);
  void sendHeartbeats(TimePoint Now);
  std::vector<PeerSummary> summarize(TimePoint Now);

  Tables &Data_;
  const Policy &Limits_;
  PeerHeartbeat Self_;
  Hooks Hooks_;
  std::vector<std::string> Seeds_;
  std::optional<TimePoint> LastHeartbeatAt_;
  std::optional<TimePoint> LastStoreContactAt_;
  /// Where the rotation over the hosts in summaries continues.
  HostName NextSummarized_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_MEMBERSHIP_H
