#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREPORT_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREPORT_H

#include "core/types.h"

#include <map>
#include <set>

namespace nutmegloom {

/// What one host says about itself at /v1/status.
struct HostStatus {
  /// Set when the host gave no readable answer; the other fields are empty.
  std::string Failure;
  std::string Address;
  HostName Name;
  ZoneName Zone;
  std::string State;
  std::uint64_t Version = 0;
  /// Where the host last compared its version: "store", "peers" or "none".
  std::string Source;
  /// Version that the host refused; 0: none.
  std::uint64_t RefusedVersion = 0;
  std::string RefusedReason;
  struct Group {
    GroupId Id;
    std::uint64_t Term = 0;
    DatabaseId Primary;
    std::string Phase;
  };
  std::vector<Group> Groups;
  /// Requests that the host has refused, by error code.
  std::map<std::string, std::uint64_t> Refusals;
};

/// Reads the body of a host's status.
HostStatus parseHostStatus(const std::string &Address, const std::string &Body);

/// Versions that the hosts of one site follow.
struct SiteStatus {
  std::size_t Hosts = 0;
  std::size_t Unanswered = 0;
  std::set<std::uint64_t> Versions;
};

/// Primary of a group by the hosts that know the highest term.
struct GroupStatus {
  std::uint64_t Term = 0;
  std::set<DatabaseId> Primaries;
  std::string Phase;
};

/// The hosts' statuses taken together.
struct StatusReport {
  std::map<ZoneName, SiteStatus> Sites;
  std::map<GroupId, GroupStatus> Groups;
  /// "what is refused and why", one line each.
  std::vector<std::string> Refused;
  /// Hosts without an answer and why.
  std::vector<std::string> Failures;
};
StatusReport summarize(const std::vector<HostStatus> &Hosts);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREPORT_H
