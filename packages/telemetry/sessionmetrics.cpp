#include "telemetry/sessionmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace nutmegloom {

namespace {

using prometheus::Labels;

const prometheus::Histogram::BucketBoundaries StatementBuckets{
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5};

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

struct SessionMetrics::State {
  prometheus::Registry Registry;
  prometheus::Family<prometheus::Counter> &Statements =
      prometheus::BuildCounter()
          .Name("nutmegloom_session_statements_total")
          .Help("Answered statements by kind, route mode and result")
          .Register(Registry);
  prometheus::Family<prometheus::Histogram> &StatementTime =
      prometheus::BuildHistogram()
          .Name("nutmegloom_session_statement_seconds")
          .Help("Time from a statement to its answer")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &Preparations =
      prometheus::BuildCounter()
          .Name("nutmegloom_session_preparations_total")
          .Help("Statements prepared on database connections")
          .Register(Registry);
  prometheus::Family<prometheus::Counter> &KeyRefusals =
      prometheus::BuildCounter()
          .Name("nutmegloom_key_refusals_total")
          .Help("Sessions and statements refused because of their API key")
          .Register(Registry);
  prometheus::Counter &QuotaRefusals =
      prometheus::BuildCounter()
          .Name("nutmegloom_quota_refusals_total")
          .Help("Operations refused because of their account's rate limit")
          .Register(Registry)
          .Add({});
  prometheus::Family<prometheus::Counter> &Stages =
      prometheus::BuildCounter()
          .Name("nutmegloom_promotion_stages_total")
          .Help("Stages that promotions of this host entered")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Gauges =
      prometheus::BuildGauge()
          .Name("nutmegloom_session_state")
          .Help("State of the host, by the label kind")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Terms =
      prometheus::BuildGauge()
          .Name("nutmegloom_leadership_term")
          .Help("Term of a group's leader; 0 while it is being replaced")
          .Register(Registry);
  prometheus::Family<prometheus::Gauge> &Ages =
      prometheus::BuildGauge()
          .Name("nutmegloom_leadership_age_seconds")
          .Help("Time since a group's leader was last confirmed")
          .Register(Registry);
  /// Keyed by the addresses of the names, which are constants, to avoid string
  /// comparisons for each statement.
  std::map<std::tuple<const char *, const char *, const char *>,
           prometheus::Counter *>
      StatementCounters;
  std::map<const char *, prometheus::Histogram *> StatementTimes;

  void setGauge(const char *Kind, double Value) {
    Gauges.Add({{"kind", Kind}}).Set(Value);
  }
};

SessionMetrics::SessionMetrics() : State_(std::make_unique<State>()) {}

SessionMetrics::~SessionMetrics() = default;

void SessionMetrics::observeStatement(std::string_view Verb,
                                      std::string_view Mode,
                                      std::string_view Code, Duration Time) {
  prometheus::Counter *&Count =
      State_->StatementCounters[{Verb.data(), Mode.data(), Code.data()}];
  if (!Count)
    Count = &State_->Statements.Add({{"statement", std::string(Verb)},
                                     {"mode", std::string(Mode)},
                                     {"code", std::string(Code)}});
  Count->Increment();
  prometheus::Histogram *&Times = State_->StatementTimes[Mode.data()];
  if (!Times)
    Times = &State_->StatementTime.Add({{"mode", std::string(Mode)}},
                                       StatementBuckets);
  Times->Observe(seconds(Time));
}

void SessionMetrics::countPreparation(std::string_view Access) {
  State_->Preparations.Add({{"access", std::string(Access)}}).Increment();
}

void SessionMetrics::countKeyRefusal(std::string_view Reason) {
  State_->KeyRefusals.Add({{"reason", std::string(Reason)}}).Increment();
}

void SessionMetrics::countQuotaRefusal() { State_->QuotaRefusals.Increment(); }

void SessionMetrics::countPromotionStage(std::string_view Stage,
                                         std::string_view Reason) {
  State_->Stages
      .Add({{"stage", std::string(Stage)}, {"reason", std::string(Reason)}})
      .Increment();
}

std::string SessionMetrics::serialize(const SessionGauges &Now) {
  State &S = *State_;
  S.setGauge("configuration_version",
             static_cast<double>(Now.ConfigurationVersion));
  S.setGauge("configuration_age_seconds", seconds(Now.ConfigurationAge));
  S.setGauge("ready", Now.Ready ? 1 : 0);
  S.setGauge("store_reached", Now.StoreReached ? 1 : 0);
  S.setGauge("sessions", static_cast<double>(Now.Sessions));
  S.setGauge("open_transactions", static_cast<double>(Now.OpenTransactions));
  S.setGauge("statements_in_progress",
             static_cast<double>(Now.StatementsInProgress));
  S.setGauge("statements_waiting", static_cast<double>(Now.StatementsWaiting));
  S.setGauge("database_connections",
             static_cast<double>(Now.DatabaseConnections));
  S.setGauge("live_hosts", static_cast<double>(Now.LiveHosts));
  S.setGauge("store_calls", static_cast<double>(Now.StoreCalls));
  S.setGauge("store_era", static_cast<double>(Now.StoreEra));
  S.setGauge("member", Now.Member ? 1 : 0);
  S.setGauge("sessions_of_others", static_cast<double>(Now.SessionsOfOthers));
  S.setGauge("statements_at_others",
             static_cast<double>(Now.StatementsAtOthers));
  for (const SessionGauges::Group &Group : Now.Groups) {
    S.Terms.Add({{"group", Group.Id}})
        .Set(Group.Settled ? static_cast<double>(Group.Term) : 0);
    S.Ages.Add({{"group", Group.Id}}).Set(seconds(Group.ConfirmedAge));
  }
  return prometheus::TextSerializer().Serialize(S.Registry.Collect());
}

} // namespace nutmegloom
