#include "nutmegloomd/commandline.h"
#include "nutmegloomd/daemon.h"
#include "telemetry/events.h"

#include <exception>
#include <iostream>

int main(int Argc, char **Argv) {
  try {
    nutmegloom::CommandLine Given =
        nutmegloom::readCommandLine(Argc, const_cast<const char **>(Argv));
    if (Given.ExitCode)
      return *Given.ExitCode;
    if (Given.JsonLog)
      nutmegloom::setLogFormat(nutmegloom::LogFormat::Json);
    return nutmegloom::Daemon(std::move(Given.Settings)).run();
  } catch (const std::exception &Error) {
    std::cerr << "nutmegloomd: " << Error.what() << "\n";
    return 1;
  }
}
