#include "protocol/callercodec.h"

#include <array>
#include <cstdlib>

using namespace nutmegloom;

/// A body must not crash the codec or be accepted with a deadline beyond the
/// maximum, and every rejection must have an error code.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  static constexpr std::array<std::string_view, 5> Targets{
      "/v1/salas-db/0/statements", "/v1/salas-db/0/transactions",
      "/v1/transactions/h.1/statements", "/v1/transactions/h.1/commit",
      "/v1/transactions/h.1/rollback"};
  const std::string_view Body(reinterpret_cast<const char *>(Data), Size);
  const CallerTimeouts Timeouts;
  const TimePoint Now;
  for (const std::string_view Target : Targets) {
    const auto Parsed = parseCallerRequest(
        {"POST", Target, Body, "key", "", "caller"}, Timeouts, Now);
    if (const auto *Request = std::get_if<CallerRequest>(&Parsed)) {
      if (Request->Deadline > Now + Timeouts.Maximum)
        std::abort();
    } else if (std::get<Problem>(Parsed).Code == ErrorCode::None) {
      std::abort();
    }
  }
  // The other parts of a request come from the network as well.
  static_cast<void>(parseCallerRequest(
      {"POST", Body, "{}", Body, Body, "caller"}, Timeouts, Now));
  return 0;
}
