#include "nutmegloomctl/statusreader.h"

#include "protocol/httpconnection.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace nutmegloom {

namespace {

/// Limits open files and simultaneous answers in deployments with thousands of
/// hosts.
constexpr std::size_t MaximumParallelRequests = 64;
constexpr std::size_t MaximumStatusBytes = 4U << 20U;

class StatusReader {
public:
  StatusReader(boost::asio::io_context &Io,
               const std::vector<StatusTarget> &Targets, Milliseconds Timeout)
      : Io_(Io), Targets_(Targets), Timeout_(Timeout),
        Statuses_(Targets.size()) {}

  std::vector<HostStatus> run() {
    for (std::size_t Started = 0;
         Started < std::min(MaximumParallelRequests, Targets_.size());
         ++Started)
      startNext();
    Io_.restart();
    Io_.run();
    return std::move(Statuses_);
  }

private:
  void startNext() {
    if (Next_ == Targets_.size())
      return;
    const std::size_t Index = Next_++;
    HttpRequest Request;
    Request.Target = "/v1/status";
    exchangeOnce(Io_, Targets_[Index].Address, std::move(Request), Timeout_,
                 MaximumStatusBytes, [this, Index](const auto &Result) {
                   Statuses_[Index] = read(Targets_[Index], Result);
                   startNext();
                 });
  }

  static HostStatus
  read(const StatusTarget &Target,
       const std::variant<HttpResponse, HttpFailure> &Result) {
    HostStatus Host;
    if (const auto *Response = std::get_if<HttpResponse>(&Result)) {
      if (Response->Status == 200)
        Host = parseHostStatus(Target.Address, Response->Body);
      else
        Host.Failure = "status " + std::to_string(Response->Status);
    } else {
      Host.Failure = std::get<HttpFailure>(Result).Detail;
      if (Host.Failure.empty())
        Host.Failure = "no answer";
    }
    Host.Address = Target.Address;
    if (Host.Name.empty())
      Host.Name = Target.Name;
    if (Host.Zone.empty())
      Host.Zone = Target.Zone;
    return Host;
  }

  boost::asio::io_context &Io_;
  const std::vector<StatusTarget> &Targets_;
  Milliseconds Timeout_;
  std::vector<HostStatus> Statuses_;
  std::size_t Next_ = 0;
};

} // namespace

std::vector<HostStatus> readStatuses(boost::asio::io_context &Io,
                                     const std::vector<StatusTarget> &Targets,
                                     Milliseconds Timeout) {
  return StatusReader(Io, Targets, Timeout).run();
}

} // namespace nutmegloom
