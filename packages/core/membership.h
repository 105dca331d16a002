#ifndef NUTMEGLOOM_CORE_MEMBERSHIP_H
#define NUTMEGLOOM_CORE_MEMBERSHIP_H

#include "core/tables.h"

#include <functional>

namespace nutmegloom {

/// An entry of the platform's list of hosts, which lags behind the actual
/// state.
struct ListedHost {
  std::string Name;
  /// "entry" for a host of this program, or "database".
  std::string Role;
  ZoneName Zone;
  RegionName Region;
  std::string PeerAddress;
  bool Leaving = false;
};

/// Maintains the table of hosts. Hosts become known through the platform's
/// list, the settings and other hosts; heartbeats show which of them are live.
class MembershipSystem {
public:
  struct Hooks {
    /// Sends a heartbeat to the peer at the host's address.
    std::function<void(const HostEntity &, const PeerHeartbeat &)>
        SendHeartbeat;
  };

  MembershipSystem(Tables &Data, const Policy &Limits, PeerHeartbeat Self,
                   Hooks Callbacks);

  /// Applies the platform's list. Also updates which databases are leaving.
  void onHostList(const std::vector<ListedHost> &List, TimePoint Now);
  /// A heartbeat or the reply to one.
  void onHeartbeat(const PeerHeartbeat &Message, TimePoint Now);
  /// The connection to the peer was lost or could not be established.
  void onPeerConnectionLost(const HostName &Host, TimePoint Now);
  /// Adds a peer of which only the address is known, from the host's settings.
  void addSeed(const std::string &PeerAddress);

  void setState(HostState State);
  void setConfigurationVersion(std::uint64_t Version);
  const PeerHeartbeat &self() const { return Self_; }

  /// True if this host has recently heard from neither the store nor a majority
  /// of the known hosts, itself included. Hosts that are leaving don't count.
  bool isPartitioned(TimePoint Now) const;
  void onStoreContact(TimePoint Now);

  /// Sends heartbeats that are due and marks silent hosts as suspected.
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
  /// Host at which the next summary starts, so that successive heartbeats cover
  /// all hosts.
  HostName NextSummarized_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_MEMBERSHIP_H
