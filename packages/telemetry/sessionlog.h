#ifndef NUTMEGLOOM_TELEMETRY_SESSIONLOG_H
#define NUTMEGLOOM_TELEMETRY_SESSIONLOG_H

#include "sessions/sessionengine.h"
#include "telemetry/ratelimit.h"
#include "telemetry/sessionmetrics.h"

namespace nutmegloom {

/// Lines and counters for what the session engine decides and comes to believe.
/// The volume of lines of statements is bounded.
class SessionLog {
public:
  explicit SessionLog(SessionMetrics &Metrics) : Metrics_(Metrics) {}

  void onStatement(const StatementReport &Report, TimePoint Now);
  void onPromotion(const PromotionReport &Report);
  void onLeadership(const LeadershipRecord &Record);
  /// Connections to a database can't be opened any more, or they can again.
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
