#include "telemetry/tracing.h"

#include "telemetry/events.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <opentracing/tracer.h>

#include <algorithm>
#include <map>
#include <random>

namespace nutmegloom {

namespace {

using opentracing::string_view;

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t TraceParentBytes = 55;

bool isHex(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
  });
}

bool isZero(std::string_view Text) {
  return Text.find_first_not_of('0') == std::string_view::npos;
}

std::string randomHex(std::size_t Digits) {
  static thread_local std::mt19937_64 Generator{std::random_device{}()};
  std::string Text;
  while (Text.size() < Digits)
    Text += fmt::format("{:016x}", Generator() | 1U);
  return Text;
}

class JsonSpanContext final : public opentracing::SpanContext {
public:
  explicit JsonSpanContext(TraceContext Value) : Value(std::move(Value)) {}

  void ForeachBaggageItem(
      std::function<bool(const std::string &, const std::string &)> /*Visit*/)
      const override {}
  std::unique_ptr<SpanContext> Clone() const noexcept override {
    return std::make_unique<JsonSpanContext>(Value);
  }
  std::string ToTraceID() const noexcept override { return Value.TraceId; }
  std::string ToSpanID() const noexcept override { return Value.SpanId; }

  const TraceContext Value;
};

class JsonSpan final : public opentracing::Span {
public:
  JsonSpan(const opentracing::Tracer &Owner, string_view Name,
           TraceContext Context, std::string Parent)
      : Owner_(Owner), Name_(Name), Context_(std::move(Context)),
        Parent_(std::move(Parent)),
        StartTime_(std::chrono::system_clock::now()),
        Start_(std::chrono::steady_clock::now()) {}
  ~JsonSpan() override { JsonSpan::FinishWithOptions({}); }

  void FinishWithOptions(
      const opentracing::FinishSpanOptions &Options) noexcept override {
    if (Finished_)
      return;
    Finished_ = true;
    auto End = Options.finish_steady_timestamp;
    if (End == opentracing::SteadyTime())
      End = std::chrono::steady_clock::now();
    using Micros = std::chrono::microseconds;
    nlohmann::ordered_json Line{
        {"span", Name_},
        {"trace_id", Context_.Value.TraceId},
        {"span_id", Context_.Value.SpanId},
        {"parent_id", Parent_},
        {"start_us",
         std::chrono::duration_cast<Micros>(StartTime_.time_since_epoch())
             .count()},
        {"duration_us",
         std::chrono::duration_cast<Micros>(End - Start_).count()}};
    for (const auto &[Name, Value] : Tags_)
      Line["tags"][Name] = Value;
    logLine(
        Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  }
  void SetOperationName(string_view Name) noexcept override {
    Name_ = std::string(Name);
  }
  void SetTag(string_view Name,
              const opentracing::Value &Value) noexcept override {
    if (Value.is<string_view>())
      Tags_[Name] = std::string(Value.get<string_view>());
    else if (Value.is<std::string>())
      Tags_[Name] = Value.get<std::string>();
    else if (Value.is<const char *>())
      Tags_[Name] = Value.get<const char *>();
    else if (Value.is<std::int64_t>())
      Tags_[Name] = std::to_string(Value.get<std::int64_t>());
    else if (Value.is<bool>())
      Tags_[Name] = Value.get<bool>() ? "true" : "false";
  }
  void SetBaggageItem(string_view /*Name*/,
                      string_view /*Value*/) noexcept override {}
  std::string BaggageItem(string_view /*Name*/) const noexcept override {
    return {};
  }
  void Log(std::initializer_list<std::pair<string_view, opentracing::Value>>
               Fields) noexcept override {
    for (const auto &[Name, Value] : Fields)
      SetTag(Name, Value);
  }
  void Log(opentracing::SystemTime /*Time*/,
           std::initializer_list<std::pair<string_view, opentracing::Value>>
               Fields) noexcept override {
    Log(Fields);
  }
  void Log(opentracing::SystemTime /*Time*/,
           const std::vector<std::pair<string_view, opentracing::Value>>
               &Fields) noexcept override {
    for (const auto &[Name, Value] : Fields)
      SetTag(Name, Value);
  }
  const opentracing::SpanContext &context() const noexcept override {
    return Context_;
  }
  const opentracing::Tracer &tracer() const noexcept override { return Owner_; }

private:
  const opentracing::Tracer &Owner_;
  std::string Name_;
  JsonSpanContext Context_;
  std::string Parent_;
  std::chrono::system_clock::time_point StartTime_;
  std::chrono::steady_clock::time_point Start_;
  std::map<std::string, std::string> Tags_;
  bool Finished_ = false;
};

class JsonTracer final : public opentracing::Tracer {
public:
  std::unique_ptr<opentracing::Span> StartSpanWithOptions(
      string_view Name,
      const opentracing::StartSpanOptions &Options) const noexcept override {
    TraceContext Context;
    std::string Parent;
    for (const auto &[Kind, Reference] : Options.references) {
      if (!Reference)
        continue;
      Context.TraceId = Reference->ToTraceID();
      Parent = Reference->ToSpanID();
      break;
    }
    if (Context.TraceId.empty())
      Context.TraceId = randomHex(TraceIdDigits);
    Context.SpanId = randomHex(SpanIdDigits);
    auto Span = std::make_unique<JsonSpan>(*this, Name, std::move(Context),
                                           std::move(Parent));
    for (const auto &[Tag, Value] : Options.tags)
      Span->SetTag(Tag, Value);
    return Span;
  }

  opentracing::expected<void> Inject(const opentracing::SpanContext & /*Span*/,
                                     std::ostream & /*Out*/) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }
  opentracing::expected<void>
  Inject(const opentracing::SpanContext &Span,
         const opentracing::TextMapWriter &Out) const override {
    return Out.Set("traceparent",
                   formatTraceParent({Span.ToTraceID(), Span.ToSpanID()}));
  }
  opentracing::expected<void>
  Inject(const opentracing::SpanContext &Span,
         const opentracing::HTTPHeadersWriter &Out) const override {
    return Inject(Span, static_cast<const opentracing::TextMapWriter &>(Out));
  }

  opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(std::istream & /*In*/) const override {
    return opentracing::make_unexpected(opentracing::invalid_carrier_error);
  }
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(const opentracing::TextMapReader &In) const override {
    std::unique_ptr<opentracing::SpanContext> Found;
    auto Result =
        In.ForeachKey([&](string_view Name,
                          string_view Value) -> opentracing::expected<void> {
          TraceContext Context;
          if (Name == "traceparent" &&
              parseTraceParent({Value.data(), Value.size()}, Context))
            Found = std::make_unique<JsonSpanContext>(std::move(Context));
          return {};
        });
    if (!Result)
      return opentracing::make_unexpected(Result.error());
    return Found;
  }
  opentracing::expected<std::unique_ptr<opentracing::SpanContext>>
  Extract(const opentracing::HTTPHeadersReader &In) const override {
    return Extract(static_cast<const opentracing::TextMapReader &>(In));
  }
};

} // namespace

bool parseTraceParent(std::string_view Text, TraceContext &Context) {
  if (Text.size() != TraceParentBytes || !Text.starts_with("00-") ||
      Text[35] != '-' || Text[52] != '-')
    return false;
  std::string_view Trace = Text.substr(3, TraceIdDigits);
  std::string_view Span = Text.substr(36, SpanIdDigits);
  std::string_view Flags = Text.substr(53);
  if (!isHex(Trace) || !isHex(Span) || !isHex(Flags) || isZero(Trace) ||
      isZero(Span))
    return false;
  Context.TraceId = Trace;
  Context.SpanId = Span;
  // The lowest bit of the flags means "sampled".
  Context.Sampled =
      std::string_view("13579bdf").find(Flags.back()) != std::string_view::npos;
  return true;
}

std::string formatTraceParent(const TraceContext &Context) {
  return "00-" + Context.TraceId + "-" + Context.SpanId +
         (Context.Sampled ? "-01" : "-00");
}

struct TraceSpan::Recording {
  std::unique_ptr<opentracing::Span> Span;
};

TraceSpan::TraceSpan() = default;
TraceSpan::TraceSpan(std::unique_ptr<Recording> Recorded,
                     std::string TraceParent)
    : Recording_(std::move(Recorded)), TraceParent_(std::move(TraceParent)) {}
TraceSpan::TraceSpan(TraceSpan &&Other) noexcept = default;
TraceSpan &TraceSpan::operator=(TraceSpan &&Other) noexcept = default;
TraceSpan::~TraceSpan() = default;

void TraceSpan::tag(std::string_view Name, std::string_view Value) {
  if (Recording_)
    Recording_->Span->SetTag(string_view(Name.data(), Name.size()),
                             std::string(Value));
}

void TraceSpan::finish() { Recording_.reset(); }

struct Tracing::State {
  std::shared_ptr<opentracing::Tracer> Tracer = std::make_shared<JsonTracer>();
};

Tracing::Tracing() : State_(std::make_unique<State>()) {}
Tracing::~Tracing() = default;

TraceSpan Tracing::start(std::string_view Name,
                         std::string_view TraceParent) const {
  if (!Enabled_)
    return {nullptr, std::string(TraceParent)};
  TraceContext Parent;
  bool HasParent = parseTraceParent(TraceParent, Parent);
  if (HasParent && !Parent.Sampled)
    return {nullptr, std::string(TraceParent)};
  std::unique_ptr<opentracing::Span> Span;
  string_view Operation(Name.data(), Name.size());
  if (HasParent) {
    JsonSpanContext Context(std::move(Parent));
    Span =
        State_->Tracer->StartSpan(Operation, {opentracing::ChildOf(&Context)});
  } else {
    Span = State_->Tracer->StartSpan(Operation);
  }
  std::string Next = formatTraceParent(
      {Span->context().ToTraceID(), Span->context().ToSpanID()});
  auto Recorded = std::make_unique<TraceSpan::Recording>();
  Recorded->Span = std::move(Span);
  return {std::move(Recorded), std::move(Next)};
}

} // namespace nutmegloom
