#include "sessions/gracefulstop.h"

namespace nutmegloom {

namespace {

/// The platform sends no new callers to a host after two failed readiness
/// checks, which it makes every second.
constexpr Milliseconds RotationDelay{2300};
/// Reserved for sending the last answers before the process is killed.
constexpr Milliseconds StopMargin{600};
/// Reserved for the exit itself.
constexpr Milliseconds ExitMargin{100};

} // namespace

void GracefulStop::begin(TimePoint Now) {
  if (!Since_)
    Since_ = Now;
}

/// Sessions stay open until no new callers arrive, and are then closed when
/// they are idle. Open transactions may continue for half of the grace period.
GracefulStop::Step GracefulStop::step(std::size_t Sessions, bool Accepting,
                                      TimePoint Now) const {
  Duration Stopping = Now - *Since_;
  bool Done = Sessions == 0 && !Accepting;
  if (Stopping >= GracePeriod_ - StopMargin)
    return Done ? Step::Finished : Step::OutOfTime;
  if (Stopping >= GracePeriod_ / 2)
    return Done ? Step::Finished : Step::EndTransactions;
  return Stopping >= RotationDelay ? Step::CloseIdle : Step::Serve;
}

bool GracefulStop::mayExit(std::size_t Unsent, TimePoint Now) const {
  return Unsent == 0 || Now - *Since_ >= GracePeriod_ - ExitMargin;
}

} // namespace nutmegloom
