#include "protocol/platformclient.h"

#include "protocol/httpconnection.h"
#include "protocol/percentencoding.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace nutmegloom {

namespace {

using Json = nlohmann::json;

/// A value of the store has at most 1 MB. The host list at the target scale
/// (30,000 entries of about 200 bytes) has 6 MB.
constexpr std::size_t MaximumResponseBytes = 16U << 20U;

/// Parses the version from an ETag such as "\"12\"".
std::optional<std::uint64_t> parseVersion(std::string_view Tag) {
  if (Tag.size() < 3 || Tag.front() != '"' || Tag.back() != '"')
    return std::nullopt;
  const std::string_view Digits = Tag.substr(1, Tag.size() - 2);
  std::uint64_t Version = 0;
  const char *End = Digits.data() + Digits.size();
  const auto [Last, Error] = std::from_chars(Digits.data(), End, Version);
  if (Error != std::errc() || Last != End)
    return std::nullopt;
  return Version;
}

PlatformError errorOf(const HttpFailure &Failure) {
  switch (Failure.Kind) {
  case HttpFailureKind::BadAddress:
  case HttpFailureKind::NotConnected:
    return PlatformError::Unreachable;
  case HttpFailureKind::Broken:
  case HttpFailureKind::TimedOut:
    return PlatformError::NoAnswer;
  case HttpFailureKind::Malformed:
    return PlatformError::Malformed;
  }
  return PlatformError::NoAnswer;
}

PlatformError errorOfStatus(int Status) {
  if (Status == 304)
    return PlatformError::Unchanged;
  if (Status == 412)
    return PlatformError::ConditionFailed;
  // After a server error it is unknown whether the request was executed.
  if (Status >= 500)
    return PlatformError::NoAnswer;
  return PlatformError::Malformed;
}

std::variant<PlatformObject, PlatformError>
readObject(const std::variant<HttpResponse, HttpFailure> &Result) {
  if (const auto *Failure = std::get_if<HttpFailure>(&Result))
    return errorOf(*Failure);
  const auto &Response = std::get<HttpResponse>(Result);
  if (Response.Status != 200)
    return errorOfStatus(Response.Status);
  const auto Version = parseVersion(Response.header("ETag"));
  if (!Version)
    return PlatformError::Malformed;
  return PlatformObject{*Version, Response.Body};
}

std::variant<std::vector<ListedHost>, PlatformError>
readHostList(const std::variant<HttpResponse, HttpFailure> &Result) {
  if (const auto *Failure = std::get_if<HttpFailure>(&Result))
    return errorOf(*Failure);
  const auto &Response = std::get<HttpResponse>(Result);
  if (Response.Status != 200)
    return errorOfStatus(Response.Status);
  try {
    std::vector<ListedHost> List;
    const Json Body = Json::parse(Response.Body);
    for (const Json &Entry : Body.at("hosts")) {
      ListedHost Host;
      Host.Name = Entry.at("name").get<std::string>();
      Host.Role = Entry.at("role").get<std::string>();
      Host.Zone = Entry.at("zone").get<std::string>();
      Host.Region = Entry.at("region").get<std::string>();
      Host.PeerAddress = Entry.value("peer_address", std::string());
      Host.Leaving = Entry.at("state").get<std::string>() == "leaving";
      List.push_back(std::move(Host));
    }
    return List;
  } catch (const Json::exception &) {
    return PlatformError::Malformed;
  }
}

class HttpPlatformClient : public PlatformClient {
public:
  HttpPlatformClient(boost::asio::io_context &Io, std::string Address,
                     Milliseconds Timeout)
      : Io_(Io), Address_(std::move(Address)), Timeout_(Timeout) {}

  void get(const std::string &Kind, const std::string &Name,
           ObjectHandler Handler) override {
    send({"GET", objectTarget(Kind, Name), {}, ""}, Timeout_,
         [Handler = std::move(Handler)](const auto &Result) {
           const auto *Response = std::get_if<HttpResponse>(&Result);
           if (Response && Response->Status == 404) {
             Handler(PlatformObject());
             return;
           }
           Handler(readObject(Result));
         });
  }

  void put(const std::string &Kind, const std::string &Name,
           std::uint64_t Expected, const std::string &Value,
           ObjectHandler Handler) override {
    send({"PUT",
          objectTarget(Kind, Name),
          {{"If-Match", "\"" + std::to_string(Expected) + "\""},
           {"Content-Type", "application/json"}},
          Value},
         Timeout_, [Handler = std::move(Handler), Value](const auto &Result) {
           auto Object = readObject(Result);
           if (auto *Stored = std::get_if<PlatformObject>(&Object))
             Stored->Value = Value;
           Handler(std::move(Object));
         });
  }

  void watch(const std::string &Kind, const std::string &Name,
             std::uint64_t After, Milliseconds Wait,
             ObjectHandler Handler) override {
    send({"GET",
          "/v1/watch/" + Kind + "/" + percentEncode(Name) +
              "?after=" + std::to_string(After) +
              "&wait_ms=" + std::to_string(Wait.count()),
          {},
          ""},
         Wait + Timeout_, [Handler = std::move(Handler)](const auto &Result) {
           Handler(readObject(Result));
         });
  }

  void listHosts(ListHandler Handler) override {
    send({"GET", "/v1/hosts", {}, ""}, Timeout_,
         [Handler = std::move(Handler)](const auto &Result) {
           Handler(readHostList(Result));
         });
  }

private:
  static std::string objectTarget(const std::string &Kind,
                                  const std::string &Name) {
    return "/v1/objects/" + Kind + "/" + percentEncode(Name);
  }

  void send(HttpRequest Request, Milliseconds Timeout,
            HttpConnection::ExchangeHandler Handler) {
    exchangeOnce(Io_, Address_, std::move(Request), Timeout,
                 MaximumResponseBytes, std::move(Handler));
  }

  boost::asio::io_context &Io_;
  std::string Address_;
  Milliseconds Timeout_;
};

} // namespace

std::string_view nameOf(PlatformError Error) {
  switch (Error) {
  case PlatformError::Unreachable:
    return "not_reached";
  case PlatformError::NoAnswer:
    return "no_answer";
  case PlatformError::ConditionFailed:
    return "condition_failed";
  case PlatformError::Malformed:
    return "malformed";
  case PlatformError::Unchanged:
    return "unchanged";
  }
  return "invalid";
}

std::shared_ptr<PlatformClient> makePlatformClient(boost::asio::io_context &Io,
                                                   std::string Address,
                                                   Milliseconds Timeout) {
  return std::make_shared<HttpPlatformClient>(Io, std::move(Address), Timeout);
}

} // namespace nutmegloom
