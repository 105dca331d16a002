#ifndef NUTMEGLOOM_TESTS_SESSIONS_LOADPLAY_H
#define NUTMEGLOOM_TESTS_SESSIONS_LOADPLAY_H

#include "sessions/statementrunner.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>

namespace nutmegloom {

/// Plays a load of reads on the statement runners of several hosts, with
/// databases that have slots, a queue and a connection cap, on a clock of its
/// own. Databases go on counting the connections of a host that lost power.
class LoadPlay {
public:
  struct Parameters {
    std::size_t Hosts = 8;
    std::size_t Slots = 3;
    std::uint32_t ConnectionCap = 21;
    Milliseconds ServiceTime{20};
    /// Reads of all callers, a second.
    double ReadsPerSecond = 100;
    /// Only the leader may run the reads.
    bool NeedsLeader = false;
    /// The logs of the replicas never reach the required position.
    bool ReplicasLag = false;
    Milliseconds Deadline{1000};
  };
  /// What callers got for the reads that they sent in an interval.
  struct Outcome {
    std::size_t Sent = 0;
    std::size_t Served = 0;
    std::size_t Refused = 0;
    /// Longest time after which a read was refused.
    Milliseconds LongestRefusal{0};
    /// Sum of the times after which reads were refused.
    Milliseconds HeldRefused{0};
  };

  explicit LoadPlay(Parameters Chosen);
  ~LoadPlay();

  /// Plays Span and returns the outcome of the reads that were sent in it.
  Outcome run(Milliseconds Span);
  /// All hosts lose power and are back after Down. Callers send nothing until
  /// then.
  void restartHosts(Milliseconds Down);
  std::size_t connectionsOf(const DatabaseId &Id) const;

private:
  struct Database;
  struct Host;
  struct Connection;

  void at(TimePoint Time, std::function<void()> Call);
  void advance(TimePoint Until);
  void startHost(std::size_t Index);
  void open(std::size_t Index, ConnectionId Id, const DatabaseId &Target);
  void close(std::size_t Index, ConnectionId Id);
  void send(std::size_t Index, ConnectionId Id, const DatabaseCommand &Command);
  void occupySlot(Database &Used, Milliseconds Time,
                  std::function<void()> Finished);
  void startNextJob(Database &Used);
  void answer(const std::shared_ptr<Connection> &On, StatementCode Code);
  void sendRead();
  void tick(std::size_t Index, std::uint64_t Incarnation);

  Parameters Chosen_;
  TimePoint Now_{std::chrono::hours(1)};
  std::mt19937 Random_{7};
  std::multimap<TimePoint, std::function<void()>> Events_;
  std::map<DatabaseId, std::unique_ptr<Database>> Databases_;
  std::vector<std::unique_ptr<Host>> Hosts_;
  std::uint64_t LastIncarnation_ = 0;
  CallerSessionId LastSession_ = 0;
  TimePoint NextReadAt_;
  /// Time at which each unanswered read was sent.
  std::map<CallerSessionId, TimePoint> Unanswered_;
  Outcome Counted_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_SESSIONS_LOADPLAY_H
