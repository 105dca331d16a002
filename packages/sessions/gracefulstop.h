#ifndef NUTMEGLOOM_SESSIONS_GRACEFULSTOP_H
#define NUTMEGLOOM_SESSIONS_GRACEFULSTOP_H

#include "core/types.h"

#include <optional>

namespace nutmegloom {

/// Determines the steps of a planned stop of the host process.
///
/// No step may drop a statement that was accepted: the process stops accepting
/// sessions before it may finish, and finishes only when none are left.
class GracefulStop {
public:
  /// GracePeriod: time from the request to stop until the process is killed.
  explicit GracefulStop(Milliseconds GracePeriod) : GracePeriod_(GracePeriod) {}

  void begin(TimePoint Now);
  bool isStopping() const { return Since_.has_value(); }

  enum class Step {
    /// Continue as before, since callers still arrive.
    Serve,
    /// Close sessions that are idle.
    CloseIdle,
    /// Accept no further sessions, close idle ones and roll back open
    /// transactions.
    EndTransactions,
    /// No sessions are left and none are accepted; the process can exit.
    Finished,
    /// Sessions are left, but the process must exit.
    OutOfTime,
  };
  /// Returns the step that is due. Sessions: number of accepted connections of
  /// callers and of sessions of other hosts. Accepting: whether further ones
  /// can still be accepted.
  Step step(std::size_t Sessions, bool Accepting, TimePoint Now) const;
  /// After Finished or OutOfTime: true when the process may exit. Unsent:
  /// number of connections whose last answers are not sent yet.
  bool mayExit(std::size_t Unsent, TimePoint Now) const;

private:
  Milliseconds GracePeriod_;
  std::optional<TimePoint> Since_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_GRACEFULSTOP_H
