#include "tests/settings/samplesettings.h"

#include <cppunit/TestAssert.h>

#include <algorithm>

namespace nutmegloom {

std::string sampleBase() {
  return R"({
  // Comments are allowed.
  "version_format": 1,
  "sites": {"a": {"region": "r"}, "b": {"region": "s"}},
  "services": {"shop": {
    "database_slots": 2,
    "database_connections": 10,
    "groups": [{"databases": [
      {"id": "d0", "zone": "a", "service_address": "127.0.0.1:1000",
       "control_address": "127.0.0.1:1001"},
      {"id": "d1", "zone": "b", "service_address": "127.0.0.1:1002",
       "control_address": "127.0.0.1:1003"}
    ]}]
  }},
  "classes": {"fast": {"weight": 4}, "slow": {}},
  "limits": {"connections": 100},
  "timing": {"term_validity_ms": 400},
  "tokens": [{"id": "k1", "secret": "0123456789abcdef"}],
  "hosts": {"log_level": "info"}
})";
}

std::string sampleBaseWith(const std::string &Old, const std::string &New) {
  std::string Text = sampleBase();
  const std::size_t Place = Text.find(Old);
  CPPUNIT_ASSERT_MESSAGE(Old, Place != std::string::npos);
  CPPUNIT_ASSERT_MESSAGE(Old, Text.find(Old, Place + 1) == std::string::npos);
  return Text.replace(Place, Old.size(), New);
}

ConfigurationHead sampleHead(const std::string &Base) {
  ConfigurationHead Head;
  Head.Version = 1;
  Head.EditId = "first";
  Head.Base = Base;
  Head.History = {{1, "first", "ana", "2026-01-01T00:00:00Z", "", {"base"}}};
  return Head;
}

bool hasError(const SettingsErrors &Errors, const std::string &File,
              const std::string &Path, const std::string &Part) {
  return std::any_of(Errors.begin(), Errors.end(),
                     [&](const SettingsError &Error) {
                       return Error.File == File && Error.Path == Path &&
                              Error.Message.find(Part) != std::string::npos;
                     });
}

} // namespace nutmegloom
