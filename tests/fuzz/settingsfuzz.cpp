#include "settings/settings.h"

#include <cstdlib>

using namespace nutmegloom;

static void require(bool Condition) {
  if (!Condition)
    std::abort();
}

/// Guards against text that crashes the checks, passes them but can't be
/// loaded, or changes on its way through the store.
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
