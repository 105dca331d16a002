#ifndef NUTMEGLOOM_TELEMETRY_SESSIONLOG_H
#define NUTMEGLOOM_TELEMETRY_SESSIONLOG_H

#include "sessions/sessionengine.h"
#include "telemetry/ratelimit.h"
#include "telemetry/sessionmetrics.h"

namespace nutmegloom {

/// Writes log lines and updates metrics for events of the session engine. The
/// number of lines about statements is limited.
class SessionLog {
public:
  explicit SessionLog(SessionMetrics &Metrics) : Metrics_(Metrics) {}

  /// Records an answered statement. Logs it if it failed or was retried.
  void onStatement(const StatementReport &Report, TimePoint Now);
  /// Records a statement that was prepared on a database connection.
  void onStatementPrepared(const StatementPreparation &Preparation,
                           TimePoint Now);
  /// Records a session or a statement that was refused because of its key.
  void onKeyRefused(const KeyRefusal &Refusal, TimePoint Now);
  /// Records an operation that was refused because of its account's limit.
  void onQuotaRefused(const AccountName &Account, Milliseconds RetryAfter,
                      TimePoint Now);
  void onPromotion(const PromotionReport &Report);
  void onLeadership(const LeadershipRecord &Record);
  /// Connections to the database can no longer be opened, or can be opened
  /// again.
  void onReachabilityChanged(const DatabaseId &Database, bool Reached,
                             std::string_view Reason);

private:
  static constexpr double LinesPerSecond = 60;
  static constexpr double LineBurst = 200;

  static constexpr double PreparationsPerSecond = 10;
  static constexpr double PreparationBurst = 100;

  static constexpr double RefusalsPerSecond = 10;
  static constexpr double RefusalBurst = 50;

  /// Logs how many lines about statements were left out, at most once in a
  /// while.
  void reportSuppressed(RateLimit &Limit, TimePoint Now);

  SessionMetrics &Metrics_;
  RateLimit LineLimit_{LinesPerSecond, LineBurst};
  RateLimit PreparationLimit_{PreparationsPerSecond, PreparationBurst};
  RateLimit RefusalLimit_{RefusalsPerSecond, RefusalBurst};
  TimePoint SuppressedReportedAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_SESSIONLOG_H
