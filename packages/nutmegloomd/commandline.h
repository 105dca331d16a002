#ifndef NUTMEGLOOM_NUTMEGLOOMD_COMMANDLINE_H
#define NUTMEGLOOM_NUTMEGLOOMD_COMMANDLINE_H

#include "settings/settings.h"

#include <optional>

namespace nutmegloom {

/// Parsed command line of nutmegloomd.
struct CommandLine {
  HostSettings Settings;
  bool JsonLog = false;
  /// Set when the program must exit with this code instead of serving.
  std::optional<int> ExitCode;
};

/// Parses the command line and reads the settings file. Prints errors to
/// standard error and sets exit code 2 if either is invalid. Prints help and
/// version to standard output.
CommandLine readCommandLine(int Argc, const char **Argv);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_COMMANDLINE_H
