#ifndef NUTMEGLOOM_TELEMETRY_LOGOUTPUT_H
#define NUTMEGLOOM_TELEMETRY_LOGOUTPUT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace nutmegloom {

/// Writes lines to a file descriptor, such as standard output, and never blocks
/// on it. Lines that the descriptor does not take are queued, within a bound;
/// lines beyond it are dropped and counted.
class LogOutput {
public:
  explicit LogOutput(int Descriptor);

  /// Queues a line, which must end with a newline, and writes what the
  /// descriptor takes. Returns false if the line was dropped.
  bool write(std::string_view Line);
  /// Writes queued bytes as far as the descriptor takes them.
  void flush();
  /// Returns the number of lines dropped since the last call.
  std::uint64_t takeDropped();
  /// True if a line was dropped and the queue has room again.
  bool hasReportableDrops() const;

private:
  int Descriptor_;
  /// Writing to the descriptor may block: a pipe, a socket or a terminal.
  bool MayBlock_;
  std::string Queued_;
  std::uint64_t Dropped_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_TELEMETRY_LOGOUTPUT_H
