#include "nutmegloomctl/platformcalls.h"

namespace nutmegloom {

namespace {

const std::string HeadKind = "configuration";
const std::string HeadName = "head";

} // namespace

PlatformCalls::PlatformCalls(PlatformClient &Client, Hooks Functions)
    : Client_(Client), Functions_(std::move(Functions)) {}

template <typename T> T PlatformCalls::waitFor(std::optional<T> &Result) {
  while (!Result)
    Functions_.RunOnce();
  return std::move(*Result);
}

std::variant<StoredHead, HeadUnreadable> PlatformCalls::readHead() {
  using Answer = std::variant<PlatformObject, PlatformError>;
  std::optional<Answer> Result;
  Client_.get(HeadKind, HeadName,
              [&Result](Answer Given) { Result = std::move(Given); });
  const Answer Given = waitFor(Result);
  if (const auto *Error = std::get_if<PlatformError>(&Given))
    return HeadUnreadable{*Error, {}};
  const auto &Object = std::get<PlatformObject>(Given);
  if (Object.Version == 0)
    return StoredHead();
  auto Head = parseHead(Object.Value);
  if (auto *Errors = std::get_if<SettingsErrors>(&Head))
    return HeadUnreadable{std::nullopt, std::move(*Errors)};
  StoredHead Stored{Object.Version,
                    std::move(std::get<ConfigurationHead>(Head))};
  // Hosts compare versions of the store's object.
  Stored.Head.Version = Object.Version;
  return Stored;
}

std::variant<std::uint64_t, PlatformError>
PlatformCalls::writeHead(std::uint64_t Expected, const std::string &Text) {
  using Answer = std::variant<PlatformObject, PlatformError>;
  std::optional<Answer> Result;
  Client_.put(HeadKind, HeadName, Expected, Text,
              [&Result](Answer Given) { Result = std::move(Given); });
  const Answer Given = waitFor(Result);
  if (const auto *Error = std::get_if<PlatformError>(&Given))
    return *Error;
  return std::get<PlatformObject>(Given).Version;
}

std::variant<std::vector<ListedHost>, PlatformError>
PlatformCalls::listHosts() {
  using Answer = std::variant<std::vector<ListedHost>, PlatformError>;
  std::optional<Answer> Result;
  Client_.listHosts([&Result](Answer Given) { Result = std::move(Given); });
  return waitFor(Result);
}

void PlatformCalls::pause(Milliseconds Time) { Functions_.Pause(Time); }

} // namespace nutmegloom
