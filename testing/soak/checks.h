#ifndef NUTMEGLOOM_TESTING_SOAK_CHECKS_H
#define NUTMEGLOOM_TESTING_SOAK_CHECKS_H

#include "testing/soak/callers.h"
#include "testing/standinsessions/sessiondatabases.h"

namespace nutmegloom::testing {

/// Compares the statements and outcomes of the callers with what the databases
/// executed. Returns one line for each guarantee that was violated.
std::vector<std::string>
findViolations(const Callers &From,
               const std::vector<SessionDatabases::Run> &Runs);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SOAK_CHECKS_H
