#include "protocol/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegloom {

void appendJsonString(std::string &Out, std::string_view Text) {
  // Fast path for names and identifiers, which need no escaping.
  bool Plain = std::all_of(Text.begin(), Text.end(), [](char C) {
    return C >= ' ' && C <= '~' && C != '"' && C != '\\';
  });
  if (!Plain) {
    Out += nlohmann::json(Text).dump(-1, ' ', false,
                                     nlohmann::json::error_handler_t::replace);
    return;
  }
  Out += '"';
  Out += Text;
  Out += '"';
}

} // namespace nutmegloom
