#include "settings/jsontext.h"

#include "settings/textformats.h"

#include <set>

namespace nutmegloom {

namespace {

/// Bounds the recursion of the merge and of the checks for any text. Valid
/// settings have 6 levels.
constexpr int MaximumDepth = 16;

/// Finds duplicate keys and too deep nesting. Follows the events of the parser
/// to report the path of each error.
class StructureCheck {
public:
  StructureCheck(const std::string &File, SettingsErrors &Errors)
      : File_(File), Errors_(Errors) {}

  bool onEvent(int Depth, Json::parse_event_t Event, const Json &Parsed) {
    using Kind = Json::parse_event_t;
    switch (Event) {
    case Kind::object_start:
    case Kind::array_start:
      beginValue();
      if (Depth >= MaximumDepth && !TooDeep_) {
        TooDeep_ = true;
        addError(path(), "nested deeper than " + std::to_string(MaximumDepth) +
                             " levels, which no setting is");
      }
      Levels_.push_back({Event == Kind::array_start, 0, "", {}});
      return Depth < MaximumDepth;
    case Kind::object_end:
    case Kind::array_end:
      Levels_.pop_back();
      return true;
    case Kind::key:
      onKey(Parsed.get<std::string>());
      return true;
    case Kind::value:
      beginValue();
      return true;
    }
    return true;
  }

private:
  struct Level {
    bool IsArray = false;
    std::size_t Count = 0;
    std::string Key;
    std::set<std::string> Keys;
  };

  void onKey(const std::string &Key) {
    Level &Object = Levels_.back();
    Object.Key = Key;
    if (!Object.Keys.insert(Key).second)
      addError(path(), "the key " + quote(Key) +
                           " is written twice; each key may be written once");
  }

  void beginValue() {
    if (!Levels_.empty() && Levels_.back().IsArray)
      ++Levels_.back().Count;
  }

  std::string path() const {
    std::string Path;
    for (const Level &Current : Levels_)
      Path = Current.IsArray ? pathOfIndex(Path, Current.Count - 1)
                             : pathOfKey(Path, Current.Key);
    return Path;
  }

  void addError(std::string Path, std::string Message) {
    Errors_.push_back({File_, std::move(Path), std::move(Message)});
  }

  const std::string &File_;
  SettingsErrors &Errors_;
  std::vector<Level> Levels_;
  bool TooDeep_ = false;
};

/// Shortens the library's "[json.exception...] parse error at line 3, column 5:
/// ...; last read: '...'; expected ...". Removes the text that was last read,
/// because it may be a secret.
std::string describeSyntaxError(const std::string &What) {
  const std::size_t Start = What.find("] ");
  std::string Text = Start == std::string::npos ? What : What.substr(Start + 2);
  const std::size_t LastRead = Text.find("; last read: ");
  if (LastRead == std::string::npos)
    return Text;
  const std::size_t Expected = Text.rfind("; expected ");
  const std::string Rest = Expected == std::string::npos || Expected < LastRead
                               ? ""
                               : Text.substr(Expected);
  return Text.substr(0, LastRead) + Rest;
}

} // namespace

std::string pathOfKey(const std::string &Parent, const std::string &Key) {
  return Parent.empty() ? Key : Parent + "." + Key;
}

std::string pathOfIndex(const std::string &Parent, std::size_t Index) {
  return Parent + "[" + std::to_string(Index) + "]";
}

std::optional<Json> parseJsonText(const std::string &Text,
                                  const std::string &File,
                                  SettingsErrors &Errors) {
  // The parser doesn't check comments, but the whole text is stored in the
  // head, which must be valid UTF-8.
  if (!isUtf8(Text)) {
    Errors.push_back({File, "", "the text is not valid UTF-8"});
    return std::nullopt;
  }
  StructureCheck Check(File, Errors);
  try {
    return Json::parse(
        Text,
        [&Check](int Depth, Json::parse_event_t Event, Json &Parsed) {
          return Check.onEvent(Depth, Event, Parsed);
        },
        /*allow_exceptions=*/true, /*ignore_comments=*/true);
  } catch (const Json::exception &Error) {
    Errors.push_back({File, "", describeSyntaxError(Error.what())});
  }
  return std::nullopt;
}

} // namespace nutmegloom
