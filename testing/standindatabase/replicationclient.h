#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_REPLICATIONCLIENT_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_REPLICATIONCLIENT_H

#include "testing/standindatabase/faults.h"
#include "testing/standindatabase/replicatedlog.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>

namespace nutmegloom {
class HttpConnection;
struct HttpResponse;
} // namespace nutmegloom

namespace nutmegloom::testing {

/// Pulls log entries from the primary while this database is a replica, with
/// the replication and apply delays of the injected faults. Further entries are
/// pulled while earlier ones are delayed, so a delay doesn't limit throughput.
class ReplicationClient
    : public std::enable_shared_from_this<ReplicationClient> {
public:
  ReplicationClient(boost::asio::io_context &Io, ReplicatedLog &Log,
                    const DatabaseFaults &Faults,
                    std::function<void()> OnChange);

  /// Must be called when the role, the term or the primary has changed. Entries
  /// that are not in the log yet are discarded and pulled again.
  void restart();
  void start();

  /// Upper bound for how far the applied data is behind the primary; zero at a
  /// primary.
  Milliseconds age() const;
  /// Time since the primary's last valid reply; zero at a primary.
  Milliseconds timeSinceContact() const;

private:
  /// The entries of one reply, first until they are in the log, then until they
  /// are applied.
  struct Batch {
    /// End of the current delay.
    TimePoint Due;
    /// Set if the log with this batch holds all entries that the primary had at
    /// this time.
    std::optional<TimePoint> CaughtUpAt;
    std::vector<LogEntry> Entries;
    /// Once the batch is in the log: index of its last entry, up to which the
    /// log is applied when the batch is due.
    std::uint64_t LastIndex = 0;
  };

  void pull();
  void schedulePull(Milliseconds Delay);
  void onReply(std::uint64_t Generation, const PullRequest &Request,
               TimePoint SentAt, const HttpResponse &Response);
  void scheduleNextBatch();
  void processDueBatches();

  boost::asio::io_context &Io_;
  ReplicatedLog &Log_;
  const DatabaseFaults &Faults_;
  std::function<void()> OnChange_;
  boost::asio::steady_timer PullTimer_;
  boost::asio::steady_timer BatchTimer_;
  std::shared_ptr<HttpConnection> Http_;
  /// Increased by restart(), so that callbacks of earlier pulls are ignored.
  std::uint64_t Generation_ = 0;
  /// Last position that was pulled, including delayed entries.
  Position Fetched_;
  std::deque<Batch> Receiving_;
  std::deque<Batch> Applying_;
  TimePoint CaughtUpAt_;
  TimePoint LastContact_;
  bool WasPrimary_ = false;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_REPLICATIONCLIENT_H
