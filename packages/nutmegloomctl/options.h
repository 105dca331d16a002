#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_OPTIONS_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_OPTIONS_H

#include "core/types.h"

#include <variant>

namespace nutmegloom {

/// Exit codes of the program. Scripts depend on the values.
enum class ExitCode {
  Done = 0,
  Refused = 1,
  Usage = 2,
  Unreachable = 3,
  Conflict = 4,
  Unknown = 5,
};

/// Parsed command line.
struct Options {
  std::string Command;
  /// Folders and files of the configuration.
  std::vector<std::string> Paths;
  std::string Platform;
  Milliseconds Timeout{5000};
  bool Json = false;
  std::string Comment;
  std::string Editor;
  std::optional<std::uint64_t> BasedOn;
  bool Offline = false;
  std::vector<std::string> RemovedOverlays;
  /// Caller addresses of the hosts to query instead of the platform's list.
  std::vector<std::string> Hosts;
  std::uint32_t HistoryLimit = 50;
};

/// Text and exit code of a program that exits without running a command.
struct EarlyExit {
  ExitCode Code = ExitCode::Done;
  std::string Text;
};

/// Parses the command line and the variables NUTMEGLOOM_PLATFORM and USER.
/// Returns EarlyExit for help, version and usage errors.
std::variant<Options, EarlyExit> parseOptions(int Count, const char **Values);

/// Returns the help text with all commands, options and exit codes.
std::string helpText();

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_OPTIONS_H
