#include "settings/jsontext.h"
#include "settings/schema.h"

namespace nutmegloom {

namespace {

const Schema &hostSchema() {
  static const Schema Instance(hostFileSettings());
  return Instance;
}

} // namespace

std::variant<HostSettings, SettingsErrors>
parseHostSettings(const std::string &Text, const std::string &File,
                  const HostOverrides &Overrides) {
  SettingsErrors Errors;
  auto Parsed = parseJsonText(Text, File, Errors);
  if (!Parsed)
    return Errors;
  Json &Settings = *Parsed;
  for (const auto &[Key, Value] : Overrides.Values)
    if (Settings.is_object())
      Settings[Key] = Value;
  if (!Overrides.Seeds.empty() && Settings.is_object())
    Settings["seeds"] = Overrides.Seeds;
  hostSchema().check(Settings, Schema::FileKind::Complete, File, Errors);
  if (!Errors.empty())
    return Errors;
  HostSettings Host;
  Host.Name = Settings["name"].get<std::string>();
  Host.Zone = Settings["zone"].get<std::string>();
  // Each availability zone is a site of the configuration.
  Host.Site = Host.Zone;
  Host.Region = Settings["region"].get<std::string>();
  Host.CallerAddress = Settings["caller_address"].get<std::string>();
  Host.PeerAddress = Settings["peer_address"].get<std::string>();
  Host.PlatformAddress = Settings["platform_address"].get<std::string>();
  for (const Json &Seed : Settings.value("seeds", Json::array()))
    Host.Seeds.push_back(Seed.get<std::string>());
  return Host;
}

} // namespace nutmegloom
