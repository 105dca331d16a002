#include "nutmegloomctl/platformcalls.h"

namespace nutmegloom {

namespace {

const std::string HeadKind = "configuration";
const std::string HeadName = "head";

} // namespace

PlatformCalls::PlatformCalls(PlatformClient &Client, Hooks CallHooks)
    : Client_(Client), Hooks_(std::move(CallHooks)) {}

template <typename T> T PlatformCalls::waitFor(std::optional<T> &Result) {
  while (!Result)
    Hooks_.RunOnce();
  return std::move(*Result);
}

std::variant<StoredHead, HeadReadError> PlatformCalls::readHead() {
  using Answer = std::variant<PlatformObject, PlatformError>;
  std::optional<Answer> Result;
  Client_.get(HeadKind, HeadName,
              [&Result](Answer Response) { Result = std::move(Response); });
  const Answer Response = waitFor(Result);
  if (const auto *Error = std::get_if<PlatformError>(&Response))
    return HeadReadError{*Error, {}};
  const auto &Object = std::get<PlatformObject>(Response);
  if (Object.Version == 0)
    return StoredHead();
  auto Head = parseHead(Object.Value);
  if (auto *Errors = std::get_if<SettingsErrors>(&Head))
    return HeadReadError{std::nullopt, std::move(*Errors)};
  StoredHead Stored{Object.Version,
                    std::move(std::get<ConfigurationHead>(Head))};
  // Hosts compare versions of the store object, so the version in the text is
  // not used.
  Stored.Head.Version = Object.Version;
  return Stored;
}

std::variant<std::uint64_t, PlatformError>
PlatformCalls::writeHead(std::uint64_t Expected, const std::string &Text) {
  using Answer = std::variant<PlatformObject, PlatformError>;
  std::optional<Answer> Result;
  Client_.put(HeadKind, HeadName, Expected, Text,
              [&Result](Answer Response) { Result = std::move(Response); });
  const Answer Response = waitFor(Result);
  if (const auto *Error = std::get_if<PlatformError>(&Response))
    return *Error;
  return std::get<PlatformObject>(Response).Version;
}

std::variant<std::vector<ListedHost>, PlatformError>
PlatformCalls::listHosts() {
  using Answer = std::variant<std::vector<ListedHost>, PlatformError>;
  std::optional<Answer> Result;
  Client_.listHosts(
      [&Result](Answer Response) { Result = std::move(Response); });
  return waitFor(Result);
}

void PlatformCalls::pause(Milliseconds Time) { Hooks_.Pause(Time); }

} // namespace nutmegloom
