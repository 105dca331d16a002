#include "settings/settings.h"

#include <cstdlib>

using namespace nutmegloom;

static void require(bool Condition) {
  if (!Condition)
    std::abort();
}

/// Text must not crash the checks. Text that passes them must give errors when
/// it is loaded for a site that doesn't exist, be accepted as its own
/// successor, and not change when it is serialized and parsed.
extern "C" int LLVMFuzzerTestOneInput(const unsigned char *Data,
                                      std::size_t Size) {
  const std::string Text(reinterpret_cast<const char *>(Data), Size);
  ConfigurationHead Head;
  Head.Base = Text;
  Head.Overlays["lima-miraflores"] = Text;
  for (const SettingsError &Error : checkHead(Head))
    require(!Error.File.empty() && !Error.Message.empty());
  Head.Overlays.clear();
  if (checkHead(Head).empty()) {
    require(std::holds_alternative<SettingsErrors>(loadSite(Head, "/")));
    require(checkSuccessor(Head, Head).empty());
    const auto Parsed = parseHead(serializeHead(Head));
    require(std::holds_alternative<ConfigurationHead>(Parsed));
    require(std::get<ConfigurationHead>(Parsed).Base == Text);
  }
  const auto Stored = parseHead(Text);
  if (const auto *Read = std::get_if<ConfigurationHead>(&Stored))
    require(std::holds_alternative<ConfigurationHead>(
        parseHead(serializeHead(*Read))));
  static_cast<void>(parseHostSettings(Text, "host"));
  return 0;
}
