#include "testing/standindatabase/keyvaluestore.h"

#include <nlohmann/json.hpp>

namespace nutmegloom::testing {

using nlohmann::json;

static const std::string AbsentValue = "null";
static constexpr std::size_t DefaultScanLimit = 1000;

const std::string &KeyValueStore::get(const std::string &Key) const {
  const auto Found = Values_.find(Key);
  return Found == Values_.end() ? AbsentValue : Found->second.Value;
}

std::uint64_t KeyValueStore::lastChangeIndex(const std::string &Key) const {
  const auto Found = Values_.find(Key);
  return Found == Values_.end() ? 0 : Found->second.Index;
}

void KeyValueStore::set(const std::string &Key, const std::string &Value,
                        std::uint64_t Index) {
  Values_[Key] = {Value, Index};
}

std::vector<std::pair<std::string, std::string>>
KeyValueStore::scan(const std::string &Prefix, std::size_t Limit) const {
  std::vector<std::pair<std::string, std::string>> Found;
  for (auto Entry = Values_.lower_bound(Prefix);
       Entry != Values_.end() && Entry->first.starts_with(Prefix) &&
       Found.size() < Limit;
       ++Entry)
    Found.emplace_back(Entry->first, Entry->second.Value);
  return Found;
}

std::string StatementView::get(const std::string &Key) {
  const auto Pending = Effects_.find(Key);
  if (Pending != Effects_.end())
    return Pending->second;
  Reads_.try_emplace(Key, Data_.lastChangeIndex(Key));
  return Data_.get(Key);
}

std::variant<std::string, StatementView::Failed>
StatementView::execute(const json &Body) {
  try {
    const std::string Operation = Body.at("op").get<std::string>();
    if (Operation == "scan") {
      json Result = json::object();
      const std::string Prefix = Body.value("prefix", "");
      const std::size_t Limit = Body.value("limit", DefaultScanLimit);
      for (const auto &[Key, Value] : Data_.scan(Prefix, Limit))
        Result[Key] = json::parse(get(Key));
      for (const auto &[Key, Value] : Effects_)
        if (Key.starts_with(Prefix) && Result.size() < Limit)
          Result[Key] = json::parse(Value);
      return Result.dump();
    }
    const std::string Key = Body.at("key").get<std::string>();
    if (Operation == "get")
      return get(Key);
    const json &Value = Body.at("value");
    if (Operation == "put") {
      Effects_[Key] = Value.dump();
      return AbsentValue;
    }
    json Current = json::parse(get(Key));
    if (Operation == "put_if_absent") {
      const bool Stored = Current.is_null();
      if (Stored) {
        Effects_[Key] = Value.dump();
        Current = Value;
      }
      return json{{"stored", Stored}, {"value", Current}}.dump();
    }
    if (Operation == "append") {
      if (Current.is_null())
        Current = json::array();
      if (!Current.is_array())
        return Failed{"the value of " + Key + " is not an array"};
      Current.push_back(Value);
      Effects_[Key] = Current.dump();
      return std::to_string(Current.size());
    }
    if (Operation == "add") {
      if (!Current.is_null() && !Current.is_number_integer())
        return Failed{"the value of " + Key + " is not an integer"};
      const std::int64_t Sum =
          (Current.is_null() ? 0 : Current.get<std::int64_t>()) +
          Value.get<std::int64_t>();
      Effects_[Key] = std::to_string(Sum);
      return Effects_[Key];
    }
    return Failed{"unknown operation " + Operation};
  } catch (const json::exception &Error) {
    return Failed{Error.what()};
  }
}

bool StatementView::readsAreCurrent() const {
  for (const auto &[Key, Index] : Reads_)
    if (Data_.lastChangeIndex(Key) != Index)
      return false;
  return true;
}

std::vector<std::pair<std::string, std::string>>
StatementView::effects() const {
  return {Effects_.begin(), Effects_.end()};
}

std::uint64_t workMilliseconds(const json &Body) {
  if (!Body.is_object() || !Body.contains("work_ms") ||
      !Body["work_ms"].is_number_unsigned())
    return 0;
  return Body["work_ms"].get<std::uint64_t>();
}

} // namespace nutmegloom::testing
