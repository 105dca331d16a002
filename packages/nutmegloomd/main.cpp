#include "nutmegloomd/commandline.h"
#include "nutmegloomd/daemon.h"
#include "telemetry/events.h"

#include <exception>
#include <iostream>

int main(int Argc, char **Argv) {
  try {
    nutmegloom::CommandLine Arguments =
        nutmegloom::readCommandLine(Argc, const_cast<const char **>(Argv));
    if (Arguments.ExitCode)
      return *Arguments.ExitCode;
    if (Arguments.JsonLog)
      nutmegloom::setLogFormat(nutmegloom::LogFormat::Json);
    return nutmegloom::Daemon(std::move(Arguments.Settings)).run();
  } catch (const std::exception &Error) {
    std::cerr << "nutmegloomd: " << Error.what() << "\n";
    return 1;
  }
}
