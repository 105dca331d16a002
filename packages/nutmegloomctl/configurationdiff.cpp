#include "nutmegloomctl/configurationdiff.h"

#include "settings/jsontext.h"

#include <algorithm>

namespace nutmegloom {

namespace {

class Comparison {
public:
  Comparison(std::string File, std::vector<SettingChange> &Changes)
      : File_(std::move(File)), Changes_(Changes) {}

  void compare(const Json *Before, const Json *After, const std::string &Path) {
    if (Before && After && *Before == *After)
      return;
    const Json *Sample = After ? After : Before;
    if (Sample->is_object() && haveSameType(Before, After)) {
      compareObjects(Before, After, Path);
      return;
    }
    if (Sample->is_array() && haveSameType(Before, After)) {
      compareArrays(Before, After, Path);
      return;
    }
    Changes_.push_back(
        {File_, Path, formatValue(Before, Path), formatValue(After, Path)});
  }

private:
  static bool haveSameType(const Json *Before, const Json *After) {
    return !Before || !After || Before->type() == After->type();
  }

  static const Json *memberOf(const Json *Object, const std::string &Key) {
    if (!Object)
      return nullptr;
    const auto Found = Object->find(Key);
    return Found == Object->end() ? nullptr : &*Found;
  }

  static const Json *elementOf(const Json *Array, std::size_t Index) {
    return Array && Index < Array->size() ? &(*Array)[Index] : nullptr;
  }

  void compareObjects(const Json *Before, const Json *After,
                      const std::string &Path) {
    std::vector<std::string> Keys;
    for (const Json *Object : {Before, After}) {
      if (!Object)
        continue;
      for (const auto &[Key, Value] : Object->items())
        if (std::find(Keys.begin(), Keys.end(), Key) == Keys.end())
          Keys.push_back(Key);
    }
    for (const std::string &Key : Keys)
      compare(memberOf(Before, Key), memberOf(After, Key),
              pathOfKey(Path, Key));
  }

  void compareArrays(const Json *Before, const Json *After,
                     const std::string &Path) {
    const std::size_t Size =
        std::max(Before ? Before->size() : 0, After ? After->size() : 0);
    for (std::size_t Index = 0; Index < Size; ++Index)
      compare(elementOf(Before, Index), elementOf(After, Index),
              pathOfIndex(Path, Index));
  }

  static std::string formatValue(const Json *Value, const std::string &Path) {
    if (!Value)
      return "";
    // Of the tokens only key ids are shown, even if the tokens are malformed.
    if (Path.starts_with("tokens") && !Path.ends_with(".id"))
      return "(hidden)";
    return Value->dump();
  }

  std::string File_;
  std::vector<SettingChange> &Changes_;
};

/// Parses the text. An absent file has an empty text and is parsed as an empty
/// object.
std::optional<Json> parseFile(const std::string &Text, const std::string &File,
                              SettingsErrors &Errors) {
  if (Text.empty())
    return Json::object();
  return parseJsonText(Text, File, Errors);
}

void compareFile(const std::string &Before, const std::string &After,
                 const std::string &File, std::vector<SettingChange> &Changes,
                 SettingsErrors &Errors) {
  if (Before == After)
    return;
  const auto Old = parseFile(Before, "head: " + File, Errors);
  const auto New = parseFile(After, File, Errors);
  if (!Old || !New)
    return;
  const std::size_t Count = Changes.size();
  Comparison(File, Changes).compare(&*Old, &*New, "");
  if (Changes.size() == Count)
    Changes.push_back({File, "", "", ""});
}

} // namespace

std::variant<std::vector<SettingChange>, SettingsErrors>
compareConfiguration(const ConfigurationHead &Head,
                     const ConfigurationFiles &Files) {
  std::vector<SettingChange> Changes;
  SettingsErrors Errors;
  if (Files.Base)
    compareFile(Head.Base, *Files.Base, "base", Changes, Errors);
  for (const auto &[Site, Text] : Files.Overlays) {
    const auto Present = Head.Overlays.find(Site);
    compareFile(Present == Head.Overlays.end() ? "" : Present->second, Text,
                Site, Changes, Errors);
  }
  if (!Errors.empty())
    return withPaths(Errors, Files);
  return Changes;
}

} // namespace nutmegloom
