#ifndef NUTMEGLOOM_NUTMEGLOOMD_CALLERSERVICE_H
#define NUTMEGLOOM_NUTMEGLOOMD_CALLERSERVICE_H

#include "nutmegloomd/hostcontext.h"
#include "protocol/callercodec.h"
#include "protocol/httpserver.h"
#include "protocol/sessiontokenhandler.h"

#include <unordered_map>

namespace nutmegloom {

/// Serves the HTTP API for callers: submits each request to the engine as a
/// task and sends the engine's answer as the response.
class CallerService {
public:
  CallerService(HostContext &Context,
                std::function<std::string()> NewIdentifier);

  /// Parses the request and submits it to the engine. The returned function
  /// cancels the task without a response; it is empty if the request was
  /// already answered with an error.
  std::function<void()> serve(const HttpServerRequest &Request,
                              HttpServer::Respond Respond);

  /// Sends the response of the task. Returns false if the task is not a
  /// request of a caller or was cancelled.
  bool answer(TaskId Task, const CallerAnswer &Answer);

  /// Sets the keys of session tokens. Requests before the first call are
  /// answered with the error not_ready.
  void configure(std::vector<TokenKey> Keys);

  /// Number of requests without a response.
  std::size_t inProgress() const { return Calls_.size(); }
  /// Number of requests answered with an error, by error code.
  const std::map<ErrorCode, std::uint64_t> &errors() const { return Errors_; }

private:
  struct Call {
    /// The request without its statement, which is moved to the engine.
    CallerRequest Request;
    SessionContext Session;
    HttpServer::Respond Respond;
    TimePoint StartedAt;
    TraceSpan Span;
  };

  void cancel(TaskId Task);
  void refuse(const Problem &Error, const HttpServer::Respond &Respond);
  void countError(ErrorCode Code);
  std::string_view classLabel(const std::string &Name) const;

  HostContext &Context_;
  std::function<std::string()> NewIdentifier_;
  std::optional<SessionTokenCodec> Tokens_;
  std::optional<SessionTokenHandler> TokenHandler_;
  std::unordered_map<TaskId, Call> Calls_;
  std::map<ErrorCode, std::uint64_t> Errors_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_CALLERSERVICE_H
