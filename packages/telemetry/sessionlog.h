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
  void onPromotion(const PromotionReport &Report);
  void onLeadership(const LeadershipRecord &Record);
  /// Connections to the database can no longer be opened, or can be opened
  /// again.
  void onReachabilityChanged(const DatabaseId &Database, bool Reached,
                             std::string_view Reason);

private:
  static constexpr double LinesPerSecond = 60;
  static constexpr double LineBurst = 200;

  SessionMetrics &Metrics_;
  RateLimit LineLimit_{LinesPerSecond, LineBurst};
  TimePoint SuppressedReportedAt_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_SESSIONLOG_H
