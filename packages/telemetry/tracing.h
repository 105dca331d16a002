#ifndef NUTMEGLOOM_TELEMETRY_TRACING_H
#define NUTMEGLOOM_TELEMETRY_TRACING_H

#include <memory>
#include <string>
#include <string_view>

namespace nutmegloom {

/// Identity of a span in the W3C trace context, as in the header traceparent.
struct TraceContext {
  /// 32 and 16 lower-case hexadecimal digits.
  std::string TraceId;
  std::string SpanId;
  bool Sampled = true;
};

/// Reads a traceparent of version 00. False: it isn't valid.
bool parseTraceParent(std::string_view Text, TraceContext &Context);
std::string formatTraceParent(const TraceContext &Context);

/// A span in progress. An empty one costs nothing and passes the trace context
/// of its parent on.
class TraceSpan {
public:
  struct Recording;

  TraceSpan();
  TraceSpan(std::unique_ptr<Recording> Recorded, std::string TraceParent);
  TraceSpan(TraceSpan &&Other) noexcept;
  TraceSpan &operator=(TraceSpan &&Other) noexcept;
  ~TraceSpan();

  bool isRecorded() const { return Recording_ != nullptr; }
  /// For the next hop; empty when there is no trace.
  const std::string &traceParent() const { return TraceParent_; }
  void tag(std::string_view Name, std::string_view Value);
  /// Ends the span and exports it. The destructor does the same.
  void finish();

private:
  std::unique_ptr<Recording> Recording_;
  std::string TraceParent_;
};

/// Makes one span for each hop of a request and exports them as JSON log
/// lines.
class Tracing {
public:
  Tracing();
  ~Tracing();

  void setEnabled(bool Enabled) { Enabled_ = Enabled; }
  bool isEnabled() const { return Enabled_; }

  /// Starts a span below the parent's, or a new trace when TraceParent is
  /// empty or not valid. A parent that isn't sampled starts none.
  TraceSpan start(std::string_view Name, std::string_view TraceParent) const;

private:
  struct State;
  std::unique_ptr<State> State_;
  bool Enabled_ = false;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_TRACING_H
