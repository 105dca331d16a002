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

/// Maps keys to values, as JSON text, and to the log index of their last
/// change.
class KeyValueStore {
public:
  /// JSON text of the value; "null" if the key is absent.
  const std::string &get(const std::string &Key) const;
  /// Log index of the key's last change; zero if the key is absent.
  std::uint64_t lastChangeIndex(const std::string &Key) const;
  void set(const std::string &Key, const std::string &Value,
           std::uint64_t Index);
  /// The first keys, at most Limit, that start with Prefix, with their values.
  std::vector<std::pair<std::string, std::string>>
  scan(const std::string &Prefix, std::size_t Limit) const;

private:
  struct Versioned {
    std::string Value;
    std::uint64_t Index = 0;
  };
  std::map<std::string, Versioned> Values_;
};

/// Buffers the changes of one statement or transaction on top of a store, and
/// records what it has read in order to detect conflicts.
class StatementView {
public:
  struct Failed {
    std::string Detail;
  };

  explicit StatementView(const KeyValueStore &Data) : Data_(Data) {}

  /// Executes a JSON statement with "op" get, scan, put, put_if_absent, append
  /// or add, and returns the result as JSON text. A failed statement changes
  /// nothing.
  std::variant<std::string, Failed> execute(const nlohmann::json &Statement);

  /// True if no key has changed in the store since it was read here.
  bool readsAreCurrent() const;
  /// Changed keys and their new values, in the order of the keys.
  std::vector<std::pair<std::string, std::string>> effects() const;

private:
  std::string get(const std::string &Key);

  const KeyValueStore &Data_;
  std::map<std::string, std::string> Effects_;
  /// Keys that were read from the store, with the log index of their last
  /// change at that time.
  std::map<std::string, std::uint64_t> Reads_;
};

/// Execution time in milliseconds that the statement asks for with "work_ms";
/// zero if it has none.
std::uint64_t workMilliseconds(const nlohmann::json &Statement);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_KEYVALUESTORE_H
