#include "telemetry/sessionlog.h"

#include "telemetry/events.h"

namespace nutmegloom {

static constexpr Milliseconds SuppressedReportInterval{1000};

void SessionLog::onStatement(const StatementReport &Report, TimePoint Now) {
  Metrics_.observeStatement(nameOf(Report.Verb), nameOf(Report.Mode),
                            nameOf(Report.Code), Report.Time);
  bool Failed = Report.Code != StatementCode::Done;
  if (!Failed && Report.Attempts <= 1)
    return;
  if (!LineLimit_.tryAcquire(Now))
    return;
  reportSuppressed(LineLimit_, Now);
  std::string Floor = Report.MinimumPosition
                          ? std::to_string(Report.MinimumPosition->Term) + "." +
                                std::to_string(Report.MinimumPosition->Index)
                          : "-";
  logEvent(Failed ? LogEvent::StatementFailed : LogEvent::StatementRepeated,
           {{"request", Report.StatementId},
            {"statement", nameOf(Report.Verb)},
            {"route", Report.Route},
            {"account", Report.Account},
            {"group", Report.Group},
            {"mode", nameOf(Report.Mode)},
            {"code", nameOf(Report.Code)},
            {"detail", Report.Detail},
            {"database", Report.Database},
            {"via", Report.Via},
            {"floor", Floor},
            {"leader_age_ms",
             Report.LeadershipAge ? Report.LeadershipAge->count() : -1},
            {"attempts", static_cast<std::int64_t>(Report.Attempts)},
            {"config", static_cast<std::int64_t>(Report.ConfigurationVersion)},
            {"ms", std::chrono::floor<Milliseconds>(Report.Time).count()}});
}

void SessionLog::reportSuppressed(RateLimit &Limit, TimePoint Now) {
  if (Now - SuppressedReportedAt_ <= SuppressedReportInterval)
    return;
  std::uint64_t Suppressed = Limit.takeSuppressed();
  if (Suppressed == 0)
    return;
  SuppressedReportedAt_ = Now;
  logEvent(LogEvent::LogLinesLeftOut,
           {{"lines", static_cast<std::int64_t>(Suppressed)}});
}

void SessionLog::onStatementPrepared(const StatementPreparation &Preparation,
                                     TimePoint Now) {
  Metrics_.countPreparation(nameOf(Preparation.Access));
  if (!PreparationLimit_.tryAcquire(Now))
    return;
  reportSuppressed(PreparationLimit_, Now);
  logEvent(
      LogEvent::StatementPrepared,
      {{"request", Preparation.StatementId},
       {"database", Preparation.Database},
       {"connection", static_cast<std::int64_t>(Preparation.Connection)},
       {"prepared", Preparation.Name},
       {"access", nameOf(Preparation.Access)},
       {"shape", Preparation.Shape},
       {"shape_bytes", static_cast<std::int64_t>(Preparation.Shape.size())}});
}

void SessionLog::onKeyRefused(const KeyRefusal &Refusal, TimePoint Now) {
  Metrics_.countKeyRefusal(nameOf(Refusal.Reason));
  if (!RefusalLimit_.tryAcquire(Now))
    return;
  reportSuppressed(RefusalLimit_, Now);
  logEvent(LogEvent::KeyRefused,
           {{"reason", nameOf(Refusal.Reason)},
            {"key", Refusal.Key},
            {"account", Refusal.Account},
            {"route", Refusal.Route},
            {"config", static_cast<std::int64_t>(Refusal.ConfigurationVersion)},
            {"config_age_ms",
             Refusal.ConfigurationAge
                 ? static_cast<std::int64_t>(Refusal.ConfigurationAge->count())
                 : std::int64_t{-1}}});
}

void SessionLog::onQuotaRefused(const AccountName &Account,
                                Milliseconds RetryAfter, TimePoint Now) {
  Metrics_.countQuotaRefusal();
  if (!RefusalLimit_.tryAcquire(Now))
    return;
  reportSuppressed(RefusalLimit_, Now);
  logEvent(LogEvent::QuotaExceeded,
           {{"account", Account},
            {"retry_after_ms", static_cast<std::int64_t>(RetryAfter.count())}});
}

void SessionLog::onPromotion(const PromotionReport &Report) {
  Metrics_.countPromotionStage(nameOf(Report.Stage), nameOf(Report.Reason));
  logEvent(LogEvent::PromotionStageChanged,
           {{"group", Report.Group},
            {"stage", nameOf(Report.Stage)},
            {"reason", nameOf(Report.Reason)},
            {"candidate", Report.Candidate},
            {"token", static_cast<std::int64_t>(Report.Token)},
            {"detail", Report.Detail}});
}

void SessionLog::onLeadership(const LeadershipRecord &Record) {
  logEvent(LogEvent::LeadershipChanged,
           {{"group", Record.Group},
            {"leader", Record.Leader},
            {"term", static_cast<std::int64_t>(Record.Term)},
            {"phase", nameOf(Record.Phase)},
            {"holder", Record.Holder},
            {"revision", static_cast<std::int64_t>(Record.Revision.Number)},
            {"era", static_cast<std::int64_t>(Record.Revision.Era)}});
}

void SessionLog::onReachabilityChanged(const DatabaseId &Database, bool Reached,
                                       std::string_view Reason) {
  logEvent(Reached ? LogEvent::DatabaseReached : LogEvent::DatabaseUnreachable,
           {{"database", Database}, {"error", Reason}});
}

} // namespace nutmegloom
