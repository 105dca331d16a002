#ifndef NUTMEGLOOM_PROTOCOL_JSONSPLIT_H
#define NUTMEGLOOM_PROTOCOL_JSONSPLIT_H

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace nutmegloom {

/// Member of a JSON object. Both texts are parts of the input; the key has no
/// quotes, and its escape sequences are kept.
struct JsonMember {
  std::string_view Key;
  std::string_view Value;
};

/// Splits the text of a JSON object into its members. The values are not
/// parsed, so one that can't be parsed does not affect the others. Returns
/// nullopt if the text is not delimited as an object.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view Text);

/// Splits the text of a JSON array into its elements, as splitJsonObject does.
std::optional<std::vector<std::string_view>>
splitJsonArray(std::string_view Text);

/// Returns the text of the first member with the key; empty if there is none.
std::string_view valueOf(const std::vector<JsonMember> &Members,
                         std::string_view Key);

/// Reason for which parseUntrustedJson() rejects a text.
enum class JsonDefect { TooLong, TooDeep, Malformed };
std::string_view nameOf(JsonDefect Defect);

/// Parses JSON that another program wrote. Texts that are longer than
/// MaximumBytes or nested too deeply are rejected before they are parsed.
std::variant<nlohmann::json, JsonDefect>
parseUntrustedJson(std::string_view Text, std::size_t MaximumBytes);

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_JSONSPLIT_H
