#ifndef NUTMEGLOOM_TELEMETRY_SESSIONMETRICS_H
#define NUTMEGLOOM_TELEMETRY_SESSIONMETRICS_H

#include "core/types.h"

#include <memory>

namespace nutmegloom {

/// State of a host that serves sessions, at the time of a scrape.
struct SessionGauges {
  std::uint64_t ConfigurationVersion = 0;
  bool Ready = false;
  bool StoreReached = false;
  std::size_t Sessions = 0;
  std::size_t OpenTransactions = 0;
  std::size_t StatementsInProgress = 0;
  std::size_t StatementsWaiting = 0;
  std::size_t DatabaseConnections = 0;
  std::size_t LiveHosts = 0;
  std::uint64_t StoreCalls = 0;
  /// This host holds connections to databases.
  bool Member = false;
  /// Sessions of other hosts that have a statement or a transaction here.
  std::size_t SessionsOfOthers = 0;
  /// Statements of this host that others run.
  std::size_t StatementsAtOthers = 0;
  struct Group {
    GroupId Id;
    std::uint64_t Term = 0;
    bool Settled = false;
    /// Time since the leadership was last confirmed.
    Milliseconds ConfirmedAge{0};
  };
  std::vector<Group> Groups;
};

/// Metrics of connection-bound sessions in the text format of Prometheus.
class SessionMetrics {
public:
  SessionMetrics();
  ~SessionMetrics();

  /// An answered statement. The texts are names of enumerations.
  void observeStatement(std::string_view Verb, std::string_view Mode,
                        std::string_view Code, Duration Time);
  void countPromotionStage(std::string_view Stage, std::string_view Reason);
  std::string serialize(const SessionGauges &Now);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_SESSIONMETRICS_H
