#ifndef NUTMEGLOOM_TESTING_SOAK_CHECKS_H
#define NUTMEGLOOM_TESTING_SOAK_CHECKS_H

#include "testing/soak/callers.h"
#include "testing/standinsessions/sessiondatabases.h"

namespace nutmegloom::testing {

/// Compares what callers sent and were told with what the databases ran. One
/// line for each promise that was broken.
std::vector<std::string>
findViolations(const Callers &From,
               const std::vector<SessionDatabases::Run> &Runs);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SOAK_CHECKS_H
