#include "settings/crosschecks.h"

#include "settings/settingstable.h"
#include "settings/textformats.h"

#include <map>

namespace nutmegloom {

namespace {

constexpr std::size_t MaximumTokenKeys = 8;
/// In a larger group, the additional round trips of a majority cost each write
/// more than the group gains in safety.
constexpr std::size_t MaximumMembers = 9;

std::string milliseconds(std::int64_t Value) {
  return std::to_string(Value) + " ms";
}

std::string quotedNames(const Json &Object) {
  std::string Names;
  for (const auto &[Key, Value] : Object.items())
    Names += " \"" + Key + "\"";
  return Names;
}

/// Returns the member if it is an object, otherwise an empty object.
Json objectMember(const Json &Object, const std::string &Key) {
  if (!Object.is_object())
    return Json::object();
  const auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_object() ? *Found : Json::object();
}

/// Checks the base file. Remembers the paths of values that must be unique.
class BaseCheck {
public:
  BaseCheck(const Json &Base, const std::string &File, SettingsErrors &Errors)
      : Base_(Base), File_(File), Errors_(Errors) {}

  void run() {
    if (Base_["sites"].empty())
      addError("sites", "there is no site; at least one is needed");
    if (Base_["services"].empty())
      addError("services", "there is no service; at least one is needed");
    for (const auto &[Name, Service] : Base_["services"].items())
      checkService(Service, pathOfKey("services", Name));
    checkTokens();
  }

private:
  void addError(std::string Path, std::string Message) {
    Errors_.push_back({File_, std::move(Path), std::move(Message)});
  }

  void checkUnique(std::map<std::string, std::string> &FirstPaths,
                   const std::string &ValueName, const std::string &Value,
                   const std::string &Path) {
    const auto [First, Inserted] = FirstPaths.emplace(Value, Path);
    if (!Inserted)
      addError(Path, "the " + ValueName + " " + quote(Value) +
                         " is already at " + First->second + "; each " +
                         ValueName + " may be used once");
  }

  void checkService(const Json &Service, const std::string &Path) {
    const Json &Groups = Service["groups"];
    if (Groups.empty())
      addError(pathOfKey(Path, "groups"),
               "there is no group; at least one is needed");
    for (std::size_t Index = 0; Index < Groups.size(); ++Index)
      checkGroup(Groups[Index], pathOfIndex(pathOfKey(Path, "groups"), Index));
  }

  void checkGroup(const Json &Group, const std::string &Path) {
    const Json &Databases = Group["databases"];
    const std::string ListPath = pathOfKey(Path, "databases");
    if (Databases.empty() || Databases.size() > MaximumMembers)
      addError(ListPath, "the group has " + std::to_string(Databases.size()) +
                             " databases; allowed are 1 to " +
                             std::to_string(MaximumMembers));
    for (std::size_t Index = 0; Index < Databases.size(); ++Index)
      checkDatabase(Databases[Index], pathOfIndex(ListPath, Index));
  }

  void checkDatabase(const Json &Database, const std::string &Path) {
    checkUnique(DatabaseIds_, "database id", Database["id"].get<std::string>(),
                pathOfKey(Path, "id"));
    const auto &Zone = Database["zone"].get_ref<const std::string &>();
    if (!Base_["sites"].contains(Zone))
      addError(pathOfKey(Path, "zone"), "the zone " + quote(Zone) +
                                            " is not a site; allowed are" +
                                            quotedNames(Base_["sites"]));
    for (const char *Key : {"service_address", "control_address"}) {
      const auto Address = canonicalAddress(Database[Key].get<std::string>());
      if (Address)
        checkUnique(Addresses_, "address", *Address, pathOfKey(Path, Key));
    }
  }

  void checkTokens() {
    const Json &Tokens = Base_["tokens"];
    if (Tokens.empty() || Tokens.size() > MaximumTokenKeys)
      addError("tokens", "there are " + std::to_string(Tokens.size()) +
                             " keys; allowed are 1 to " +
                             std::to_string(MaximumTokenKeys));
    std::map<std::string, std::string> Ids;
    for (std::size_t Index = 0; Index < Tokens.size(); ++Index)
      checkUnique(Ids, "key id", Tokens[Index]["id"].get<std::string>(),
                  pathOfKey(pathOfIndex("tokens", Index), "id"));
  }

  const Json &Base_;
  const std::string &File_;
  SettingsErrors &Errors_;
  std::map<std::string, std::string> DatabaseIds_;
  std::map<std::string, std::string> Addresses_;
};

} // namespace

void checkBase(const Json &Base, const std::string &File,
               SettingsErrors &Errors) {
  BaseCheck(Base, File, Errors).run();
}

void checkTiming(const Json &Merged, const std::string &File,
                 SettingsErrors &Errors) {
  const auto Timing = [&Merged](const char *Name) {
    return integerSetting(Merged, "timing", Name);
  };
  const auto RequireAtLeast = [&](const char *Name, std::int64_t Minimum,
                                  const std::string &Reason) {
    if (Timing(Name) < Minimum)
      Errors.push_back({File, pathOfKey("timing", Name),
                        milliseconds(Timing(Name)) +
                            " is not allowed; it must be at least " +
                            milliseconds(Minimum) + ", " + Reason});
  };

  // The age of a report counts from the time its request was sent. The report
  // arrives up to one interval and one round trip later, and the next report
  // takes as long again. A shorter validity would expire between two reports of
  // a healthy member.
  const std::int64_t ReportPeriod =
      Timing("status_interval_ms") + 2 * Timing("region_latency_ms");
  RequireAtLeast("term_validity_ms", 2 * ReportPeriod,
                 "twice the sum of status_interval_ms and the round trip "
                 "between regions");
  RequireAtLeast("primary_silence_ms", 2 * ReportPeriod,
                 "twice the sum of status_interval_ms and the round trip "
                 "between regions");
  RequireAtLeast("suspect_ms", 2 * Timing("heartbeat_ms"),
                 "twice heartbeat_ms");
  RequireAtLeast("statement_timeout_maximum_ms", Timing("statement_timeout_ms"),
                 "the value of statement_timeout_ms");
  RequireAtLeast("drain_timeout_ms", Timing("statement_timeout_maximum_ms"),
                 "the value of statement_timeout_maximum_ms, so that a planned "
                 "stop cuts no request");
}

void checkSiteExists(const Json &Base, const std::string &Site,
                     SettingsErrors &Errors) {
  const Json Sites = objectMember(Base, "sites");
  if (!Sites.contains(Site))
    Errors.push_back({Site, "",
                      "the base file has no site " + quote(Site) +
                          "; allowed are" + quotedNames(Sites)});
}

void checkOverlayClasses(const Json &Base, const Json &Overlay,
                         const std::string &File, SettingsErrors &Errors) {
  const Json Known = objectMember(Base, "classes");
  const Json Used = objectMember(Overlay, "classes");
  for (const auto &[Name, Value] : Used.items())
    if (!Known.contains(Name))
      Errors.push_back({File, pathOfKey("classes", Name),
                        "the class " + quote(Name) +
                            " is not in the base file; allowed are" +
                            quotedNames(Known)});
}

std::int64_t integerSetting(const Json &Settings, const std::string &Section,
                            const std::string &Name) {
  const auto Found = Settings.find(Section);
  if (Found != Settings.end() && Found->contains(Name))
    return (*Found)[Name].get<std::int64_t>();
  return defaultIntegerOf(pathOfKey(Section, Name));
}

} // namespace nutmegloom
