#include "telemetry/logoutput.h"

#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace nutmegloom {

namespace {

/// Lines of some seconds under a storm of failures.
constexpr std::size_t MaximumQueuedBytes = std::size_t{256} * 1024;
/// Queue length below which a report of dropped lines is due.
constexpr std::size_t ReportBelowBytes = MaximumQueuedBytes / 2;

bool isRegularFile(int Descriptor) {
  struct stat Status {};
  return fstat(Descriptor, &Status) == 0 && S_ISREG(Status.st_mode);
}

/// A pipe that polls as writable has room for PIPE_BUF bytes.
bool isWritable(int Descriptor) {
  pollfd Poll{Descriptor, POLLOUT, 0};
  return poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
}

} // namespace

LogOutput::LogOutput(int Descriptor)
    : Descriptor_(Descriptor), MayBlock_(!isRegularFile(Descriptor)) {}

bool LogOutput::write(std::string_view Line) {
  if (Queued_.size() + Line.size() > MaximumQueuedBytes) {
    flush();
    if (Queued_.size() + Line.size() > MaximumQueuedBytes) {
      ++Dropped_;
      return false;
    }
  }
  Queued_ += Line;
  flush();
  return true;
}

void LogOutput::flush() {
  std::size_t Written = 0;
  while (Written < Queued_.size()) {
    if (MayBlock_ && !isWritable(Descriptor_))
      break;
    std::size_t Size =
        std::min<std::size_t>(PIPE_BUF, Queued_.size() - Written);
    ssize_t Count = ::write(Descriptor_, Queued_.data() + Written, Size);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count <= 0)
      break;
    Written += static_cast<std::size_t>(Count);
  }
  Queued_.erase(0, Written);
}

std::uint64_t LogOutput::takeDropped() { return std::exchange(Dropped_, 0); }

bool LogOutput::hasReportableDrops() const {
  return Dropped_ > 0 && Queued_.size() < ReportBelowBytes;
}

} // namespace nutmegloom
