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

/// Pulls the primary's log while this database is a replica, with the receive
/// and apply delays of the fault switches. Several pulls may be delayed at
/// once, so a delay doesn't limit the throughput.
class ReplicationClient
    : public std::enable_shared_from_this<ReplicationClient> {
public:
  ReplicationClient(boost::asio::io_context &Io, ReplicatedLog &Log,
                    const DatabaseFaults &Faults,
                    std::function<void()> OnChange);

  /// The role, the term or the primary has changed.
  void restart();
  void start();

  Milliseconds age() const;
  Milliseconds timeSinceContact() const;

private:
  struct Batch {
    TimePoint Due;
    /// All entries that the primary had at this time are in the log after it.
    std::optional<TimePoint> CaughtUpAt;
    std::vector<LogEntry> Entries;
    /// Once received: the index that is applied when the batch is due.
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
  std::uint64_t Generation_ = 0;
  Position Fetched_;
  std::deque<Batch> Receiving_;
  std::deque<Batch> Applying_;
  TimePoint CaughtUpAt_;
  TimePoint LastContact_;
  bool WasPrimary_ = false;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_REPLICATIONCLIENT_H
