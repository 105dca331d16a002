#include "settings/jsontext.h"
#include "settings/textformats.h"

namespace nutmegloom {

namespace {

const std::string HeadFile = "head";

Json writeEdit(const ConfigurationEdit &Edit) {
  return {{"version", Edit.Version}, {"edit_id", Edit.EditId},
          {"editor", Edit.Editor},   {"edited_at", Edit.EditedAt},
          {"comment", Edit.Comment}, {"changed", Edit.Changed}};
}

/// Reads members of objects. Collects an error for each member that is missing
/// or has the wrong type.
class HeadReader {
public:
  std::string readString(const Json &Object, const std::string &Key,
                         const std::string &Path) {
    const auto Found = Object.find(Key);
    if (Found != Object.end() && Found->is_string())
      return Found->get<std::string>();
    addError(pathOfKey(Path, Key), "a string is expected");
    return "";
  }

  std::uint64_t readNumber(const Json &Object, const std::string &Key,
                           const std::string &Path) {
    const auto Found = Object.find(Key);
    if (Found != Object.end() && Found->is_number_unsigned())
      return Found->get<std::uint64_t>();
    addError(pathOfKey(Path, Key), "a non-negative integer is expected");
    return 0;
  }

  ConfigurationEdit readEdit(const Json &Object, const std::string &Path) {
    ConfigurationEdit Edit;
    if (!Object.is_object()) {
      addError(Path, "an object is expected");
      return Edit;
    }
    Edit.Version = readNumber(Object, "version", Path);
    Edit.EditId = readString(Object, "edit_id", Path);
    Edit.Editor = readString(Object, "editor", Path);
    Edit.EditedAt = readString(Object, "edited_at", Path);
    Edit.Comment = readString(Object, "comment", Path);
    const Json Changed = Object.value("changed", Json());
    if (!Changed.is_array())
      addError(pathOfKey(Path, "changed"), "an array is expected");
    for (const Json &Name : Changed) {
      if (Name.is_string())
        Edit.Changed.push_back(Name.get<std::string>());
      else
        addError(pathOfKey(Path, "changed"), "strings are expected");
    }
    return Edit;
  }

  void addError(const std::string &Path, const std::string &Message) {
    Errors.push_back({HeadFile, Path, Message});
  }

  SettingsErrors Errors;
};

} // namespace

std::variant<ConfigurationHead, SettingsErrors>
parseHead(const std::string &Text) {
  HeadReader Reader;
  const auto Parsed = parseJsonText(Text, HeadFile, Reader.Errors);
  if (!Parsed || !Parsed->is_object()) {
    if (Parsed)
      Reader.addError("", "an object is expected");
    return Reader.Errors;
  }
  const Json &Object = *Parsed;
  ConfigurationHead Head;
  Head.Version = Reader.readNumber(Object, "version", "");
  Head.EditId = Reader.readString(Object, "edit_id", "");
  Head.Base = Reader.readString(Object, "base", "");
  const Json Overlays = Object.value("overlays", Json());
  if (Overlays.is_object()) {
    for (const auto &[Site, Overlay] : Overlays.items())
      Head.Overlays[Site] = Reader.readString(Overlays, Site, "overlays");
  } else {
    Reader.addError("overlays", "an object is expected");
  }
  const Json History = Object.value("history", Json());
  if (History.is_array()) {
    for (std::size_t Index = 0; Index < History.size(); ++Index)
      Head.History.push_back(
          Reader.readEdit(History[Index], pathOfIndex("history", Index)));
  } else {
    Reader.addError("history", "an array is expected");
  }
  if (!Reader.Errors.empty())
    return Reader.Errors;
  return Head;
}

std::string serializeHead(const ConfigurationHead &Head) {
  const ConfigurationEdit Latest =
      Head.History.empty() ? ConfigurationEdit() : Head.History.front();
  Json Object{{"version", Head.Version},    {"edit_id", Head.EditId},
              {"editor", Latest.Editor},    {"edited_at", Latest.EditedAt},
              {"comment", Latest.Comment},  {"base", Head.Base},
              {"overlays", Json::object()}, {"history", Json::array()}};
  for (const auto &[Site, Text] : Head.Overlays)
    Object["overlays"][Site] = Text;
  for (const ConfigurationEdit &Edit : Head.History)
    Object["history"].push_back(writeEdit(Edit));
  // The checks reject text that is not UTF-8. It must not throw here, so it is
  // replaced.
  return Object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace nutmegloom
