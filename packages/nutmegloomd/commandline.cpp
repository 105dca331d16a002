#include "nutmegloomd/commandline.h"

#include <popt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>

namespace nutmegloom {

namespace {

constexpr int ExitRefused = 2;

/// A flag that overrides a setting of the host's settings file.
struct SettingFlag {
  const char *Flag;
  const char *Setting;
  const char *Help;
  const char *Value;
};
constexpr std::array<SettingFlag, 6> SettingFlags{{
    {"name", "name", "name of this host in the platform's list", "NAME"},
    {"zone", "zone", "availability zone of this host", "NAME"},
    {"region", "region", "region of this host", "NAME"},
    {"caller-address", "caller_address", "where callers connect", "IP:PORT"},
    {"peer-address", "peer_address", "where other hosts connect", "IP:PORT"},
    {"platform-address", "platform_address", "the platform's API", "IP:PORT"},
}};

enum Option {
  OptionSettings = 1,
  OptionSeed,
  OptionLogFormat,
  OptionCheck,
  OptionVersion,
  OptionFirstSetting = 100,
};

struct Flags {
  std::string File;
  std::string LogFormat = "keyvalue";
  HostOverrides Overrides;
  bool CheckOnly = false;
  bool ShowVersion = false;
};

std::vector<poptOption> makeOptions() {
  std::vector<poptOption> Options{
      {"settings", 's', POPT_ARG_STRING, nullptr, OptionSettings,
       "read the host's settings from FILE", "FILE"},
      {"seed", '\0', POPT_ARG_STRING, nullptr, OptionSeed,
       "host to ask for the configuration at start; may be repeated",
       "IP:PORT"},
      {"log-format", '\0', POPT_ARG_STRING, nullptr, OptionLogFormat,
       "keyvalue or json", "FORMAT"},
      {"check-settings", '\0', POPT_ARG_NONE, nullptr, OptionCheck,
       "check the settings and exit", nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, OptionVersion,
       "print the version and exit", nullptr},
  };
  for (std::size_t I = 0; I < SettingFlags.size(); ++I)
    Options.push_back({SettingFlags[I].Flag, '\0', POPT_ARG_STRING, nullptr,
                       OptionFirstSetting + static_cast<int>(I),
                       SettingFlags[I].Help, SettingFlags[I].Value});
  // Same entries as the macros POPT_AUTOHELP and POPT_TABLEEND.
  Options.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                     "Help options:", nullptr});
  Options.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  return Options;
}

void applyOption(Flags &Arguments, int Selected, const char *Value) {
  switch (Selected) {
  case OptionSettings:
    Arguments.File = Value;
    return;
  case OptionSeed:
    Arguments.Overrides.Seeds.emplace_back(Value);
    return;
  case OptionLogFormat:
    Arguments.LogFormat = Value;
    return;
  case OptionCheck:
    Arguments.CheckOnly = true;
    return;
  case OptionVersion:
    Arguments.ShowVersion = true;
    return;
  default:
    Arguments.Overrides.Values[SettingFlags[static_cast<std::size_t>(
                                                Selected - OptionFirstSetting)]
                                   .Setting] = Value;
  }
}

CommandLine refuse(const std::string &Reason) {
  std::cerr << "nutmegloomd: " << Reason << "\n";
  CommandLine Refused;
  Refused.ExitCode = ExitRefused;
  return Refused;
}

} // namespace

CommandLine readCommandLine(int Argc, const char **Argv) {
  std::vector<poptOption> Options = makeOptions();
  std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> Context(
      poptGetContext("nutmegloomd", Argc, Argv, Options.data(), 0),
      &poptFreeContext);
  Flags Arguments;
  int Selected = 0;
  while ((Selected = poptGetNextOpt(Context.get())) > 0) {
    std::unique_ptr<char, decltype(&std::free)> Value(
        poptGetOptArg(Context.get()), &std::free);
    applyOption(Arguments, Selected, Value.get());
  }
  if (Selected < -1)
    return refuse(std::string(poptBadOption(Context.get(), 0)) + ": " +
                  poptStrerror(Selected));
  if (const char *Unexpected = poptPeekArg(Context.get()))
    return refuse("unexpected argument \"" + std::string(Unexpected) + "\"");

  CommandLine Result;
  if (Arguments.ShowVersion) {
    std::cout << "nutmegloomd " << NUTMEGLOOM_VERSION << "\n";
    Result.ExitCode = 0;
    return Result;
  }
  if (Arguments.LogFormat != "keyvalue" && Arguments.LogFormat != "json")
    return refuse("--log-format must be keyvalue or json");
  Result.JsonLog = Arguments.LogFormat == "json";

  std::string Text = "{}";
  if (!Arguments.File.empty()) {
    std::ifstream File(Arguments.File);
    if (!File)
      return refuse("the settings file \"" + Arguments.File +
                    "\" can't be read");
    std::ostringstream Content;
    Content << File.rdbuf();
    Text = std::move(Content).str();
  }
  auto Parsed = parseHostSettings(
      Text, Arguments.File.empty() ? "command line" : Arguments.File,
      Arguments.Overrides);
  if (auto *Errors = std::get_if<SettingsErrors>(&Parsed)) {
    for (const SettingsError &Error : *Errors)
      Result = refuse(describe(Error));
    return Result;
  }
  Result.Settings = std::move(std::get<HostSettings>(Parsed));
  if (Arguments.CheckOnly)
    Result.ExitCode = 0;
  return Result;
}

} // namespace nutmegloom
