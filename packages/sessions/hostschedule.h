#ifndef NUTMEGLOOM_SESSIONS_HOSTSCHEDULE_H
#define NUTMEGLOOM_SESSIONS_HOSTSCHEDULE_H

#include "sessions/sessionengine.h"

namespace nutmegloom {

/// Which hosts a message goes to.
enum class PeerScope { None, SameRegion, All };

/// Decides when a host reads the store and tells other hosts, so that each
/// leadership is confirmed in time with few calls and bytes.
///
/// One host of a region reads the leadership records and tells the others; any
/// other reads them itself when what it heard gets old. Two hosts watch the
/// store closely; the others list again when they hear of a later version.
class HostSchedule {
public:
  HostSchedule(HostName Self, RegionName Region, const SessionEngine &Engine);

  bool isRecordsReadDue(TimePoint Now) const;
  void onRecordsReadBegun(TimePoint Now);
  /// Returns the hosts that go by this read until the next one.
  PeerScope onRecordsRead(bool Succeeded, TimePoint Now);
  bool areRecordsKnown() const { return RecordsKnown_; }

  PeerScope observationsDue(TimePoint Now) const;
  void onObservationsSent(PeerScope Scope, TimePoint Now);
  /// A leadership has changed; a promoter waits for every host to follow.
  void onLeadershipChanged() { HasUnsentLeadershipChange_ = true; }
  bool hasUnsentLeadershipChange() const { return HasUnsentLeadershipChange_; }

  /// The host is listed itself: only then it reads records, since promoters
  /// rely on the list to know who does.
  void onRegistered() { Registered_ = true; }

  /// How long a watch of the store waits without a change.
  Milliseconds watchWait(TimePoint Now) const;
  struct Refresh {
    bool Configuration = false;
    bool Databases = false;
  };
  /// Lists that other hosts have seen a later version of.
  Refresh refreshDue(TimePoint Now);

private:
  bool isRecordsReaderOfRegion(TimePoint Now) const;

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
  /// What the previous look found to be old: most changes reach all hosts at
  /// the same moment by their own watches.
  Refresh PreviouslyOutdated_;
};

/// Steps of a planned stop.
class GracefulStop {
public:
  /// GracePeriod: from the request to stop to the forced end of the process.
  explicit GracefulStop(Milliseconds GracePeriod) : GracePeriod_(GracePeriod) {}

  void begin(TimePoint Now);
  bool isStopping() const { return Since_.has_value(); }

  enum class Step {
    /// Serve on: callers still arrive.
    Serve,
    /// Close sessions that are idle.
    CloseIdle,
    /// Close idle sessions and roll open transactions back.
    EndTransactions,
    /// All is done.
    Finished,
    /// Time is up with sessions left.
    OutOfTime,
  };
  Step step(std::size_t Sessions, TimePoint Now) const;

private:
  Milliseconds GracePeriod_;
  std::optional<TimePoint> Since_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_HOSTSCHEDULE_H
