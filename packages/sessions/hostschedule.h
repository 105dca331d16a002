#ifndef NUTMEGLOOM_SESSIONS_HOSTSCHEDULE_H
#define NUTMEGLOOM_SESSIONS_HOSTSCHEDULE_H

#include "sessions/sessionengine.h"

namespace nutmegloom {

/// Hosts to which a message is sent.
enum class PeerScope { None, SameRegion, All };

/// Decides when a host reads the store and when it sends observations to other
/// hosts, so that each leadership is confirmed in time with little traffic.
///
/// One host of each region reads the leadership records and sends them to the
/// others; another host reads them itself only when its confirmations become
/// too old. Two hosts use short watches of the store; the others use long ones,
/// and list again when another host announces a later version.
class HostSchedule {
public:
  HostSchedule(HostName Self, RegionName Region, const SessionEngine &Engine);

  bool isRecordsReadDue(TimePoint Now) const;
  void onRecordsReadBegun(TimePoint Now);
  /// Returns the hosts to which the records are to be sent now.
  PeerScope onRecordsRead(bool Succeeded, TimePoint Now);
  bool areRecordsKnown() const { return RecordsKnown_; }

  PeerScope observationsDue(TimePoint Now) const;
  void onObservationsSent(PeerScope Scope, TimePoint Now);
  /// A leadership has changed. All hosts are informed at once, since a
  /// promotion waits until every host uses the new record.
  void onLeadershipChanged() { HasUnsentLeadershipChange_ = true; }
  bool hasUnsentLeadershipChange() const { return HasUnsentLeadershipChange_; }

  /// This host is listed in the store. It reads no records before that, because
  /// a promotion relies on the list to contain all hosts that use records.
  void onRegistered() { Registered_ = true; }

  /// How long a watch of the list of databases waits for a change.
  Milliseconds watchWait(TimePoint Now) const;
  /// How long a watch of the configuration waits for a change.
  Milliseconds configurationWatchWait(TimePoint Now) const;
  struct Refresh {
    bool Configuration = false;
    bool Databases = false;
  };
  /// Which lists are to be read again, because another host had a later version
  /// of them at this check and at the one before.
  Refresh refreshDue(TimePoint Now);

private:
  bool isRecordsReaderOfRegion(TimePoint Now) const;
  bool isAmongFirst(std::size_t Count,
                    const std::vector<HostName> &Hosts) const;

  HostName Self_;
  RegionName Region_;
  const SessionEngine &Engine_;
  bool Registered_ = false;
  bool RecordsKnown_ = false;
  bool ReadingRecords_ = false;
  bool HasUnsentLeadershipChange_ = false;
  TimePoint RecordsReadAt_;
  TimePoint SentAt_;
  TimePoint CrossRegionSentAt_;
  TimePoint RefreshedAt_;
  /// Lists that were outdated at the previous check. A list must be outdated
  /// twice to be read again, since most changes reach all hosts by their own
  /// watches at about the same time.
  Refresh PreviouslyOutdated_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_HOSTSCHEDULE_H
