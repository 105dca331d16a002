#include "settings/crosschecks.h"
#include "settings/merge.h"
#include "settings/schema.h"

#include <nlohmann/json.hpp>

namespace nutmegloom {

namespace {

const std::string BaseFile = "base";

const Schema &configurationSchema() {
  static const Schema Instance(configurationSettings());
  return Instance;
}

/// Parses and checks the base alone.
std::variant<Json, SettingsErrors> loadBase(const std::string &Text) {
  auto Parsed = parseJsonText(Text, BaseFile);
  if (!std::holds_alternative<Json>(Parsed))
    return Parsed;
  const Json &Base = std::get<Json>(Parsed);
  SettingsErrors Errors;
  configurationSchema().check(Base, Schema::Role::Whole, BaseFile, Errors);
  if (Errors.empty()) {
    checkContent(Base, BaseFile, Errors);
    checkTiming(Base, BaseFile, Errors);
  }
  if (!Errors.empty())
    return Errors;
  return Parsed;
}

/// Parses an overlay and checks it. Base is null if the base was refused; the
/// checks that need it are then left out.
std::variant<Json, SettingsErrors> loadOverlay(const Json *Base,
                                               const std::string &Site,
                                               const std::string &Text) {
  auto Parsed = parseJsonText(Text, Site);
  if (!std::holds_alternative<Json>(Parsed))
    return Parsed;
  const Json &Overlay = std::get<Json>(Parsed);
  SettingsErrors Errors;
  if (Base && !(*Base)["sites"].contains(Site))
    Errors.push_back({Site, "",
                      "there is no site \"" + Site +
                          "\" in the base file, so it may have no overlay"});
  configurationSchema().check(Overlay, Schema::Role::Overlay, Site, Errors);
  if (Base && Errors.empty())
    checkOverlayClasses(*Base, Overlay, Site, Errors);
  if (!Errors.empty())
    return Errors;
  return Parsed;
}

/// Merges the overlay over the base and checks times that depend on both.
std::variant<Json, SettingsErrors>
mergeSite(const Json &Base, const std::string &Site, const Json &Overlay) {
  Json Merged = Base;
  mergeInto(Merged, Overlay);
  SettingsErrors Errors;
  checkTiming(Merged, Site, Errors);
  if (!Errors.empty())
    return Errors;
  return Merged;
}

void append(SettingsErrors &Errors, const SettingsErrors &More) {
  Errors.insert(Errors.end(), More.begin(), More.end());
}

Policy makePolicy(const Json &Settings) {
  const auto Timing = [&Settings](const char *Name) {
    return Milliseconds(integerAt(Settings, "timing", Name));
  };
  Policy Limits;
  Limits.StatusInterval = Timing("status_interval_ms");
  Limits.TermValidity = Timing("term_validity_ms");
  Limits.PrimarySilence = Timing("primary_silence_ms");
  Limits.Heartbeat = Timing("heartbeat_ms");
  Limits.Suspect = Timing("suspect_ms");
  Limits.ConnectionSilence = Timing("connection_silence_ms");
  Limits.DrainTimeout = Timing("drain_timeout_ms");
  Limits.StatementTimeout = Timing("statement_timeout_ms");
  Limits.StatementTimeoutMaximum = Timing("statement_timeout_maximum_ms");
  Limits.WaitingRequests = static_cast<std::uint32_t>(
      integerAt(Settings, "limits", "waiting_requests"));
  const Json Classes = Settings.value("classes", Json::object());
  const auto DefaultWeight = defaultIntegerOf("classes.*.weight");
  for (const auto &[Name, Class] : Classes.items())
    Limits.Classes.push_back({Name, static_cast<std::uint32_t>(
                                        Class.value("weight", DefaultWeight))});
  return Limits;
}

void addGroup(Deployment &Content, const std::string &ServiceName,
              const Json &Service, std::size_t Index) {
  GroupEntity Group;
  Group.Id = ServiceName + "/" + std::to_string(Index);
  Group.Service = ServiceName;
  for (const Json &Member : Service["groups"][Index]["databases"]) {
    DatabaseEntity Database;
    Database.Id = Member["id"].get<std::string>();
    Database.Group = Group.Id;
    Database.Zone = Member["zone"].get<std::string>();
    Database.Region = Content.Zones.at(Database.Zone);
    Database.ServiceAddress = Member["service_address"].get<std::string>();
    Database.ControlAddress = Member["control_address"].get<std::string>();
    Database.Slots = Service["database_slots"].get<std::uint32_t>();
    Database.ConnectionCap =
        Service["database_connections"].get<std::uint32_t>();
    Group.Members.push_back(Database.Id);
    Content.Databases.push_back(std::move(Database));
  }
  Content.Groups.push_back(std::move(Group));
}

Deployment makeDeployment(const Json &Settings, std::uint64_t Version) {
  Deployment Content;
  Content.Version = Version;
  for (const auto &[Zone, Site] : Settings["sites"].items())
    Content.Zones[Zone] = Site["region"].get<std::string>();
  Content.RegionLatency =
      Milliseconds(integerAt(Settings, "timing", "region_latency_ms"));
  Content.Limits = makePolicy(Settings);
  for (const auto &[Name, Service] : Settings["services"].items())
    for (std::size_t Index = 0; Index < Service["groups"].size(); ++Index)
      addGroup(Content, Name, Service, Index);
  return Content;
}

SiteSettings makeSiteSettings(const Json &Settings, std::uint64_t Version) {
  const auto Limit = [&Settings](const char *Name) {
    return static_cast<std::size_t>(integerAt(Settings, "limits", Name));
  };
  SiteSettings Result;
  Result.Content = makeDeployment(Settings, Version);
  for (const Json &Key : Settings["tokens"])
    Result.TokenKeys.push_back(
        {Key["id"].get<std::string>(), Key["secret"].get<std::string>()});
  Result.HeaderBytes = Limit("header_bytes");
  Result.BodyBytes = Limit("body_bytes");
  Result.Connections = Limit("connections");
  Result.RequestReadTimeout =
      Milliseconds(integerAt(Settings, "timing", "request_read_timeout_ms"));
  const Json Hosts = Settings.value("hosts", Json::object());
  Result.LogLevel = Hosts.value("log_level", Result.LogLevel);
  Result.CallerPort =
      static_cast<std::uint16_t>(integerAt(Settings, "hosts", "caller_port"));
  return Result;
}

} // namespace

std::string describe(const SettingsError &Error) {
  std::string Text = Error.File + ": ";
  if (!Error.Path.empty())
    Text += Error.Path + ": ";
  return Text + Error.Message;
}

std::variant<SiteSettings, SettingsErrors>
loadSite(const ConfigurationHead &Head, const std::string &Site) {
  const auto Base = loadBase(Head.Base);
  if (const auto *Errors = std::get_if<SettingsErrors>(&Base))
    return *Errors;
  const Json &Whole = std::get<Json>(Base);
  if (!Whole["sites"].contains(Site))
    return SettingsErrors{
        {BaseFile, "sites", "there is no site \"" + Site + "\""}};
  const auto Text = Head.Overlays.find(Site);
  if (Text == Head.Overlays.end())
    return makeSiteSettings(Whole, Head.Version);
  const auto Overlay = loadOverlay(&Whole, Site, Text->second);
  if (const auto *Errors = std::get_if<SettingsErrors>(&Overlay))
    return *Errors;
  const auto Merged = mergeSite(Whole, Site, std::get<Json>(Overlay));
  if (const auto *Errors = std::get_if<SettingsErrors>(&Merged))
    return *Errors;
  return makeSiteSettings(std::get<Json>(Merged), Head.Version);
}

SettingsErrors checkHead(const ConfigurationHead &Head) {
  SettingsErrors Errors;
  const auto Base = loadBase(Head.Base);
  const Json *Whole = std::get_if<Json>(&Base);
  if (!Whole)
    append(Errors, std::get<SettingsErrors>(Base));
  for (const auto &[Site, Text] : Head.Overlays) {
    const auto Overlay = loadOverlay(Whole, Site, Text);
    if (const auto *More = std::get_if<SettingsErrors>(&Overlay)) {
      append(Errors, *More);
      continue;
    }
    if (!Whole)
      continue;
    const auto Merged = mergeSite(*Whole, Site, std::get<Json>(Overlay));
    if (const auto *More = std::get_if<SettingsErrors>(&Merged))
      append(Errors, *More);
  }
  return Errors;
}

} // namespace nutmegloom
