#include "telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <sstream>

namespace nutmegloom {

namespace {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

/// Upper bounds in seconds, from a local read to the maximum timeout.
const Histogram::BucketBoundaries LatencyBounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
    0.2,    0.5,   1,     2,     5,    10,   30};

/// Metrics by a pair of label values. Uses a linear search, since there are few
/// entries and a map lookup would allocate strings for each request.
template <typename T> class LabelledMetrics {
public:
  template <typename Make>
  T &get(std::string_view First, std::string_view Second, Make Create) {
    auto Found =
        std::find_if(Entries_.begin(), Entries_.end(), [&](const Entry &E) {
          return E.First == First && E.Second == Second;
        });
    if (Found == Entries_.end()) {
      Entries_.push_back({std::string(First), std::string(Second), &Create()});
      Found = std::prev(Entries_.end());
    }
    return *Found->Metric;
  }

private:
  struct Entry {
    std::string First;
    std::string Second;
    T *Metric = nullptr;
  };
  std::vector<Entry> Entries_;
};

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

struct EngineCounterEntry {
  std::uint64_t EngineCounters::*Field;
  const char *Name;
  const char *Help;
};

constexpr EngineCounterEntry EngineCounterTable[] = {
    {&EngineCounters::Requests, "nutmegloom_requests_total",
     "Requests of callers that the engine took"},
    {&EngineCounters::ReadsFromReplica, "nutmegloom_replica_reads_total",
     "Reads answered by a replica"},
    {&EngineCounters::ReadsFromPrimary, "nutmegloom_primary_reads_total",
     "Reads answered by a primary"},
    {&EngineCounters::Writes, "nutmegloom_writes_total", "Writes answered"},
    {&EngineCounters::Forwarded, "nutmegloom_forwarded_total",
     "Tasks forwarded to an owner at another host"},
    {&EngineCounters::Redirected, "nutmegloom_redirected_total",
     "Reads sent on to the region of the primary"},
    {&EngineCounters::Retries, "nutmegloom_retries_total",
     "Repeated attempts at tasks"},
    {&EngineCounters::Resolved, "nutmegloom_settled_total",
     "Writes whose outcome was found or closed by their key"},
    {&EngineCounters::Refused, "nutmegloom_refused_total",
     "Requests refused before they were run"},
    {&EngineCounters::StaleAnswersDropped,
     "nutmegloom_stale_answers_dropped_total",
     "Answers of replicas dropped because they were older than the session"},
    {&EngineCounters::TermChecksFailed, "nutmegloom_term_checks_failed_total",
     "Answers held back because the term was not confirmed"},
    {&EngineCounters::Promotions, "nutmegloom_promotions_total",
     "Promotions finished by this host"},
};

struct SnapshotCounterEntry {
  std::uint64_t MetricsSnapshot::*Field;
  const char *Name;
  const char *Help;
};

constexpr SnapshotCounterEntry SnapshotCounterTable[] = {
    {&MetricsSnapshot::ConnectionsAccepted,
     "nutmegloom_connections_accepted_total",
     "Connections of callers that were accepted"},
    {&MetricsSnapshot::ConnectionsRefused,
     "nutmegloom_connections_refused_total",
     "Connections of callers refused at the limit"},
    {&MetricsSnapshot::RequestsMalformed, "nutmegloom_requests_malformed_total",
     "Requests refused as malformed, truncated or too large"},
    {&MetricsSnapshot::RequestsTimedOut, "nutmegloom_requests_timed_out_total",
     "Requests that were not received in time"},
    {&MetricsSnapshot::CallersGone, "nutmegloom_callers_gone_total",
     "Requests whose caller went away before the answer"},
};

/// Gauges of one metric. All are removed and set again for each scrape, so that
/// label values that no longer exist are not exported.
class GaugeFamily {
public:
  GaugeFamily(prometheus::Registry &Registry, const char *Name,
              const char *Help)
      : Family_(BuildGauge().Name(Name).Help(Help).Register(Registry)) {}

  void clear() {
    for (Gauge *Old : Gauges_)
      Family_.Remove(Old);
    Gauges_.clear();
  }
  void set(const prometheus::Labels &Labels, double Value) {
    Gauge &Entry = Family_.Add(Labels);
    Entry.Set(Value);
    Gauges_.push_back(&Entry);
  }

private:
  Family<Gauge> &Family_;
  std::vector<Gauge *> Gauges_;
};

/// Increments the counter to a total. Ignores a total below its value.
void advanceTo(Counter &Target, std::uint64_t Value) {
  double Increase = static_cast<double>(Value) - Target.Value();
  if (Increase > 0)
    Target.Increment(Increase);
}

} // namespace

struct Metrics::State {
  prometheus::Registry Registry;
  Family<Histogram> &RequestDuration =
      BuildHistogram()
          .Name("nutmegloom_request_duration_seconds")
          .Help("Time from a caller's request to its answer")
          .Register(Registry);
  Family<Histogram> &ExchangeDuration =
      BuildHistogram()
          .Name("nutmegloom_database_exchange_duration_seconds")
          .Help("Time from a request to a database to its answer")
          .Register(Registry);
  Family<Counter> &Errors = BuildCounter()
                                .Name("nutmegloom_errors_total")
                                .Help("Requests answered with an error")
                                .Register(Registry);
  Family<Counter> &ControlMessages =
      BuildCounter()
          .Name("nutmegloom_control_messages_total")
          .Help("Control messages to hosts, databases and the platform")
          .Register(Registry);
  Family<Counter> &ControlBytes =
      BuildCounter()
          .Name("nutmegloom_control_payload_bytes_total")
          .Help("Payload of control messages")
          .Register(Registry);
  LabelledMetrics<Histogram> Requests;
  LabelledMetrics<Histogram> Exchanges;
  LabelledMetrics<Counter> ErrorCounts;
  LabelledMetrics<Counter> ControlCounts;
  LabelledMetrics<Counter> ControlSizes;
  std::vector<Counter *> EngineTotals;
  std::vector<Counter *> SnapshotTotals;
  GaugeFamily Version{Registry, "nutmegloom_configuration_version",
                      "Version of the configuration in force"};
  GaugeFamily Ready{Registry, "nutmegloom_ready",
                    "1 when the host serves callers"};
  GaugeFamily Connections{Registry, "nutmegloom_connections",
                          "Open connections by kind of peer"};
  GaugeFamily InProgress{Registry, "nutmegloom_requests_in_progress",
                         "Requests without an answer, by origin"};
  GaugeFamily Term{Registry, "nutmegloom_group_term",
                   "Highest term with a known primary"};
  GaugeFamily HasPrimary{Registry, "nutmegloom_group_has_primary",
                         "1 when a primary is known"};
  GaugeFamily Active{Registry, "nutmegloom_group_active",
                     "1 when this host polls the group"};
  GaugeFamily Waiting{Registry, "nutmegloom_group_waiting_requests",
                      "Work that waits for a primary or in a queue"};
  GaugeFamily Age{Registry, "nutmegloom_database_age_seconds",
                  "Age of the data of a database as it reports it"};
  GaugeFamily Reachable{Registry, "nutmegloom_database_reachable",
                        "1 when the control port answers"};

  State() {
    for (const EngineCounterEntry &Entry : EngineCounterTable)
      EngineTotals.push_back(&addCounter(Entry.Name, Entry.Help));
    for (const SnapshotCounterEntry &Entry : SnapshotCounterTable)
      SnapshotTotals.push_back(&addCounter(Entry.Name, Entry.Help));
  }
  Counter &addCounter(const char *Name, const char *Help) {
    return BuildCounter().Name(Name).Help(Help).Register(Registry).Add({});
  }
};

Metrics::Metrics() : State_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::observeRequest(std::string_view Kind, std::string_view WorkClass,
                             Duration Time) {
  State_->Requests
      .get(Kind, WorkClass,
           [&]() -> Histogram & {
             return State_->RequestDuration.Add(
                 {{"kind", std::string(Kind)},
                  {"class", std::string(WorkClass)}},
                 LatencyBounds);
           })
      .Observe(secondsOf(Time));
}

void Metrics::countError(std::string_view Code) {
  State_->ErrorCounts
      .get(Code, {},
           [&]() -> Counter & {
             return State_->Errors.Add({{"code", std::string(Code)}});
           })
      .Increment();
}

void Metrics::observeDatabaseExchange(std::string_view Operation,
                                      Duration Time) {
  State_->Exchanges
      .get(Operation, {},
           [&]() -> Histogram & {
             return State_->ExchangeDuration.Add(
                 {{"operation", std::string(Operation)}}, LatencyBounds);
           })
      .Observe(secondsOf(Time));
}

void Metrics::countControlMessage(std::string_view Kind, std::size_t Bytes) {
  State_->ControlCounts
      .get(Kind, {},
           [&]() -> Counter & {
             return State_->ControlMessages.Add({{"kind", std::string(Kind)}});
           })
      .Increment();
  State_->ControlSizes
      .get(Kind, {},
           [&]() -> Counter & {
             return State_->ControlBytes.Add({{"kind", std::string(Kind)}});
           })
      .Increment(static_cast<double>(Bytes));
}

std::string Metrics::serialize(const MetricsSnapshot &Snapshot) {
  State &S = *State_;
  for (std::size_t I = 0; I < S.EngineTotals.size(); ++I)
    advanceTo(*S.EngineTotals[I], Snapshot.Engine.*EngineCounterTable[I].Field);
  for (std::size_t I = 0; I < S.SnapshotTotals.size(); ++I)
    advanceTo(*S.SnapshotTotals[I], Snapshot.*SnapshotCounterTable[I].Field);
  for (GaugeFamily *Gauges :
       {&S.Version, &S.Ready, &S.Connections, &S.InProgress, &S.Term,
        &S.HasPrimary, &S.Active, &S.Waiting, &S.Age, &S.Reachable})
    Gauges->clear();
  S.Version.set({}, static_cast<double>(Snapshot.ConfigurationVersion));
  S.Ready.set({}, Snapshot.Ready);
  S.Connections.set({{"peer", "caller"}},
                    static_cast<double>(Snapshot.CallerConnections));
  S.Connections.set({{"peer", "database"}},
                    static_cast<double>(Snapshot.DatabaseConnections));
  S.InProgress.set({{"origin", "caller"}},
                   static_cast<double>(Snapshot.RequestsInProgress));
  S.InProgress.set({{"origin", "host"}},
                   static_cast<double>(Snapshot.ForwardedInProgress));
  for (const auto &Group : Snapshot.Groups) {
    prometheus::Labels Labels{{"group", Group.Id}};
    S.Term.set(Labels, static_cast<double>(Group.Term));
    S.HasPrimary.set(Labels, Group.HasPrimary);
    S.Active.set(Labels, Group.Active);
    S.Waiting.set(Labels, static_cast<double>(Group.Waiting));
  }
  for (const auto &Database : Snapshot.Databases) {
    prometheus::Labels Labels{{"database", Database.Id}};
    S.Age.set(Labels, secondsOf(Database.Age));
    S.Reachable.set(Labels, Database.Reachable);
  }
  std::ostringstream Out;
  prometheus::TextSerializer().Serialize(Out, S.Registry.Collect());
  return std::move(Out).str();
}

} // namespace nutmegloom
