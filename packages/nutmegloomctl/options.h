#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_OPTIONS_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_OPTIONS_H

#include "core/types.h"

#include <variant>

namespace nutmegloom {

/// Exit codes, which scripts rely on.
enum class ExitCode {
  Done = 0,
  Refused = 1,
  Usage = 2,
  NotReached = 3,
  Lost = 4,
  Unknown = 5,
};

/// The command line.
struct Options {
  std::string Command;
  /// Folders and files.
  std::vector<std::string> Paths;
  std::string Platform;
  Milliseconds Timeout{5000};
  bool Json = false;
  std::string Comment;
  std::string Editor;
  std::optional<std::uint64_t> BasedOn;
  bool Offline = false;
  std::vector<std::string> RemovedOverlays;
  /// Callers' addresses of hosts, in the place of the platform's list.
  std::vector<std::string> Hosts;
  std::uint32_t HistoryLimit = 50;
};

/// Ends the program with a text.
struct EarlyExit {
  ExitCode Code = ExitCode::Done;
  std::string Text;
};

/// Reads the command line and the environment.
std::variant<Options, EarlyExit> parseOptions(int Count, const char **Values);

/// The help text with all commands, options and exit codes.
std::string helpText();

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_OPTIONS_H
