#include "settings/schema.h"

#include "settings/textformats.h"

#include <algorithm>

namespace nutmegloom {

struct Schema::Node {
  /// Children by name. A single child "*" matches any name, a single child "[]"
  /// the elements of an array.
  std::vector<std::pair<std::string, std::unique_ptr<Node>>> Children;
  /// Null for an object or an array.
  const SettingRule *Rule = nullptr;

  Node *find(std::string_view Name) const {
    for (const auto &[Key, Child] : Children)
      if (Key == Name)
        return Child.get();
    return nullptr;
  }
  Node &add(std::string_view Name) {
    if (Node *Child = find(Name))
      return *Child;
    Children.emplace_back(Name, std::make_unique<Node>());
    return *Children.back().second;
  }
  bool isRequired() const {
    if (Rule)
      return Rule->Default.empty();
    return std::any_of(Children.begin(), Children.end(), [](const auto &Child) {
      return Child.second->isRequired();
    });
  }
  bool isOverlayAllowed() const {
    if (Rule)
      return Rule->OverlayAllowed;
    return std::any_of(Children.begin(), Children.end(), [](const auto &Child) {
      return Child.second->isOverlayAllowed();
    });
  }
};

namespace {

std::vector<std::string> splitPath(std::string_view Path) {
  std::vector<std::string> Parts;
  std::size_t Start = 0;
  while (Start < Path.size()) {
    if (Path.substr(Start, 2) == "[]") {
      Parts.emplace_back("[]");
      Start += 2;
    } else {
      const std::size_t End =
          std::min(Path.find_first_of(".[", Start), Path.size());
      Parts.emplace_back(Path.substr(Start, End - Start));
      Start = End;
    }
    if (Start < Path.size() && Path[Start] == '.')
      ++Start;
  }
  return Parts;
}

std::string describeValue(const Json &Value) {
  if (Value.is_object())
    return "an object";
  if (Value.is_array())
    return "an array";
  if (Value.is_string())
    return quote(Value.get<std::string>());
  return Value.dump();
}

std::string allowedValues(const SettingRule &Rule) {
  switch (Rule.Type) {
  case SettingType::Integer: {
    std::string Text = "allowed are whole numbers from " +
                       std::to_string(Rule.Minimum) + " to " +
                       std::to_string(Rule.Maximum);
    return Rule.Unit.empty() ? Text : Text + " " + std::string(Rule.Unit);
  }
  case SettingType::Name:
    return "allowed are 1 to 64 letters, digits, '.', '_' and '-' that start "
           "with a letter or a digit";
  case SettingType::Address:
    return "allowed is \"IP:port\" with an IPv4 address and a port from 1 to "
           "65535, as in "
           "\"127.0.0.1:8080\"";
  case SettingType::Secret:
    return "allowed are texts of " + std::to_string(Rule.Minimum) + " to " +
           std::to_string(Rule.Maximum) + " bytes";
  case SettingType::LogLevel: {
    std::string Text = "allowed are";
    for (const std::string_view Level : logLevels())
      Text += " \"" + std::string(Level) + "\"";
    return Text;
  }
  }
  return "";
}

bool isInteger(const Json &Value, std::int64_t Minimum, std::int64_t Maximum) {
  if (Value.is_number_unsigned())
    return Value.get<std::uint64_t>() <= static_cast<std::uint64_t>(Maximum) &&
           Value.get<std::uint64_t>() >= static_cast<std::uint64_t>(Minimum);
  return Value.is_number_integer() && Value.get<std::int64_t>() >= Minimum &&
         Value.get<std::int64_t>() <= Maximum;
}

bool isAllowed(const Json &Value, const SettingRule &Rule) {
  if (Rule.Type == SettingType::Integer)
    return isInteger(Value, Rule.Minimum, Rule.Maximum);
  if (!Value.is_string())
    return false;
  const auto &Text = Value.get_ref<const std::string &>();
  switch (Rule.Type) {
  case SettingType::Integer:
    return false;
  case SettingType::Name:
    return isName(Text);
  case SettingType::Address:
    return canonicalAddress(Text).has_value();
  case SettingType::Secret:
    return Text.size() >= static_cast<std::size_t>(Rule.Minimum) &&
           Text.size() <= static_cast<std::size_t>(Rule.Maximum);
  case SettingType::LogLevel:
    return std::find(logLevels().begin(), logLevels().end(), Text) !=
           logLevels().end();
  }
  return false;
}

/// Describes why a value is not allowed. Never includes the text of a secret.
std::string rejectionMessage(const Json &Value, const SettingRule &Rule) {
  if (Rule.Type != SettingType::Secret)
    return describeValue(Value) + " is not allowed; " + allowedValues(Rule);
  if (!Value.is_string())
    return "the value is not text; " + allowedValues(Rule);
  return "the text has " +
         std::to_string(Value.get_ref<const std::string &>().size()) +
         " bytes; " + allowedValues(Rule);
}

} // namespace

struct Schema::Validator {
  FileKind Kind;
  const std::string &File;
  SettingsErrors &Errors;

  void addError(const std::string &Path, std::string Message) const {
    Errors.push_back({File, Path, std::move(Message)});
  }

  void check(const Json &Value, const Node &Current,
             const std::string &Path) const {
    if (Kind == FileKind::Overlay && !Current.isOverlayAllowed()) {
      addError(Path, "an overlay may not change this; change it in the base "
                     "file");
      return;
    }
    if (Current.Rule) {
      if (!isAllowed(Value, *Current.Rule))
        addError(Path, rejectionMessage(Value, *Current.Rule));
      return;
    }
    if (const Node *Element = Current.find("[]"))
      checkArray(Value, *Element, Path);
    else
      checkObject(Value, Current, Path);
  }

  void checkArray(const Json &Value, const Node &Element,
                  const std::string &Path) const {
    if (!Value.is_array()) {
      addError(Path,
               describeValue(Value) + " is not allowed; an array is expected");
      return;
    }
    for (std::size_t Index = 0; Index < Value.size(); ++Index)
      check(Value[Index], Element, pathOfIndex(Path, Index));
  }

  void checkObject(const Json &Value, const Node &Current,
                   const std::string &Path) const {
    if (!Value.is_object()) {
      addError(Path,
               describeValue(Value) + " is not allowed; an object is expected");
      return;
    }
    if (const Node *Wildcard = Current.find("*")) {
      for (const auto &[Key, Child] : Value.items()) {
        if (!isName(Key))
          addError(
              pathOfKey(Path, Key),
              "the name " + quote(Key) + " is not allowed; " +
                  allowedValues({"", SettingType::Name, "", "", 0, 0, false}));
        check(Child, *Wildcard, pathOfKey(Path, Key));
      }
      return;
    }
    for (const auto &[Key, Child] : Value.items()) {
      if (const Node *Known = Current.find(Key))
        check(Child, *Known, pathOfKey(Path, Key));
      else
        addError(pathOfKey(Path, Key), "the name " + quote(Key) +
                                           " is unknown; allowed are" +
                                           quotedNames(Current));
    }
    if (Kind == FileKind::Overlay)
      return;
    for (const auto &[Key, Child] : Current.Children)
      if (Child->isRequired() && !Value.contains(Key))
        addError(pathOfKey(Path, Key),
                 Child->Rule
                     ? "the setting is missing; " + allowedValues(*Child->Rule)
                     : "the setting is missing");
  }

  std::string quotedNames(const Node &Current) const {
    std::string Names;
    for (const auto &[Key, Child] : Current.Children)
      if (Kind == FileKind::Complete || Child->isOverlayAllowed())
        Names += " \"" + Key + "\"";
    return Names;
  }
};

Schema::Schema(const std::vector<SettingRule> &Rules)
    : Root_(std::make_unique<Node>()) {
  for (const SettingRule &Rule : Rules) {
    Node *Current = Root_.get();
    for (const std::string &Step : splitPath(Rule.Path))
      Current = &Current->add(Step);
    Current->Rule = &Rule;
  }
}

Schema::~Schema() = default;

void Schema::check(const Json &Value, FileKind Kind, const std::string &File,
                   SettingsErrors &Errors) const {
  Validator{Kind, File, Errors}.check(Value, *Root_, "");
}

} // namespace nutmegloom
