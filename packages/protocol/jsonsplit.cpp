#include "protocol/jsonsplit.h"

#include <nlohmann/json.hpp>

#include <array>

namespace nutmegloom {

namespace {

/// The JSON library copies and prints values by recursion, so deep nesting
/// would exhaust the stack.
constexpr std::size_t MaximumDepth = 32;

constexpr std::string_view WhiteSpace = " \t\r\n";
constexpr std::string_view ScalarEnd = " \t\r\n,]}";

constexpr std::array<std::string_view, 3> DefectNames{
    "the text is too long", "the nesting is too deep",
    "the text is not valid JSON"};

/// Reads a JSON text up to the end of each value without recursion.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : Text_(Text) { skipWhiteSpace(); }

  /// Consumes the character, and white space after it, if it comes next.
  bool accept(char Expected) {
    if (At_ >= Text_.size() || Text_[At_] != Expected)
      return false;
    ++At_;
    skipWhiteSpace();
    return true;
  }

  bool atEnd() const { return At_ >= Text_.size(); }

  /// Consumes a string and returns it with its quotes.
  std::optional<std::string_view> readString() {
    if (atEnd() || Text_[At_] != '"')
      return std::nullopt;
    return readValue();
  }

  /// Consumes a value. Returns nullopt if it is empty or doesn't end.
  std::optional<std::string_view> readValue() {
    std::size_t Begin = At_;
    std::size_t Depth = 0;
    do {
      if (atEnd() || !skipToken(Depth))
        return std::nullopt;
    } while (Depth > 0);
    if (At_ == Begin)
      return std::nullopt;
    std::string_view Value = Text_.substr(Begin, At_ - Begin);
    skipWhiteSpace();
    return Value;
  }

private:
  /// Skips a string, a bracket, or the text up to one of them or to the end of
  /// a scalar. Returns false if a string doesn't end.
  bool skipToken(std::size_t &Depth) {
    char Next = Text_[At_];
    if (Next == '"')
      return skipString();
    if (Next == '[' || Next == '{') {
      ++Depth;
      ++At_;
      return true;
    }
    if (Depth > 0) {
      Depth -= Next == ']' || Next == '}' ? 1 : 0;
      ++At_;
      return true;
    }
    At_ = std::min(Text_.find_first_of(ScalarEnd, At_), Text_.size());
    return true;
  }

  bool skipString() {
    for (++At_; At_ < Text_.size(); ++At_) {
      if (Text_[At_] == '\\')
        ++At_;
      else if (Text_[At_] == '"') {
        ++At_;
        return true;
      }
    }
    return false;
  }

  void skipWhiteSpace() {
    At_ = std::min(Text_.find_first_not_of(WhiteSpace, At_), Text_.size());
  }

  std::string_view Text_;
  std::size_t At_ = 0;
};

/// Deepest nesting of the brackets outside of strings.
std::size_t depthOf(std::string_view Text) {
  std::size_t Depth = 0;
  std::size_t Deepest = 0;
  bool InString = false;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    char Next = Text[At];
    if (InString && Next == '\\')
      ++At;
    else if (Next == '"')
      InString = !InString;
    else if (!InString && (Next == '[' || Next == '{'))
      Deepest = std::max(Deepest, ++Depth);
    else if (!InString && (Next == ']' || Next == '}') && Depth > 0)
      --Depth;
  }
  return Deepest;
}

} // namespace

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view Text) {
  Scanner Input(Text);
  std::vector<JsonMember> Members;
  if (!Input.accept('{'))
    return std::nullopt;
  if (Input.accept('}'))
    return Input.atEnd() ? std::optional(Members) : std::nullopt;
  do {
    std::optional<std::string_view> Key = Input.readString();
    if (!Key || !Input.accept(':'))
      return std::nullopt;
    std::optional<std::string_view> Value = Input.readValue();
    if (!Value)
      return std::nullopt;
    Members.push_back({Key->substr(1, Key->size() - 2), *Value});
  } while (Input.accept(','));
  if (!Input.accept('}') || !Input.atEnd())
    return std::nullopt;
  return Members;
}

std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view Text) {
  Scanner Input(Text);
  std::vector<std::string_view> Elements;
  if (!Input.accept('['))
    return std::nullopt;
  if (Input.accept(']'))
    return Input.atEnd() ? std::optional(Elements) : std::nullopt;
  do {
    std::optional<std::string_view> Element = Input.readValue();
    if (!Element)
      return std::nullopt;
    Elements.push_back(*Element);
  } while (Input.accept(','));
  if (!Input.accept(']') || !Input.atEnd())
    return std::nullopt;
  return Elements;
}

std::string_view valueOf(const std::vector<JsonMember> &Members,
                         std::string_view Key) {
  for (const JsonMember &Member : Members)
    if (Member.Key == Key)
      return Member.Value;
  return {};
}

std::string_view nameOf(JsonDefect Defect) {
  return DefectNames[static_cast<std::size_t>(Defect)];
}

std::variant<nlohmann::json, JsonDefect>
parseUntrustedJson(std::string_view Text, std::size_t MaximumBytes) {
  if (Text.size() > MaximumBytes)
    return JsonDefect::TooLong;
  if (depthOf(Text) > MaximumDepth)
    return JsonDefect::TooDeep;
  nlohmann::json Parsed = nlohmann::json::parse(Text, nullptr, false);
  if (Parsed.is_discarded())
    return JsonDefect::Malformed;
  return Parsed;
}

} // namespace nutmegloom
