#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREPORT_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREPORT_H

#include "core/types.h"

#include <map>
#include <set>

namespace nutmegloom {

/// Status of one host, from its /v1/status page.
struct HostStatus {
  /// Set if the host sent no valid answer. Then only Address, Name and Zone may
  /// be set.
  std::string Failure;
  std::string Address;
  HostName Name;
  ZoneName Zone;
  std::string State;
  std::uint64_t Version = 0;
  /// Source of the last comparison of Version: "store", "peers" or "none".
  std::string Source;
  /// Last version that the host refused; 0 if none.
  std::uint64_t RefusedVersion = 0;
  std::string RefusedReason;
  struct Group {
    GroupId Id;
    std::uint64_t Term = 0;
    DatabaseId Primary;
    std::string Phase;
  };
  std::vector<Group> Groups;
  /// Number of requests that the host has refused, by error code.
  std::map<std::string, std::uint64_t> Refusals;
};

/// Parses the body of a status page. Sets Failure if it can't be parsed.
HostStatus parseHostStatus(const std::string &Address, const std::string &Body);

/// Configuration versions in use at one site.
struct SiteStatus {
  std::size_t Hosts = 0;
  std::size_t Unanswered = 0;
  std::set<std::uint64_t> Versions;
};

/// Primary of a group, as reported by the hosts that know the highest term.
struct GroupStatus {
  std::uint64_t Term = 0;
  std::set<DatabaseId> Primaries;
  std::string Phase;
};

/// Summary of the status of all hosts.
struct StatusReport {
  std::map<ZoneName, SiteStatus> Sites;
  std::map<GroupId, GroupStatus> Groups;
  /// Refused configuration versions and requests with the reason, one line
  /// each.
  std::vector<std::string> Refused;
  /// Hosts that sent no valid answer, with the reason, one line each.
  std::vector<std::string> Failures;
};
/// Combines the status of all hosts into a report by site and group.
StatusReport summarize(const std::vector<HostStatus> &Hosts);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_STATUSREPORT_H
