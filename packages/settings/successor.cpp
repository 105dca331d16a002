#include "settings/jsontext.h"
#include "settings/textformats.h"

#include <map>

namespace nutmegloom {

namespace {

/// Loads the configuration of one site. The values that are compared here are
/// the same at all sites.
std::optional<SiteConfiguration> loadAnySite(const ConfigurationHead &Head) {
  SettingsErrors Errors;
  const auto Base = parseJsonText(Head.Base, "base", Errors);
  if (!Base || !Base->is_object())
    return std::nullopt;
  const Json Sites = Base->value("sites", Json());
  if (!Sites.is_object() || Sites.empty())
    return std::nullopt;
  auto Loaded = loadSite(Head, Sites.items().begin().key());
  if (auto *Site = std::get_if<SiteSettings>(&Loaded))
    return std::move(Site->Configuration);
  return std::nullopt;
}

} // namespace

SettingsErrors checkSuccessor(const ConfigurationHead &Previous,
                              const ConfigurationHead &Next) {
  const auto Old = loadAnySite(Previous);
  const auto New = loadAnySite(Next);
  // Hosts do not apply an invalid head.
  if (!Old || !New)
    return {};
  SettingsErrors Errors;
  // Hosts apply the next version at different times. A promoter with the
  // shorter validity would not wait long enough for a host with the longer one.
  const auto Before = Old->Limits.TermValidity;
  const auto After = New->Limits.TermValidity;
  if (Before != After)
    Errors.push_back({"base", "timing.term_validity_ms",
                      "a change from " + std::to_string(Before.count()) +
                          " to " + std::to_string(After.count()) +
                          " ms is safe only while no host serves writes"});
  // A database's log belongs to its group. Session tokens and callers' URLs
  // identify a group by its number.
  std::map<DatabaseId, GroupId> Groups;
  for (const DatabaseEntity &Database : Old->Databases)
    Groups[Database.Id] = Database.Group;
  for (const DatabaseEntity &Database : New->Databases) {
    const auto Found = Groups.find(Database.Id);
    if (Found != Groups.end() && Found->second != Database.Group)
      Errors.push_back({"base", "services",
                        "the database " + quote(Database.Id) + " is in group " +
                            Found->second + " and may not move to group " +
                            Database.Group});
  }
  return Errors;
}

} // namespace nutmegloom
