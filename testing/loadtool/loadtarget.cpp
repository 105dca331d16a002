#include "testing/loadtool/loadtarget.h"

#include "protocol/databasecodec.h"

#include <nlohmann/json.hpp>

namespace nutmegloom::testing {

using nlohmann::json;

namespace {

class CallerTarget : public LoadTarget {
public:
  CallerTarget(std::string Service, std::uint64_t TimeoutMs)
      : Service_(std::move(Service)), TimeoutMs_(TimeoutMs) {}

  HttpRequest encode(const LoadRequest &Request,
                     const std::string &Token) const override;
  LoadResult decode(const HttpResponse &Response) const override;

private:
  std::string Service_;
  std::uint64_t TimeoutMs_;
};

class DatabaseTarget : public LoadTarget {
public:
  explicit DatabaseTarget(std::uint64_t Term) : Term_(Term) {}

  HttpRequest encode(const LoadRequest &Request,
                     const std::string &Token) const override;
  LoadResult decode(const HttpResponse &Response) const override;

private:
  std::uint64_t Term_;
};

} // namespace

HttpRequest CallerTarget::encode(const LoadRequest &Request,
                                 const std::string &Token) const {
  json Body = {{"kind", nameOf(Request.Kind)}, {"timeout_ms", TimeoutMs_}};
  if (Request.MaximumAgeMs)
    Body["max_age_ms"] = *Request.MaximumAgeMs;
  if (!Request.WorkClass.empty())
    Body["class"] = Request.WorkClass;
  HttpRequest Http;
  Http.Method = "POST";
  Http.Target =
      "/v1/" + Service_ + "/" + std::to_string(Request.Group) + "/statements";
  Http.Headers.emplace_back("Content-Type", "application/json");
  if (!Token.empty())
    Http.Headers.emplace_back("Session-Token", Token);
  if (!Request.Key.empty())
    Http.Headers.emplace_back("Idempotency-Key", Request.Key);
  Http.Body = Body.dump();
  Http.Body.pop_back();
  Http.Body += ",\"statement\":" + Request.Statement + "}";
  return Http;
}

LoadResult CallerTarget::decode(const HttpResponse &Response) const {
  LoadResult Result;
  Result.Token = Response.header("Session-Token");
  const json Body = json::parse(Response.Body, nullptr, false);
  if (!Body.is_object()) {
    Result.Error = "malformed/unknown";
    return Result;
  }
  if (Response.Status == 200)
    Result.Database = Body.value("database", "");
  else
    Result.Error =
        Body.value("code", "status_" + std::to_string(Response.Status)) + "/" +
        Body.value("outcome", "none");
  return Result;
}

HttpRequest DatabaseTarget::encode(const LoadRequest &Request,
                                   const std::string &) const {
  DatabaseRequest Direct;
  Direct.Exchange = Request.Number;
  Direct.Term = Term_;
  Direct.Kind = Request.Kind;
  Direct.Statement = Request.Statement;
  Direct.Key = Request.Key;
  return encodeDatabaseRequest(Direct);
}

LoadResult DatabaseTarget::decode(const HttpResponse &Response) const {
  LoadResult Result;
  const json Body = json::parse(Response.Body, nullptr, false);
  if (!Body.is_object())
    Result.Error = "malformed/unknown";
  else if (Response.Status == 200)
    Result.Database = Body.value("database", "");
  else
    Result.Error = Body.value("error", "unknown") + "/not_run";
  return Result;
}

std::unique_ptr<LoadTarget> makeCallerTarget(std::string Service,
                                             std::uint64_t TimeoutMs) {
  return std::make_unique<CallerTarget>(std::move(Service), TimeoutMs);
}

std::unique_ptr<LoadTarget> makeDatabaseTarget(std::uint64_t Term) {
  return std::make_unique<DatabaseTarget>(Term);
}

} // namespace nutmegloom::testing
