#include "nutmegloomd/callerservice.h"

#include "telemetry/events.h"

#include <algorithm>

namespace nutmegloom {

/// Retry delay sent to callers while the host has no configuration.
static constexpr Milliseconds NotReadyRetryAfter{1000};

static bool needsKey(const CallerRequest &Request) {
  if (Request.Step == RequestStep::Commit)
    return true;
  return Request.Kind == StatementKind::Write &&
         (Request.Step == RequestStep::Statement ||
          Request.Step == RequestStep::TransactionStatement);
}

static std::string_view kindLabel(const CallerRequest &Request) {
  return Request.Step == RequestStep::Statement ? nameOf(Request.Kind)
                                                : nameOf(Request.Step);
}

CallerService::CallerService(HostContext &Context,
                             std::function<std::string()> NewIdentifier)
    : Context_(Context), NewIdentifier_(std::move(NewIdentifier)) {}

void CallerService::configure(std::vector<TokenKey> Keys) {
  // The handler holds a reference to the codec, so it is destroyed first.
  TokenHandler_.reset();
  Tokens_.emplace(std::move(Keys));
  TokenHandler_.emplace(*Tokens_, NewIdentifier_);
}

void CallerService::countError(ErrorCode Code) {
  ++Errors_[Code];
  Context_.HostMetrics.countError(nameOf(Code));
}

void CallerService::refuse(const Problem &Error,
                           const HttpServer::Respond &Respond) {
  countError(Error.Code);
  Respond(makeProblemResponse(Error));
}

std::string_view CallerService::classLabel(const std::string &Name) const {
  // Callers choose the class name. Only configured classes become metric
  // labels, so that the number of time series stays bounded.
  if (Name.empty())
    return "default";
  const auto &Classes = Context_.Core->policy().Classes;
  bool Known = std::any_of(
      Classes.begin(), Classes.end(),
      [&](const Policy::WorkClass &Class) { return Class.Name == Name; });
  return Known ? std::string_view(Name) : "other";
}

std::function<void()> CallerService::serve(const HttpServerRequest &Request,
                                           HttpServer::Respond Respond) {
  if (!TokenHandler_) {
    refuse({ErrorCode::NotReady, Outcome::NotRun,
            "the host has no configuration yet", NotReadyRetryAfter, 0},
           Respond);
    return {};
  }
  TimePoint Now = currentTime();
  const Policy &Limits = Context_.Core->policy();
  auto Parsed =
      parseCallerRequest({.Method = Request.Method,
                          .Target = Request.Target,
                          .Body = Request.Body,
                          .IdempotencyKey = Request.header("Idempotency-Key"),
                          .TraceParent = Request.header("traceparent"),
                          .Caller = Request.RemoteAddress},
                         {.Default = Limits.StatementTimeout,
                          .Maximum = Limits.StatementTimeoutMaximum},
                         Now);
  if (auto *Error = std::get_if<Problem>(&Parsed)) {
    refuse(*Error, Respond);
    return {};
  }
  TaskId Task = ++Context_.LastTask;
  Call &Started = Calls_[Task];
  Started.Request = std::move(std::get<CallerRequest>(Parsed));
  Started.StartedAt = Now;
  Started.Respond = std::move(Respond);
  CallerRequest &Submitted = Started.Request;
  std::string_view Token = Request.header("Session-Token");
  Started.Session = TokenHandler_->applyToken(Token, Submitted);
  if (!Token.empty() && Started.Session.Token.empty())
    logEvent(LogEvent::TokenUnreadable,
             {{"bytes", std::int64_t(Token.size())}});
  if (Submitted.Key.empty() && needsKey(Submitted))
    Submitted.Key = NewIdentifier_();
  Started.Span = Context_.Tracer.start("entry", Submitted.TraceParent);
  Submitted.TraceParent = Started.Span.traceParent();
  // The engine may answer before submit returns, which destroys Started.
  std::string Statement = std::exchange(Submitted.Statement, {});
  CallerRequest EngineRequest = Submitted;
  EngineRequest.Statement = std::move(Statement);
  Context_.Core->submit(Task, EngineRequest, Now);
  Context_.ScheduleTick();
  return [this, Task] { cancel(Task); };
}

bool CallerService::answer(TaskId Task, const CallerAnswer &Answer) {
  auto Found = Calls_.find(Task);
  if (Found == Calls_.end())
    return false;
  Call Ended = std::move(Found->second);
  Calls_.erase(Found);
  TimePoint Now = currentTime();
  const CallerRequest &Request = Ended.Request;
  Context_.HostMetrics.observeRequest(
      kindLabel(Request), classLabel(Request.WorkClass), Now - Ended.StartedAt);
  if (Answer.Error != ErrorCode::None) {
    countError(Answer.Error);
    logEvent(LogEvent::RequestFailed, {{"code", nameOf(Answer.Error)},
                                       {"outcome", nameOf(Answer.Result)},
                                       {"group", Request.Group},
                                       {"detail", Answer.Detail}});
  }
  if (Ended.Span.isRecorded()) {
    Ended.Span.tag("group", Request.Group);
    Ended.Span.tag("kind", kindLabel(Request));
    Ended.Span.tag("code", nameOf(Answer.Error));
  }
  HttpResponse Response = makeCallerResponse(Request, Answer, Now);
  std::string Token = TokenHandler_->responseToken(std::move(Ended.Session),
                                                   Request.Group, Answer);
  if (!Token.empty())
    Response.Headers.emplace_back("Session-Token", std::move(Token));
  Ended.Respond(std::move(Response));
  return true;
}

void CallerService::cancel(TaskId Task) {
  if (Calls_.erase(Task) == 0)
    return;
  Context_.Core->cancel(Task, currentTime());
  Context_.ScheduleTick();
}

} // namespace nutmegloom
