#ifndef NUTMEGLOOM_TELEMETRY_SESSIONMETRICS_H
#define NUTMEGLOOM_TELEMETRY_SESSIONMETRICS_H

#include "core/types.h"

#include <memory>

namespace nutmegloom {

/// State of a host that serves sessions, at the time of a scrape.
struct SessionGauges {
  std::uint64_t ConfigurationVersion = 0;
  /// Time since the configuration was last known to be the latest one;
  /// negative: not known.
  Milliseconds ConfigurationAge{-1};
  bool Ready = false;
  bool StoreReached = false;
  std::size_t Sessions = 0;
  std::size_t OpenTransactions = 0;
  std::size_t StatementsInProgress = 0;
  std::size_t StatementsWaiting = 0;
  std::size_t DatabaseConnections = 0;
  std::size_t LiveHosts = 0;
  std::uint64_t StoreCalls = 0;
  /// Era that the store reports; zero: none.
  std::uint64_t StoreEra = 0;
  /// This host is a member: it holds connections to databases.
  bool Member = false;
  /// Sessions of other hosts with a statement or a transaction on this host.
  std::size_t SessionsOfOthers = 0;
  /// Statements of this host that run on other hosts.
  std::size_t StatementsAtOthers = 0;
  struct Group {
    GroupId Id;
    std::uint64_t Term = 0;
    bool Settled = false;
    /// Time since the last confirmation of the leadership.
    Milliseconds ConfirmedAge{0};
  };
  std::vector<Group> Groups;
};

/// Metrics of connection-bound sessions in the Prometheus text format.
class SessionMetrics {
public:
  SessionMetrics();
  ~SessionMetrics();

  /// Records an answered statement. The texts must be names of enumerators,
  /// which have static storage: counters are found by the addresses of the
  /// texts.
  void observeStatement(std::string_view Verb, std::string_view Mode,
                        std::string_view Code, Duration Time);
  /// Counts a statement that was prepared on a database connection.
  void countPreparation(std::string_view Access);
  /// Counts a session or a statement that was refused because of its key.
  void countKeyRefusal(std::string_view Reason);
  /// Counts an operation that was refused because of its account's limit.
  void countQuotaRefusal();
  void countPromotionStage(std::string_view Stage, std::string_view Reason);
  std::string serialize(const SessionGauges &Now);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_SESSIONMETRICS_H
