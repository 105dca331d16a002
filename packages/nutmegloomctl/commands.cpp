#include "nutmegloomctl/commands.h"

#include "nutmegloomctl/configurationdiff.h"
#include "nutmegloomctl/editapplier.h"
#include "settings/settingstable.h"
#include "settings/textformats.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegloom {

namespace {

using Json = nlohmann::ordered_json;

std::string dump(const Json &Value) {
  return Value.dump(2, ' ', false, Json::error_handler_t::replace);
}

Json jsonOf(const SettingsErrors &Errors) {
  Json List = Json::array();
  for (const SettingsError &Error : Errors)
    List.push_back({{"file", Error.File},
                    {"path", Error.Path},
                    {"message", Error.Message}});
  return List;
}

Json jsonOf(const ConfigurationEdit &Edit) {
  return {{"version", Edit.Version}, {"edit_id", Edit.EditId},
          {"editor", Edit.Editor},   {"edited_at", Edit.EditedAt},
          {"comment", Edit.Comment}, {"changed", Edit.Changed}};
}

std::string joined(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name;
  return Text;
}

std::string describeEdit(const ConfigurationEdit &Edit) {
  return "version " + std::to_string(Edit.Version) + "  " + Edit.EditedAt +
         "  " + Edit.Editor + "  changed: " + joined(Edit.Changed) + "\n    " +
         Edit.Comment + "\n";
}

CommandOutput refuse(const SettingsErrors &Errors) {
  std::string Text;
  for (const SettingsError &Error : Errors)
    Text += describe(Error) + "\n";
  Text += "refused: " + std::to_string(Errors.size()) +
          (Errors.size() == 1 ? " error\n" : " errors\n");
  return {ExitCode::Refused, Text,
          dump({{"outcome", "refused"}, {"errors", jsonOf(Errors)}})};
}

CommandOutput fail(ExitCode Code, const std::string &Outcome,
                   const std::string &Detail) {
  return {Code, Outcome + ": " + Detail + "\n",
          dump({{"outcome", Outcome}, {"detail", Detail}})};
}

CommandOutput refuseHead(const HeadReadError &Failure) {
  if (Failure.Reason)
    return fail(ExitCode::Unreachable, "not_reached",
                "the head could not be read: " +
                    std::string(nameOf(*Failure.Reason)));
  return refuse(Failure.Errors);
}

CommandOutput runCheck(const Options &Opts) {
  const auto Read = readConfigurationFiles(Opts.Paths);
  if (const auto *Errors = std::get_if<SettingsErrors>(&Read))
    return refuse(*Errors);
  const auto &Files = std::get<ConfigurationFiles>(Read);
  if (!Files.Base)
    return refuse({{joined(Opts.Paths), "",
                    "base.jsonc is missing; overlays are checked together "
                    "with the base file"}});
  ConfigurationHead Head;
  Head.Base = *Files.Base;
  Head.Overlays = Files.Overlays;
  const SettingsErrors Errors = checkHead(Head);
  if (!Errors.empty())
    return refuse(withPaths(Errors, Files));
  const std::size_t Count = Files.Overlays.size();
  return {ExitCode::Done,
          "the base file and " + std::to_string(Count) +
              (Count == 1 ? " overlay" : " overlays") + " are valid\n",
          dump({{"outcome", "done"}, {"overlays", Count}})};
}

std::string describeChange(const SettingChange &Change) {
  if (Change.Path.empty())
    return Change.File + ": only comments or layout differ\n";
  std::string Text = Change.File + ": " + Change.Path + ": ";
  Text += Change.Before.empty() ? "(absent)" : Change.Before;
  Text += " -> ";
  Text += Change.After.empty() ? "(absent)" : Change.After;
  return Text + "\n";
}

CommandOutput runDiff(const Options &Opts, PlatformCalls &Platform) {
  const auto Read = readConfigurationFiles(Opts.Paths);
  if (const auto *Errors = std::get_if<SettingsErrors>(&Read))
    return refuse(*Errors);
  const auto Head = Platform.readHead();
  if (const auto *Failure = std::get_if<HeadReadError>(&Head))
    return refuseHead(*Failure);
  const auto &Stored = std::get<StoredHead>(Head);
  const auto Compared =
      compareConfiguration(Stored.Head, std::get<ConfigurationFiles>(Read));
  if (const auto *Errors = std::get_if<SettingsErrors>(&Compared))
    return refuse(*Errors);
  std::string Text;
  Json List = Json::array();
  for (const auto &Change : std::get<std::vector<SettingChange>>(Compared)) {
    Text += describeChange(Change);
    List.push_back({{"file", Change.File},
                    {"path", Change.Path},
                    {"before", Change.Before},
                    {"after", Change.After}});
  }
  if (Text.empty())
    Text = "no differences\n";
  return {ExitCode::Done,
          "compared with version " + std::to_string(Stored.Version) + "\n" +
              Text,
          dump({{"outcome", "done"},
                {"version", Stored.Version},
                {"changes", List}})};
}

ExitCode exitCodeOf(ApplyOutcome Outcome) {
  switch (Outcome) {
  case ApplyOutcome::Done:
  case ApplyOutcome::Unchanged:
    return ExitCode::Done;
  case ApplyOutcome::Refused:
    return ExitCode::Refused;
  case ApplyOutcome::Unreachable:
    return ExitCode::Unreachable;
  case ApplyOutcome::Conflict:
    return ExitCode::Conflict;
  case ApplyOutcome::Unknown:
    return ExitCode::Unknown;
  }
  return ExitCode::Unknown;
}

std::string describeResult(const ApplyResult &Result) {
  std::string Text;
  for (const SettingsError &Error : Result.Errors)
    Text += describe(Error) + "\n";
  if (Result.Outcome == ApplyOutcome::Done)
    return Text + "applied as version " + std::to_string(Result.Version) +
           ", changed: " + joined(Result.Changed) + "\n";
  if (Result.Outcome == ApplyOutcome::Unchanged)
    return Text + "version " + std::to_string(Result.Version) +
           " already holds these files\n";
  return Text + std::string(nameOf(Result.Outcome)) + ": " + Result.Detail +
         "\n";
}

CommandOutput runApply(const Options &Opts, PlatformCalls &Platform,
                       const CommandHooks &Hooks) {
  const auto Read = readConfigurationFiles(Opts.Paths);
  if (const auto *Errors = std::get_if<SettingsErrors>(&Read))
    return refuse(*Errors);
  RequestedEdit Edit;
  Edit.Files = std::get<ConfigurationFiles>(Read);
  for (const std::string &Site : Opts.RemovedOverlays) {
    if (Edit.Files.Overlays.count(Site) != 0)
      return refuse({{Edit.Files.Paths.at(Site), "",
                      "--remove-overlay names the site of this file"}});
    Edit.RemovedOverlays.insert(Site);
  }
  Edit.BasedOn = Opts.BasedOn;
  Edit.Offline = Opts.Offline;
  Edit.EditId = Hooks.NewEditId();
  Edit.Editor = Opts.Editor;
  Edit.EditedAt = Hooks.Time();
  Edit.Comment = Opts.Comment;
  const std::string EditId = Edit.EditId;
  const ApplyResult Result = EditApplier(Platform, std::move(Edit)).run();
  return {exitCodeOf(Result.Outcome), describeResult(Result),
          dump({{"outcome", nameOf(Result.Outcome)},
                {"version", Result.Version},
                {"edit_id", EditId},
                {"changed", Result.Changed},
                {"errors", jsonOf(Result.Errors)},
                {"detail", Result.Detail},
                {"tries", Result.Attempts}})};
}

CommandOutput runHistory(const Options &Opts, PlatformCalls &Platform) {
  const auto Read = Platform.readHead();
  if (const auto *Failure = std::get_if<HeadReadError>(&Read))
    return refuseHead(*Failure);
  const auto &History = std::get<StoredHead>(Read).Head.History;
  std::string Text;
  Json List = Json::array();
  const std::size_t Count =
      std::min<std::size_t>(History.size(), Opts.HistoryLimit);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Text += describeEdit(History[Index]);
    List.push_back(jsonOf(History[Index]));
  }
  if (Text.empty())
    Text = "no edits\n";
  return {ExitCode::Done, Text, dump({{"outcome", "done"}, {"edits", List}})};
}

/// Returns the caller port of the hosts from the base file of the head, or its
/// default.
std::string callerPortOf(const ConfigurationHead &Head) {
  const auto DefaultPort = defaultIntegerOf("hosts.caller_port");
  const Json Base = Json::parse(Head.Base, nullptr, false, true);
  if (Base.is_object() && Base.contains("hosts") && Base["hosts"].is_object()) {
    const auto Port = Base["hosts"].find("caller_port");
    if (Port != Base["hosts"].end() && Port->is_number_unsigned())
      return std::to_string(Port->get<std::uint64_t>());
  }
  return std::to_string(DefaultPort);
}

std::vector<StatusTarget> targetsOf(const Options &Opts,
                                    PlatformCalls &Platform,
                                    const ConfigurationHead &Head,
                                    std::string &Problem) {
  std::vector<StatusTarget> Targets;
  for (const std::string &Host : Opts.Hosts)
    Targets.push_back({Host, "", ""});
  if (!Targets.empty())
    return Targets;
  const auto Listed = Platform.listHosts();
  if (const auto *Error = std::get_if<PlatformError>(&Listed)) {
    Problem =
        "the host list could not be read: " + std::string(nameOf(*Error)) +
        "; specify hosts with --host";
    return Targets;
  }
  const std::string Port = callerPortOf(Head);
  for (const ListedHost &Host : std::get<std::vector<ListedHost>>(Listed))
    if (Host.Role == "entry")
      Targets.push_back(
          {ipOf(Host.PeerAddress) + ":" + Port, Host.Name, Host.Zone});
  return Targets;
}

std::string versionsOf(const SiteStatus &Site) {
  std::vector<std::string> Versions;
  for (const std::uint64_t Version : Site.Versions)
    Versions.push_back(std::to_string(Version));
  return Versions.empty() ? "unknown" : joined(Versions);
}

std::string describeReport(const StatusReport &Report) {
  std::string Text = "sites:\n";
  for (const auto &[Zone, Site] : Report.Sites) {
    Text += "  " + Zone + ": version " + versionsOf(Site) + ", " +
            std::to_string(Site.Hosts) + " hosts";
    if (Site.Unanswered > 0)
      Text += ", " + std::to_string(Site.Unanswered) + " without an answer";
    Text += "\n";
  }
  Text += "groups:\n";
  for (const auto &[Id, Group] : Report.Groups) {
    const std::vector<std::string> Primaries(Group.Primaries.begin(),
                                             Group.Primaries.end());
    Text += "  " + Id + ": term " + std::to_string(Group.Term) + ", primary " +
            (Primaries.empty() ? "none" : joined(Primaries));
    if (!Group.Phase.empty())
      Text += ", failover " + Group.Phase;
    Text += "\n";
  }
  Text += "refused:\n";
  for (const std::string &Line : Report.Refused)
    Text += "  " + Line + "\n";
  if (!Report.Failures.empty())
    Text += "hosts without an answer:\n";
  for (const std::string &Line : Report.Failures)
    Text += "  " + Line + "\n";
  return Text;
}

Json jsonOf(const StatusReport &Report) {
  Json Sites = Json::object();
  for (const auto &[Zone, Site] : Report.Sites)
    Sites[Zone] = {{"hosts", Site.Hosts},
                   {"unanswered", Site.Unanswered},
                   {"versions", Site.Versions}};
  Json Groups = Json::object();
  for (const auto &[Id, Group] : Report.Groups)
    Groups[Id] = {{"term", Group.Term},
                  {"primaries", Group.Primaries},
                  {"failover", Group.Phase}};
  return {{"sites", Sites},
          {"groups", Groups},
          {"refused", Report.Refused},
          {"failures", Report.Failures}};
}

CommandOutput runStatus(const Options &Opts, PlatformCalls &Platform,
                        const CommandHooks &Hooks) {
  const auto Read = Platform.readHead();
  const auto *Failure = std::get_if<HeadReadError>(&Read);
  // Hosts serve without the store, so they are queried even if it can't be
  // reached.
  const StoredHead Stored = Failure ? StoredHead() : std::get<StoredHead>(Read);
  std::string Problem;
  const auto Targets = targetsOf(Opts, Platform, Stored.Head, Problem);
  const StatusReport Report = summarize(Hooks.ReadStatuses(Targets));

  Json Object = jsonOf(Report);
  Object["outcome"] = Failure || !Problem.empty() ? "not_reached" : "done";
  Object["version"] = Stored.Version;
  Object["latest_edit"] = nullptr;
  std::string Text;
  if (Failure) {
    Text = refuseHead(*Failure).Text;
  } else if (Stored.Head.History.empty()) {
    Text = "latest edit: none\n";
  } else {
    Text = "latest edit: " + describeEdit(Stored.Head.History.front());
    Object["latest_edit"] = jsonOf(Stored.Head.History.front());
  }
  if (!Problem.empty())
    Text += Problem + "\n";
  const bool Reached = !Failure && Problem.empty();
  return {Reached ? ExitCode::Done : ExitCode::Unreachable,
          Text + describeReport(Report), dump(Object)};
}

} // namespace

CommandOutput runCommand(const Options &Opts, PlatformCalls &Platform,
                         const CommandHooks &Hooks) {
  if (Opts.Command == "check")
    return runCheck(Opts);
  if (Opts.Command == "diff")
    return runDiff(Opts, Platform);
  if (Opts.Command == "apply")
    return runApply(Opts, Platform, Hooks);
  if (Opts.Command == "status")
    return runStatus(Opts, Platform, Hooks);
  if (Opts.Command == "history")
    return runHistory(Opts, Platform);
  return {ExitCode::Done, helpText(),
          dump({{"outcome", "done"}, {"help", helpText()}})};
}

} // namespace nutmegloom
