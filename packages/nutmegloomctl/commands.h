#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_COMMANDS_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_COMMANDS_H

#include "nutmegloomctl/options.h"
#include "nutmegloomctl/platformcalls.h"
#include "nutmegloomctl/statusreader.h"

namespace nutmegloom {

/// Output of a command as text and as JSON.
struct CommandOutput {
  ExitCode Code = ExitCode::Done;
  std::string Text;
  /// JSON object without the members command and exit_code.
  std::string Json;
};

/// Functions of the environment, which tests replace.
struct CommandHooks {
  std::function<std::vector<HostStatus>(const std::vector<StatusTarget> &)>
      ReadStatuses;
  /// Returns the current time as RFC 3339 text in UTC.
  std::function<std::string()> Time;
  std::function<std::string()> NewEditId;
};

/// Runs the command Opts.Command. Returns the help text for "help".
CommandOutput runCommand(const Options &Given, PlatformCalls &Platform,
                         const CommandHooks &Hooks);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_COMMANDS_H
