#ifndef NUTMEGLOOM_NUTMEGLOOMD_PEERLINKS_H
#define NUTMEGLOOM_NUTMEGLOOMD_PEERLINKS_H

#include "nutmegloomd/hostcontext.h"
#include "protocol/peernetwork.h"

#include <set>
#include <unordered_map>

namespace nutmegloom {

/// Exchanges forwarded tasks, heartbeats and configurations with other hosts.
/// Replies and failures are reported to the engine.
class PeerLinks {
public:
  PeerLinks(HostContext &Context, const std::string &ListenAddress);

  /// Starts to serve other hosts. Returns the address of the open port.
  std::variant<std::string, PeerNetwork::Failure> listen();
  void stop();

  void forward(const HostName &Host, TaskId Task, const CallerRequest &Request);
  void sendHeartbeat(const HostEntity &Host, const PeerHeartbeat &Heartbeat);
  void fetchConfiguration(const HostName &Host);

  /// Sends the answer of the task. Returns false if the task was not forwarded
  /// by another host or was cancelled.
  bool answer(TaskId Task, const CallerAnswer &Answer);
  /// Number of tasks of other hosts without an answer.
  std::size_t inProgress() const { return ServedTasks_.size(); }

private:
  struct ServedTask {
    PeerNetwork::AnswerFunction Answer;
    TraceSpan Span;
  };

  std::function<void()> execute(const CallerRequest &Request,
                                PeerNetwork::AnswerFunction Answer);
  void
  onHeartbeatReply(const HostEntity &Host,
                   std::variant<PeerHeartbeat, PeerNetwork::Failure> Reply);
  std::string addressOf(const HostName &Host) const;

  HostContext &Context_;
  std::shared_ptr<PeerNetwork> Network_;
  std::unordered_map<TaskId, ServedTask> ServedTasks_;
  std::set<std::string> UnreachableAddresses_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_NUTMEGLOOMD_PEERLINKS_H
