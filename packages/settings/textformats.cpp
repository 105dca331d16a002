#include "settings/textformats.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace nutmegloom {

namespace {

constexpr std::size_t MaximumNameLength = 64;
constexpr std::size_t MaximumQuotedLength = 80;

bool isAlphanumeric(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9');
}

std::optional<unsigned> parsePort(std::string_view Text) {
  unsigned Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Last, Error] = std::from_chars(Text.data(), End, Port);
  if (Error != std::errc() || Last != End || Port == 0 || Port > 65535)
    return std::nullopt;
  return Port;
}

std::optional<std::string> canonicalIp(const std::string &Text) {
  in_addr Bytes{};
  std::array<char, INET_ADDRSTRLEN> Canonical{};
  if (inet_pton(AF_INET, Text.c_str(), &Bytes) != 1)
    return std::nullopt;
  if (!inet_ntop(AF_INET, &Bytes, Canonical.data(), Canonical.size()))
    return std::nullopt;
  return std::string(Canonical.data());
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaximumNameLength &&
         isAlphanumeric(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), [](char C) {
           return isAlphanumeric(C) || C == '.' || C == '_' || C == '-';
         });
}

std::optional<std::string> canonicalAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  // inet_pton stops at a NUL byte, so the text after it would not be checked.
  if (Colon == std::string_view::npos ||
      Text.find('\0') != std::string_view::npos)
    return std::nullopt;
  const auto Port = parsePort(Text.substr(Colon + 1));
  if (!Port)
    return std::nullopt;
  const auto Ip = canonicalIp(std::string(Text.substr(0, Colon)));
  if (!Ip)
    return std::nullopt;
  return *Ip + ":" + std::to_string(*Port);
}

std::string ipOf(std::string_view Address) {
  return std::string(Address.substr(0, Address.rfind(':')));
}

bool isUtf8(const std::string &Text) {
  try {
    static_cast<void>(nlohmann::json(Text).dump());
    return true;
  } catch (const nlohmann::json::exception &) {
    return false;
  }
}

std::string quote(const std::string &Text) {
  using Handler = nlohmann::json::error_handler_t;
  if (Text.size() <= MaximumQuotedLength)
    return nlohmann::json(Text).dump(-1, ' ', false, Handler::replace);
  const std::string Start = nlohmann::json(Text.substr(0, MaximumQuotedLength))
                                .dump(-1, ' ', false, Handler::replace);
  return Start + "... (" + std::to_string(Text.size()) + " bytes)";
}

} // namespace nutmegloom
