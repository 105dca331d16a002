#include "testing/loadtool/loadrun.h"

#include <boost/asio/io_context.hpp>

namespace nutmegloom::testing {

using std::chrono::steady_clock;

static constexpr std::size_t MaximumAnswerBytes = 8UL * 1024 * 1024;

LoadRun::LoadRun(boost::asio::io_context &Io, LoadOptions Options,
                 Workload &Requests, const LoadTarget &Target,
                 std::size_t Sessions, LoadReport &Report)
    : Io_(Io), Options_(std::move(Options)), Requests_(Requests),
      Target_(Target), Report_(Report), Sessions_(Sessions), Arrival_(Io) {
  for (const std::string &Address : Options_.Hosts)
    Hosts_.push_back({Address, {}, 0, {}});
  for (std::size_t Index = 0; Index < Sessions_.size(); ++Index)
    Sessions_[Index].Host = Index % Hosts_.size();
}

void LoadRun::start() {
  NextArrival_ = steady_clock::now();
  MeasureFrom_ = NextArrival_ + Options_.Warmup;
  End_ = MeasureFrom_ + Options_.Duration;
  if (Options_.Rate > 0) {
    scheduleArrival();
    return;
  }
  for (std::uint64_t Count = 0; Count < Options_.Connections; ++Count)
    startNextClosed();
}

void LoadRun::scheduleArrival() {
  NextArrival_ += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Requests_.nextGap(Options_.Rate)));
  if (NextArrival_ >= End_)
    return;
  Arrival_.expires_at(NextArrival_);
  Arrival_.async_wait([this](const boost::system::error_code &) {
    dispatch({Requests_.next(), NextArrival_});
    scheduleArrival();
  });
}

void LoadRun::startNextClosed() {
  const TimePoint Now = steady_clock::now();
  if (Now < End_)
    dispatch({Requests_.next(), Now});
}

void LoadRun::dispatch(Pending Work) {
  Session &Owner = Sessions_[Work.Request.Session];
  if (Work.Request.MovesHost)
    Owner.Host = (Owner.Host + 1) % Hosts_.size();
  const std::size_t Index = Owner.Host;
  Host &Target = Hosts_[Index];
  if (!Target.Idle.empty()) {
    const auto Connection = Target.Idle.front();
    Target.Idle.pop_front();
    sendOn(Index, Connection, std::move(Work));
    return;
  }
  if (Target.Open >= Options_.Connections) {
    Target.Waiting.push_back(std::move(Work));
    return;
  }
  ++Target.Open;
  const auto Connection =
      HttpConnection::create(Io_, Target.Address, MaximumAnswerBytes);
  Connection->connect(
      Options_.Timeout, [this, Index, Connection,
                         Work = std::move(Work)](const HttpFailure *Failure) {
        if (!Failure) {
          sendOn(Index, Connection, Work);
          return;
        }
        // The host is down: the session moves, as behind a load balancer.
        Sessions_[Work.Request.Session].Host = (Index + 1) % Hosts_.size();
        --Hosts_[Index].Open;
        LoadResult Result;
        Result.Error = "not_connected/not_run";
        finish(Work, Result);
      });
}

void LoadRun::sendOn(std::size_t HostIndex,
                     const std::shared_ptr<HttpConnection> &Connection,
                     Pending Work) {
  const HttpRequest Request =
      Target_.encode(Work.Request, Sessions_[Work.Request.Session].Token);
  Connection->exchange(
      Request, Options_.Timeout,
      [this, HostIndex, Connection,
       Work = std::move(Work)](std::variant<HttpResponse, HttpFailure> Answer) {
        LoadResult Result;
        if (const auto *Response = std::get_if<HttpResponse>(&Answer))
          Result = Target_.decode(*Response);
        else
          Result.Error = "connection_lost/unknown";
        if (!Result.Token.empty())
          Sessions_[Work.Request.Session].Token = Result.Token;
        release(HostIndex, Connection);
        finish(Work, Result);
      });
}

void LoadRun::release(std::size_t HostIndex,
                      const std::shared_ptr<HttpConnection> &Connection) {
  Host &Target = Hosts_[HostIndex];
  if (!Connection->isOpen()) {
    --Target.Open;
  } else if (!Target.Waiting.empty()) {
    Pending Next = std::move(Target.Waiting.front());
    Target.Waiting.pop_front();
    sendOn(HostIndex, Connection, std::move(Next));
    return;
  } else {
    Target.Idle.push_back(Connection);
    return;
  }
  if (!Target.Waiting.empty()) {
    Pending Next = std::move(Target.Waiting.front());
    Target.Waiting.pop_front();
    Next.Request.MovesHost = false;
    dispatch(std::move(Next));
  }
}

void LoadRun::finish(const Pending &Work, const LoadResult &Result) {
  const TimePoint Now = steady_clock::now();
  if (Work.Planned >= MeasureFrom_)
    Report_.record(
        Work.Request, Result,
        std::chrono::duration<double, std::milli>(Now - Work.Planned).count());
  if (Options_.Rate <= 0)
    startNextClosed();
}

} // namespace nutmegloom::testing
