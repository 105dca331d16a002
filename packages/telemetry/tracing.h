#ifndef NUTMEGLOOM_TELEMETRY_TRACING_H
#define NUTMEGLOOM_TELEMETRY_TRACING_H

#include <memory>
#include <string>
#include <string_view>

namespace nutmegloom {

/// Trace context of a span, as in the W3C header traceparent.
struct TraceContext {
  /// 32 lower-case hexadecimal digits.
  std::string TraceId;
  /// 16 lower-case hexadecimal digits.
  std::string SpanId;
  bool Sampled = true;
};

/// Parses a traceparent header of version 00. Returns false if it is invalid.
bool parseTraceParent(std::string_view Text, TraceContext &Context);
std::string formatTraceParent(const TraceContext &Context);

/// A span in progress. A span that is not recorded has no cost and propagates
/// the trace context of its parent.
class TraceSpan {
public:
  struct Recording;

  TraceSpan();
  TraceSpan(std::unique_ptr<Recording> Recorded, std::string TraceParent);
  TraceSpan(TraceSpan &&Other) noexcept;
  TraceSpan &operator=(TraceSpan &&Other) noexcept;
  ~TraceSpan();

  bool isRecorded() const { return Recording_ != nullptr; }
  /// Returns the traceparent header for the next hop; empty if there is no
  /// trace.
  const std::string &traceParent() const { return TraceParent_; }
  void tag(std::string_view Name, std::string_view Value);
  /// Ends the span and exports it once. The destructor does the same.
  void finish();

private:
  std::unique_ptr<Recording> Recording_;
  std::string TraceParent_;
};

/// Creates a span for each hop of a request. Spans are exported as JSON lines
/// in the log.
class Tracing {
public:
  Tracing();
  ~Tracing();

  void setEnabled(bool Enabled) { Enabled_ = Enabled; }
  bool isEnabled() const { return Enabled_; }

  /// Starts a child span of TraceParent, or a new trace if TraceParent is empty
  /// or invalid. Returns a span that is not recorded if tracing is disabled or
  /// the parent is not sampled.
  TraceSpan start(std::string_view Name, std::string_view TraceParent) const;

private:
  struct State;
  std::unique_ptr<State> State_;
  bool Enabled_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_TRACING_H
