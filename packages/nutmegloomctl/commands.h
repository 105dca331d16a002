#ifndef NUTMEGLOOM_NUTMEGLOOMCTL_COMMANDS_H
#define NUTMEGLOOM_NUTMEGLOOMCTL_COMMANDS_H

#include "nutmegloomctl/options.h"
#include "nutmegloomctl/platformcalls.h"
#include "nutmegloomctl/statusreader.h"

namespace nutmegloom {

/// What a command has to say: for people and for scripts.
struct CommandOutput {
  ExitCode Code = ExitCode::Done;
  std::string Text;
  /// JSON object without the members command and exit_code.
  std::string Json;
};

/// The surroundings of the commands.
struct CommandHooks {
  std::function<std::vector<HostStatus>(const std::vector<StatusTarget> &)>
      ReadStatuses;
  /// Present time as RFC 3339 text in UTC.
  std::function<std::string()> Time;
  std::function<std::string()> NewEditId;
};

/// Runs the command of the options.
CommandOutput runCommand(const Options &Given, PlatformCalls &Platform,
                         const CommandHooks &Hooks);

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMCTL_COMMANDS_H
