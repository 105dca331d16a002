#ifndef NUTMEGLOOM_NUTMEGLOOMD_CALLERSERVICE_H
#define NUTMEGLOOM_NUTMEGLOOMD_CALLERSERVICE_H

#include "nutmegloomd/hostcontext.h"
#include "protocol/callercodec.h"
#include "protocol/httpserver.h"
#include "protocol/sessiontokenhandler.h"

#include <unordered_map>

namespace nutmegloom {

/// Serves the callers' API: turns requests into tasks of the engine and its
/// answers into responses.
class CallerService {
public:
  CallerService(HostContext &Context,
                std::function<std::string()> NewIdentifier);

  /// Serves a request of the callers' API. The returned function cancels it.
  std::function<void()> serve(const HttpServerRequest &Request,
                              HttpServer::Respond Respond);

  /// Answers the task if it is one of a caller.
  bool answer(TaskId Task, const CallerAnswer &Answer);

  /// Takes the keys for tokens; before that, requests are not served.
  void configure(std::vector<TokenKey> Keys);

  std::size_t inProgress() const { return Calls_.size(); }
  /// Requests answered with an error, by code.
  const std::map<ErrorCode, std::uint64_t> &errors() const { return Errors_; }

private:
  struct Call {
    /// The request without its statement, which the engine has.
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
