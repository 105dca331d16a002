#include "nutmegloomctl/options.h"

#include "settings/textformats.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>

#include <popt.h>

namespace nutmegloom {

namespace {

constexpr int MaximumTimeoutMs = 600000;

struct CommandRequirements {
  std::string_view Name;
  bool NeedsPlatform;
  bool NeedsPaths;
};

constexpr std::array<CommandRequirements, 6> Commands{{
    {"check", false, true},
    {"diff", true, true},
    {"apply", true, false},
    {"status", true, false},
    {"history", true, false},
    {"help", false, false},
}};

enum OptionValue {
  RemoveOverlayOption = 1,
  HostOption,
  VersionOption,
  HelpOption,
};

/// Variables that popt writes to, as it supports only C types.
struct RawOptions {
  char *Platform = nullptr;
  int Timeout = 5000;
  int Json = 0;
  char *Comment = nullptr;
  char *Editor = nullptr;
  long long BasedOn = -1;
  int Offline = 0;
  int Limit = 50;

  ~RawOptions() {
    // popt allocates strings with malloc.
    std::free(Platform);
    std::free(Comment);
    std::free(Editor);
  }
  RawOptions() = default;
  RawOptions(const RawOptions &) = delete;
  RawOptions &operator=(const RawOptions &) = delete;
};

std::string textOf(const char *Value) { return Value ? Value : ""; }

EarlyExit usageError(std::string Message) {
  return {ExitCode::Usage,
          "nutmegloomctl: " + std::move(Message) +
              "\nRun \"nutmegloomctl help\" for commands and options.\n"};
}

std::optional<EarlyExit> checkOptions(const Options &Opts,
                                      const RawOptions &Raw) {
  const auto *Requirements =
      std::find_if(Commands.begin(), Commands.end(),
                   [&Opts](const CommandRequirements &Known) {
                     return Known.Name == Opts.Command;
                   });
  if (Requirements == Commands.end())
    return usageError("unknown command \"" + Opts.Command +
                      "\"; allowed are check, diff, apply, status, history "
                      "and help");
  if (Requirements->NeedsPaths && Opts.Paths.empty())
    return usageError("\"" + Opts.Command + "\" needs a folder or files");
  if (Opts.Command == "apply" && Opts.Paths.empty() &&
      Opts.RemovedOverlays.empty())
    return usageError("\"apply\" needs a folder, files or --remove-overlay");
  if (Opts.Command == "apply" && Opts.Comment.empty())
    return usageError("\"apply\" needs --comment with the reason for the edit");
  if (Requirements->NeedsPlatform && !canonicalAddress(Opts.Platform))
    return usageError("--platform or NUTMEGLOOM_PLATFORM must be \"IP:port\"; "
                      "it is \"" +
                      Opts.Platform + "\"");
  for (const std::string &Host : Opts.Hosts)
    if (!canonicalAddress(Host))
      return usageError("--host must be \"IP:port\"; it is \"" + Host + "\"");
  if (Raw.Timeout < 1 || Raw.Timeout > MaximumTimeoutMs)
    return usageError("--timeout-ms must be from 1 to " +
                      std::to_string(MaximumTimeoutMs) + "; it is " +
                      std::to_string(Raw.Timeout));
  if (Raw.BasedOn < -1)
    return usageError("--based-on must be a version; it is " +
                      std::to_string(Raw.BasedOn));
  if (Raw.Limit < 1)
    return usageError("--limit must be at least 1; it is " +
                      std::to_string(Raw.Limit));
  return std::nullopt;
}

} // namespace

std::variant<Options, EarlyExit> parseOptions(int Count, const char **Values) {
  RawOptions Raw;
  const std::array<poptOption, 12> Table{{
      {"platform", 'p', POPT_ARG_STRING, &Raw.Platform, 0, nullptr, nullptr},
      {"timeout-ms", 't', POPT_ARG_INT, &Raw.Timeout, 0, nullptr, nullptr},
      {"json", 'j', POPT_ARG_NONE, &Raw.Json, 0, nullptr, nullptr},
      {"comment", 'c', POPT_ARG_STRING, &Raw.Comment, 0, nullptr, nullptr},
      {"editor", 'e', POPT_ARG_STRING, &Raw.Editor, 0, nullptr, nullptr},
      {"based-on", 'b', POPT_ARG_LONGLONG, &Raw.BasedOn, 0, nullptr, nullptr},
      {"offline", 'o', POPT_ARG_NONE, &Raw.Offline, 0, nullptr, nullptr},
      {"limit", 'n', POPT_ARG_INT, &Raw.Limit, 0, nullptr, nullptr},
      {"remove-overlay", 'r', POPT_ARG_STRING, nullptr, RemoveOverlayOption,
       nullptr, nullptr},
      {"host", 'H', POPT_ARG_STRING, nullptr, HostOption, nullptr, nullptr},
      {"version", 'V', POPT_ARG_NONE, nullptr, VersionOption, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, nullptr, HelpOption, nullptr, nullptr},
  }};
  std::vector<poptOption> TableWithEnd(Table.begin(), Table.end());
  TableWithEnd.push_back(POPT_TABLEEND);
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> Context(
      poptGetContext("nutmegloomctl", Count, Values, TableWithEnd.data(), 0),
      &poptFreeContext);

  Options Opts;
  int Value = 0;
  while ((Value = poptGetNextOpt(Context.get())) > 0) {
    const std::unique_ptr<char, decltype(&std::free)> Argument(
        poptGetOptArg(Context.get()), &std::free);
    switch (Value) {
    case RemoveOverlayOption:
      Opts.RemovedOverlays.push_back(textOf(Argument.get()));
      break;
    case HostOption:
      Opts.Hosts.push_back(textOf(Argument.get()));
      break;
    case VersionOption:
      return EarlyExit{ExitCode::Done,
                       "nutmegloomctl " NUTMEGLOOM_VERSION "\n"};
    default:
      return EarlyExit{ExitCode::Done, helpText()};
    }
  }
  if (Value < -1)
    return usageError(textOf(poptBadOption(Context.get(), 0)) + ": " +
                      poptStrerror(Value));

  if (const char *Command = poptGetArg(Context.get()))
    Opts.Command = Command;
  else
    return usageError("no command");
  while (const char *Path = poptGetArg(Context.get()))
    Opts.Paths.emplace_back(Path);
  Opts.Platform =
      textOf(Raw.Platform ? Raw.Platform : std::getenv("NUTMEGLOOM_PLATFORM"));
  Opts.Timeout = Milliseconds(Raw.Timeout);
  Opts.Json = Raw.Json != 0;
  Opts.Comment = textOf(Raw.Comment);
  Opts.Editor = textOf(Raw.Editor ? Raw.Editor : std::getenv("USER"));
  if (Opts.Editor.empty())
    Opts.Editor = "unknown";
  if (Raw.BasedOn >= 0)
    Opts.BasedOn = static_cast<std::uint64_t>(Raw.BasedOn);
  Opts.Offline = Raw.Offline != 0;
  Opts.HistoryLimit = static_cast<std::uint32_t>(Raw.Limit);
  if (auto Error = checkOptions(Opts, Raw))
    return *Error;
  return Opts;
}

std::string helpText() {
  return R"(Usage: nutmegloomctl [OPTION]... COMMAND [FOLDER|FILE]...

Checks, compares and applies the configuration of nutmegloom, and shows what is
in force. A folder holds base.jsonc and overlays/SITE.jsonc.

Commands:
  check FOLDER|FILE...    check the base file and all overlays together
  diff FOLDER|FILE...     show how files differ from the configuration in force
  apply FOLDER|FILE...    put the files that changed in force at every site
  status                  show the latest edit, the version that each site
                          follows, each group's primary and what is refused
  history                 show the latest edits, newest first
  help                    show this text

Options:
  -p, --platform IP:PORT     address of the platform; default: the environment's
                             NUTMEGLOOM_PLATFORM
  -t, --timeout-ms N         longest wait for one answer, 1 to 600000;
                             default 5000
  -j, --json                 print one JSON object, for scripts
  -c, --comment TEXT         apply: reason for the edit, kept in the history
  -e, --editor NAME          apply: who makes the edit; default: USER
  -b, --based-on VERSION     apply: version that the files are based on; files
                             that were changed since are not overwritten
  -o, --offline              apply: allow changes that are safe only while no
                             host serves
  -r, --remove-overlay SITE  apply: remove the overlay of a site (repeatable)
  -H, --host IP:PORT         status: callers' address of a host to ask instead
                             of the platform's list (repeatable)
  -n, --limit N              history: number of edits; default 50
  -V, --version              print the version
  -h, --help                 show this text

Exit codes:
  0  done
  1  refused by the checks: nothing changed
  2  the command line is not valid
  3  the platform could not be reached: nothing changed
  4  lost against a concurrent edit: nothing changed
  5  the outcome is unknown: look for the edit with "history"
)";
}

} // namespace nutmegloom
