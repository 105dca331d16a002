#ifndef NUTMEGLOOM_CORE_TABLES_H
#define NUTMEGLOOM_CORE_TABLES_H

#include "core/messages.h"

#include <map>

namespace nutmegloom {

/// Configuration and last known state of a database.
struct DatabaseEntity {
  DatabaseId Id;
  GroupId Group;
  ZoneName Zone;
  RegionName Region;
  std::string ServiceAddress;
  std::string ControlAddress;
  /// Number of statements that the database executes concurrently.
  std::uint32_t Slots = 1;
  /// Number of connections that the database accepts.
  std::uint32_t ConnectionCap = 1;
  /// The host list or the database's own status says that it is leaving.
  bool Leaving = false;
  /// Last status; valid only if StatusSentAt is set.
  DatabaseStatus Status;
  /// When the request for the last status was sent. The reported term is known
  /// to be valid at this time only, because the reply may have been delayed.
  std::optional<TimePoint> StatusSentAt;
  std::optional<TimePoint> StatusReceivedAt;
  /// When status requests began to fail; absent if the last one succeeded.
  std::optional<TimePoint> FailingSince;
  /// The host list says that the database is leaving.
  bool LeavingInList = false;
};

/// A group of databases that replicate one log, as known to this host.
struct GroupEntity {
  GroupId Id;
  std::string Service;
  std::vector<DatabaseId> Members;
  /// Highest term for which a primary is known.
  std::uint64_t Term = 0;
  /// Primary of Term. Absent while no primary is known.
  std::optional<DatabaseId> Primary;
  TermHistory Terms;
  /// This host requests statuses of the members because it serves requests of
  /// the group.
  bool Active = false;
  /// When this host last received a request of the group as owner.
  TimePoint LastUsed;
};

/// A host, as known from the platform's list and from heartbeats.
struct HostEntity {
  HostName Name;
  RegionName Region;
  ZoneName Zone;
  std::string PeerAddress;
  std::string Incarnation;
  HostState State = HostState::Unknown;
  bool InList = false;
  /// The platform's list says that the host is leaving.
  bool LeavingInList = false;
  std::optional<TimePoint> LastHeard;
  /// The connection to the host was lost or its heartbeats stopped, and no
  /// heartbeat has arrived since.
  bool Suspected = false;
  std::uint64_t ConfigurationVersion = 0;
  /// When the list, a heartbeat or a peer's summary last reported the host.
  std::optional<TimePoint> LastReportedAt;
};

/// True if the host may own groups.
bool isLive(const HostEntity &Host);

/// The data that the systems of the engine share.
struct Tables {
  std::map<HostName, HostEntity> Hosts;
  std::map<GroupId, GroupEntity> Groups;
  std::map<DatabaseId, DatabaseEntity> Databases;
};

/// Limits and intervals from the settings.
struct Policy {
  /// Longest delay that a database may add to a status reply, and the delay
  /// before a failed status request is repeated.
  Milliseconds StatusInterval{150};
  /// Age up to which a reported term counts as current.
  Milliseconds TermValidity{400};
  /// Time without a status of the primary after which it may be replaced.
  Milliseconds PrimarySilence{1000};
  /// Interval of the heartbeats between hosts.
  Milliseconds Heartbeat{500};
  /// Time without a heartbeat after which a host is suspected.
  Milliseconds Suspect{1500};
  /// Minimum age at which an unanswered write may be considered lost.
  Milliseconds ConnectionSilence{2000};
  Milliseconds DrainTimeout{30000};
  Milliseconds StatementTimeout{5000};
  Milliseconds StatementTimeoutMaximum{30000};
  /// Maximum number of waiting requests per database, and per group while it
  /// has no primary.
  std::uint32_t WaitingRequests = 1024;
  /// Priority class of requests. Classes are served in proportion to their
  /// weights.
  struct WorkClass {
    std::string Name;
    std::uint32_t Weight = 1;
  };
  std::vector<WorkClass> Classes;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TABLES_H
