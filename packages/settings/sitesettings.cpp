#include "settings/crosschecks.h"
#include "settings/merge.h"
#include "settings/schema.h"

namespace nutmegloom {

namespace {

const std::string BaseFile = "base";

const Schema &configurationSchema() {
  static const Schema Instance(configurationSettings());
  return Instance;
}

/// A parsed file with its errors. Has no value if the text could not be parsed.
struct CheckedFile {
  std::optional<Json> Value;
  SettingsErrors Errors;
};

/// Parses the base and checks it without overlays.
CheckedFile loadBase(const std::string &Text) {
  CheckedFile File;
  File.Value = parseJsonText(Text, BaseFile, File.Errors);
  if (!File.Value)
    return File;
  configurationSchema().check(*File.Value, Schema::FileKind::Complete, BaseFile,
                              File.Errors);
  // The checks of several values rely on correct types.
  if (File.Errors.empty()) {
    checkBase(*File.Value, BaseFile, File.Errors);
    checkTiming(*File.Value, BaseFile, File.Errors);
  }
  return File;
}

/// Parses an overlay and checks it against a base, which may be invalid.
CheckedFile loadOverlay(const std::optional<Json> &Base,
                        const std::string &Site, const std::string &Text) {
  CheckedFile File;
  if (Base)
    checkSiteExists(*Base, Site, File.Errors);
  File.Value = parseJsonText(Text, Site, File.Errors);
  if (!File.Value)
    return File;
  configurationSchema().check(*File.Value, Schema::FileKind::Overlay, Site,
                              File.Errors);
  if (Base)
    checkOverlayClasses(*Base, *File.Value, Site, File.Errors);
  return File;
}

/// Merges an overlay into the base and checks time settings that depend on
/// both.
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
    return Milliseconds(integerSetting(Settings, "timing", Name));
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
      integerSetting(Settings, "limits", "waiting_requests"));
  const Json Classes = Settings.value("classes", Json::object());
  const auto DefaultWeight = defaultIntegerOf("classes.*.weight");
  for (const auto &[Name, Class] : Classes.items())
    Limits.Classes.push_back({Name, static_cast<std::uint32_t>(
                                        Class.value("weight", DefaultWeight))});
  return Limits;
}

void addGroup(SiteConfiguration &Configuration, const std::string &ServiceName,
              const Json &Service, std::size_t Index) {
  GroupEntity Group;
  Group.Id = ServiceName + "/" + std::to_string(Index);
  Group.Service = ServiceName;
  for (const Json &Member : Service["groups"][Index]["databases"]) {
    DatabaseEntity Database;
    Database.Id = Member["id"].get<std::string>();
    Database.Group = Group.Id;
    Database.Zone = Member["zone"].get<std::string>();
    Database.Region = Configuration.Zones.at(Database.Zone);
    Database.ServiceAddress = Member["service_address"].get<std::string>();
    Database.ControlAddress = Member["control_address"].get<std::string>();
    Database.Slots = Service["database_slots"].get<std::uint32_t>();
    Database.ConnectionCap =
        Service["database_connections"].get<std::uint32_t>();
    Group.Members.push_back(Database.Id);
    Configuration.Databases.push_back(std::move(Database));
  }
  Configuration.Groups.push_back(std::move(Group));
}

SiteConfiguration makeSiteConfiguration(const Json &Settings,
                                        std::uint64_t Version) {
  SiteConfiguration Configuration;
  Configuration.Version = Version;
  for (const auto &[Zone, Site] : Settings["sites"].items())
    Configuration.Zones[Zone] = Site["region"].get<std::string>();
  Configuration.RegionLatency =
      Milliseconds(integerSetting(Settings, "timing", "region_latency_ms"));
  Configuration.Limits = makePolicy(Settings);
  for (const auto &[Name, Service] : Settings["services"].items())
    for (std::size_t Index = 0; Index < Service["groups"].size(); ++Index)
      addGroup(Configuration, Name, Service, Index);
  return Configuration;
}

SiteSettings makeSiteSettings(const Json &Settings, std::uint64_t Version) {
  const auto Limit = [&Settings](const char *Name) {
    return static_cast<std::size_t>(integerSetting(Settings, "limits", Name));
  };
  SiteSettings Result;
  Result.Configuration = makeSiteConfiguration(Settings, Version);
  for (const Json &Key : Settings["tokens"])
    Result.TokenKeys.push_back(
        {Key["id"].get<std::string>(), Key["secret"].get<std::string>()});
  Result.HeaderBytes = Limit("header_bytes");
  Result.BodyBytes = Limit("body_bytes");
  Result.Connections = Limit("connections");
  Result.RequestReadTimeout = Milliseconds(
      integerSetting(Settings, "timing", "request_read_timeout_ms"));
  const Json Hosts = Settings.value("hosts", Json::object());
  Result.LogLevel = Hosts.value("log_level", Result.LogLevel);
  Result.CallerPort = static_cast<std::uint16_t>(
      integerSetting(Settings, "hosts", "caller_port"));
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
  const CheckedFile Base = loadBase(Head.Base);
  if (!Base.Errors.empty())
    return Base.Errors;
  SettingsErrors Errors;
  checkSiteExists(*Base.Value, Site, Errors);
  if (!Errors.empty())
    return Errors;
  const auto Text = Head.Overlays.find(Site);
  if (Text == Head.Overlays.end())
    return makeSiteSettings(*Base.Value, Head.Version);
  const CheckedFile Overlay = loadOverlay(Base.Value, Site, Text->second);
  if (!Overlay.Errors.empty())
    return Overlay.Errors;
  const auto Merged = mergeSite(*Base.Value, Site, *Overlay.Value);
  if (const auto *More = std::get_if<SettingsErrors>(&Merged))
    return *More;
  return makeSiteSettings(std::get<Json>(Merged), Head.Version);
}

SettingsErrors checkHead(const ConfigurationHead &Head) {
  const CheckedFile Base = loadBase(Head.Base);
  SettingsErrors Errors = Base.Errors;
  for (const auto &[Site, Text] : Head.Overlays) {
    const CheckedFile Overlay = loadOverlay(Base.Value, Site, Text);
    append(Errors, Overlay.Errors);
    if (!Base.Errors.empty() || !Overlay.Errors.empty())
      continue;
    const auto Merged = mergeSite(*Base.Value, Site, *Overlay.Value);
    if (const auto *More = std::get_if<SettingsErrors>(&Merged))
      append(Errors, *More);
  }
  return Errors;
}

} // namespace nutmegloom
