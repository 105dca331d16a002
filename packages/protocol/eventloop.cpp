#include "protocol/eventloop.h"

#include <exception>
#include <optional>

namespace nutmegloom {

namespace {

/// The loop gives up after this many exceptions within ErrorPeriod.
constexpr std::size_t MaximumErrors = 20;
constexpr Milliseconds ErrorPeriod{10000};

} // namespace

bool runEventLoop(boost::asio::io_context &Io,
                  const std::function<TimePoint()> &Now,
                  const std::function<void(std::string_view)> &Report) {
  std::optional<TimePoint> PeriodStart;
  std::size_t Errors = 0;
  while (Errors < MaximumErrors) {
    try {
      Io.run();
      return true;
    } catch (const std::exception &Error) {
      Report(Error.what());
    }
    TimePoint FailedAt = Now();
    if (!PeriodStart || FailedAt - *PeriodStart > ErrorPeriod) {
      PeriodStart = FailedAt;
      Errors = 0;
    }
    ++Errors;
  }
  return false;
}

} // namespace nutmegloom
