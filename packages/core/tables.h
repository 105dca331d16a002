#ifndef NUTMEGLOOM_CORE_TABLES_H
#define NUTMEGLOOM_CORE_TABLES_H

#include "core/messages.h"

#include <map>

namespace nutmegloom {

/// A database as the configuration describes it and as its status shows it.
struct DatabaseEntity {
  DatabaseId Id;
  GroupId Group;
  ZoneName Zone;
  RegionName Region;
  std::string ServiceAddress;
  std::string ControlAddress;
  /// Statements that the database executes at once.
  std::uint32_t Slots = 1;
  /// Connections that the database accepts.
  std::uint32_t ConnectionCap = 1;
  /// Leaving by the host list or by the database's own status.
  bool Leaving = false;
  /// Last status. Meaningful only when StatusSentAt is set.
  DatabaseStatus Status;
  /// When the request for the last status was sent. A statement of a term
  /// counts from this time, because the reply may have been delayed.
  std::optional<TimePoint> StatusSentAt;
  std::optional<TimePoint> StatusReceivedAt;
  /// When status requests began to fail, if they fail now.
  std::optional<TimePoint> FailingSince;
  /// Leaving by the host list.
  bool LeavingInList = false;
};

/// A group as this host knows it.
struct GroupEntity {
  GroupId Id;
  std::string Service;
  std::vector<DatabaseId> Members;
  /// Highest term for which a primary is known.
  std::uint64_t Term = 0;
  /// Primary of Term. Absent while no primary is known.
  std::optional<DatabaseId> Primary;
  TermHistory Terms;
  /// This host polls the members and may serve tasks.
  bool Active = false;
  /// Last time when a task of this group was served here.
  TimePoint LastUsed;
};

/// A host as the platform's list and heartbeats show it.
struct HostEntity {
  HostName Name;
  RegionName Region;
  ZoneName Zone;
  std::string PeerAddress;
  std::string Incarnation;
  HostState State = HostState::Unknown;
  bool InList = false;
  /// The platform's list says that the host leaves.
  bool LeavingInList = false;
  std::optional<TimePoint> LastHeard;
  /// A peer connection broke and no heartbeat was heard since.
  bool Suspected = false;
  std::uint64_t ConfigurationVersion = 0;
  /// When the list, a heartbeat or a peer's live summary last showed the host.
  std::optional<TimePoint> LastReportedAt;
};

/// True when the host may be chosen to own groups.
bool isLive(const HostEntity &Host);

/// All entities that the systems run over.
struct Tables {
  std::map<HostName, HostEntity> Hosts;
  std::map<GroupId, GroupEntity> Groups;
  std::map<DatabaseId, DatabaseEntity> Databases;
};

/// Limits and times of the decisions, from the settings.
struct Policy {
  Milliseconds StatusInterval{150};
  Milliseconds TermValidity{400};
  Milliseconds PrimarySilence{1000};
  Milliseconds Heartbeat{500};
  Milliseconds Suspect{1500};
  Milliseconds ConnectionSilence{2000};
  Milliseconds DrainTimeout{30000};
  Milliseconds StatementTimeout{5000};
  Milliseconds StatementTimeoutMaximum{30000};
  /// Waiting requests per database, and per group while it has no primary.
  std::uint32_t WaitingRequests = 1024;
  /// A class of work: greater weight is served more often, in proportion.
  struct WorkClass {
    std::string Name;
    std::uint32_t Weight = 1;
  };
  std::vector<WorkClass> Classes;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_TABLES_H
