#include "nutmegloomd/peerlinks.h"

#include "telemetry/events.h"

#include <boost/asio/io_context.hpp>

namespace nutmegloom {

static std::size_t payloadBytes(const PeerHeartbeat &Heartbeat) {
  std::size_t Size = Heartbeat.Host.size() + Heartbeat.Incarnation.size() +
                     Heartbeat.Region.size() + Heartbeat.Zone.size() +
                     Heartbeat.PeerAddress.size() +
                     sizeof(Heartbeat.ConfigurationVersion);
  for (const PeerSummary &Known : Heartbeat.Known)
    Size += Known.Host.size() + Known.Incarnation.size() + Known.Region.size() +
            Known.Zone.size() + Known.PeerAddress.size() +
            sizeof(Known.ConfigurationVersion) + sizeof(Known.Age);
  return Size;
}

PeerLinks::PeerLinks(HostContext &Context, const std::string &ListenAddress)
    : Context_(Context), Network_(makePeerNetwork(Context.Io, ListenAddress)) {}

std::variant<std::string, PeerNetwork::Failure> PeerLinks::listen() {
  PeerNetwork::Service Service;
  Service.Execute = [this](const CallerRequest &Request,
                           PeerNetwork::AnswerFunction Answer) {
    return execute(Request, std::move(Answer));
  };
  Service.Heartbeat = [this](const PeerHeartbeat &Heartbeat) {
    Context_.HostMetrics.countControlMessage("heartbeat",
                                             payloadBytes(Heartbeat));
    Context_.Core->membership().onHeartbeat(Heartbeat, currentTime());
    Context_.ScheduleTick();
    return Context_.Core->membership().self();
  };
  Service.Configuration = [this] {
    const ConfigurationSystem &Current = Context_.Core->configuration();
    Context_.HostMetrics.countControlMessage("configuration",
                                             Current.text().size());
    return std::pair(Current.version(), Current.text());
  };
  return Network_->listen(std::move(Service));
}

void PeerLinks::stop() { Network_->stop(); }

std::function<void()> PeerLinks::execute(const CallerRequest &Request,
                                         PeerNetwork::AnswerFunction Answer) {
  TaskId Task = ++Context_.LastTask;
  ServedTask &Started = ServedTasks_[Task];
  Started.Answer = std::move(Answer);
  if (Context_.Tracer.isEnabled()) {
    Started.Span = Context_.Tracer.start("owner", Request.TraceParent);
    Started.Span.tag("group", Request.Group);
    CallerRequest Traced = Request;
    Traced.TraceParent = Started.Span.traceParent();
    Context_.Core->submitForwarded(Task, Traced, currentTime());
  } else {
    Context_.Core->submitForwarded(Task, Request, currentTime());
  }
  Context_.ScheduleTick();
  return [this, Task] {
    if (ServedTasks_.erase(Task) == 0)
      return;
    Context_.Core->cancel(Task, currentTime());
    Context_.ScheduleTick();
  };
}

bool PeerLinks::answer(TaskId Task, const CallerAnswer &Answer) {
  auto Found = ServedTasks_.find(Task);
  if (Found == ServedTasks_.end())
    return false;
  ServedTask Ended = std::move(Found->second);
  ServedTasks_.erase(Found);
  Ended.Answer(Answer);
  return true;
}

std::string PeerLinks::addressOf(const HostName &Host) const {
  const auto &Hosts = Context_.Core->tables().Hosts;
  auto Known = Hosts.find(Host);
  return Known == Hosts.end() ? std::string() : Known->second.PeerAddress;
}

void PeerLinks::forward(const HostName &Host, TaskId Task,
                        const CallerRequest &Request) {
  std::shared_ptr<TraceSpan> Span;
  CallerRequest Traced;
  const CallerRequest *Sent = &Request;
  if (Context_.Tracer.isEnabled()) {
    Span = std::make_shared<TraceSpan>(
        Context_.Tracer.start("forward", Request.TraceParent));
    Span->tag("host", Host);
    Traced = Request;
    Traced.TraceParent = Span->traceParent();
    Sent = &Traced;
  }
  Network_->execute(
      addressOf(Host), *Sent,
      [this, Task,
       Span](std::variant<CallerAnswer, PeerNetwork::Failure> Result) {
        if (Span)
          Span->finish();
        if (const auto *Answer = std::get_if<CallerAnswer>(&Result))
          Context_.Core->onForwardAnswer(Task, *Answer, currentTime());
        else
          Context_.Core->onForwardFailed(
              Task, std::get<PeerNetwork::Failure>(Result).Sent, currentTime());
        Context_.ScheduleTick();
      });
}

void PeerLinks::sendHeartbeat(const HostEntity &Host,
                              const PeerHeartbeat &Heartbeat) {
  Context_.HostMetrics.countControlMessage("heartbeat",
                                           payloadBytes(Heartbeat));
  HostEntity Target;
  Target.Name = Host.Name;
  Target.PeerAddress = Host.PeerAddress;
  Network_->heartbeat(
      Host.PeerAddress, Heartbeat,
      [this, Target](std::variant<PeerHeartbeat, PeerNetwork::Failure> Reply) {
        onHeartbeatReply(Target, std::move(Reply));
      });
}

void PeerLinks::onHeartbeatReply(
    const HostEntity &Host,
    std::variant<PeerHeartbeat, PeerNetwork::Failure> Reply) {
  if (const auto *Heartbeat = std::get_if<PeerHeartbeat>(&Reply)) {
    Context_.Core->membership().onHeartbeat(*Heartbeat, currentTime());
    if (UnreachableAddresses_.erase(Host.PeerAddress) > 0)
      logEvent(LogEvent::PeerReached, {{"address", Host.PeerAddress}});
  } else {
    Context_.Core->membership().onPeerConnectionLost(Host.Name, currentTime());
    if (UnreachableAddresses_.insert(Host.PeerAddress).second)
      logEvent(LogEvent::PeerUnreachable,
               {{"address", Host.PeerAddress},
                {"error", std::get<PeerNetwork::Failure>(Reply).Detail}});
  }
  Context_.ScheduleTick();
}

void PeerLinks::fetchConfiguration(const HostName &Host) {
  Network_->getConfiguration(
      addressOf(Host),
      [this, Host](std::variant<std::pair<std::uint64_t, std::string>,
                                PeerNetwork::Failure>
                       Result) {
        ConfigurationSystem &Current = Context_.Core->configuration();
        if (const auto *Found =
                std::get_if<std::pair<std::uint64_t, std::string>>(&Result)) {
          Context_.HostMetrics.countControlMessage("configuration",
                                                   Found->second.size());
          Current.onPeerConfiguration(Host, Found->first, Found->second,
                                      currentTime());
        } else {
          Current.onPeerFailed(Host, currentTime());
        }
        Context_.ScheduleTick();
      });
}

} // namespace nutmegloom
