#ifndef NUTMEGLOOM_NUTMEGLOOMD_COMMANDLINE_H
#define NUTMEGLOOM_NUTMEGLOOMD_COMMANDLINE_H

#include "settings/settings.h"

#include <optional>

namespace nutmegloom {

/// What the command line of nutmegloomd asks for.
struct CommandLine {
  HostSettings Settings;
  bool JsonLog = false;
  /// Set when the program ends at once, with this exit code.
  std::optional<int> ExitCode;
};

/// Reads the command line and the settings file. Prints the reasons of a
/// refusal on standard error, and help and version on standard output.
CommandLine readCommandLine(int Argc, const char **Argv);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_COMMANDLINE_H
