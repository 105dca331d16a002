#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_KEYVALUESTORE_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_KEYVALUESTORE_H

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace nutmegloom::testing {

/// Keys and their values, as JSON text, with the index of their last change.
class KeyValueStore {
public:
  /// JSON text of the value; "null" when the key is absent.
  const std::string &get(const std::string &Key) const;
  /// Index of the last change of the key; zero when it is absent.
  std::uint64_t lastChangeIndex(const std::string &Key) const;
  void set(const std::string &Key, const std::string &Value,
           std::uint64_t Index);
  /// Values of up to Limit keys that start with Prefix.
  std::vector<std::pair<std::string, std::string>>
  scan(const std::string &Prefix, std::size_t Limit) const;

private:
  struct Versioned {
    std::string Value;
    std::uint64_t Index = 0;
  };
  std::map<std::string, Versioned> Values_;
};

/// Reads and pending changes of one statement or transaction over a store.
class StatementView {
public:
  struct Failed {
    std::string Detail;
  };

  explicit StatementView(const KeyValueStore &Data) : Data_(Data) {}

  /// Executes a statement of the stand-in's language; returns the result as
  /// JSON text. A failed statement changes nothing.
  std::variant<std::string, Failed> execute(const nlohmann::json &Statement);

  /// True when nothing that was read has changed since it was read.
  bool readsAreCurrent() const;
  std::vector<std::pair<std::string, std::string>> effects() const;

private:
  std::string get(const std::string &Key);

  const KeyValueStore &Data_;
  std::map<std::string, std::string> Effects_;
  /// Keys that were read, with the index of their last change at that time.
  std::map<std::string, std::uint64_t> Reads_;
};

/// Time for which the statement holds a slot, from its "work_ms".
std::uint64_t workMilliseconds(const nlohmann::json &Statement);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_KEYVALUESTORE_H
