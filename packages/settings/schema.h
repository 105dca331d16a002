#ifndef NUTMEGLOOM_SETTINGS_SCHEMA_H
#define NUTMEGLOOM_SETTINGS_SCHEMA_H

#include "settings/jsontext.h"
#include "settings/settingstable.h"

#include <memory>

namespace nutmegloom {

/// Structure and value ranges of a settings file, built from a table of
/// settings.
class Schema {
public:
  enum class FileKind {
    /// Must contain all required settings.
    Complete,
    /// May only contain settings that an overlay may change.
    Overlay,
  };

  /// The rules must outlive the schema.
  explicit Schema(const std::vector<SettingRule> &Rules);
  ~Schema();
  Schema(const Schema &) = delete;
  Schema &operator=(const Schema &) = delete;

  /// Adds an error for each unknown name, wrong type, value out of range or
  /// missing setting.
  void check(const Json &Value, FileKind Kind, const std::string &File,
             SettingsErrors &Errors) const;

private:
  struct Node;
  struct Validator;
  std::unique_ptr<Node> Root_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SETTINGS_SCHEMA_H
