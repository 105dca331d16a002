#ifndef NUTMEGLOOM_PROTOCOL_PEERLOOP_H
#define NUTMEGLOOM_PROTOCOL_PEERLOOP_H

#include "protocol/peer.capnp.h"
#include "protocol/peernetwork.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <deque>
#include <map>
#include <mutex>

namespace nutmegloom {

class PeerLoop;

/// Queue of tasks from any thread for the thread of the KJ event loop.
class PeerTaskQueue {
public:
  using Task = std::function<void(PeerLoop &)>;

  /// Adds a task. Returns false if the loop has ended.
  bool post(Task Item);
  /// Resolves once a task is queued. Must be called on the loop's thread.
  kj::Promise<void> whenPosted();
  std::deque<Task> take();
  /// Discards the queued tasks and rejects new ones.
  void close();

private:
  std::mutex Mutex_;
  std::deque<Task> Pending_;
  bool Closed_ = false;
  kj::Maybe<kj::Own<kj::CrossThreadPromiseFulfiller<void>>> Wakeup_;
};

/// Handlers for the requests of peers. They are called on the loop's thread;
/// the result may be fulfilled from any thread.
struct PeerLoopService {
  template <typename T>
  using Fulfiller =
      std::shared_ptr<kj::Own<kj::CrossThreadPromiseFulfiller<T>>>;

  std::function<void(std::uint64_t Call, CallerRequest,
                     Fulfiller<CallerAnswer>)>
      Execute;
  /// The call has ended: it was answered, the peer has cancelled it, or the
  /// peer has disconnected.
  std::function<void(std::uint64_t Call)> Cancel;
  std::function<void(PeerHeartbeat, Fulfiller<PeerHeartbeat>)> Heartbeat;
  std::function<void(Fulfiller<std::pair<std::uint64_t, std::string>>)>
      Configuration;
};

/// Connections and RPC calls between this host and its peers. All functions
/// must be called on the thread of the KJ event loop.
class PeerLoop : private kj::TaskSet::ErrorHandler {
public:
  template <typename T>
  using Handler = std::function<void(std::variant<T, PeerNetwork::Failure>)>;

  PeerLoop(kj::AsyncIoContext &Context, PeerTaskQueue &TaskQueue);
  ~PeerLoop() noexcept(false);

  /// Runs queued tasks until stop() is called.
  void run();
  void stop() { Stopped_ = true; }

  void listen(
      const std::string &Address, PeerLoopService Service,
      const std::function<void(std::variant<std::string, PeerNetwork::Failure>)>
          &Handler);
  void execute(const std::string &Address, const CallerRequest &Request,
               Handler<CallerAnswer> Handler);
  void heartbeat(const std::string &Address, const PeerHeartbeat &Heartbeat,
                 Handler<PeerHeartbeat> Handler);
  void getConfiguration(const std::string &Address,
                        Handler<std::pair<std::uint64_t, std::string>> Handler);

private:
  struct Connection;
  struct Peer;
  struct Accepted;
  class Server;

  template <typename T, typename Send>
  void call(const std::string &Address, kj::Duration Timeout,
            bool CloseOnTimeout, Send Start, Handler<T> Done);
  kj::Promise<kj::Own<kj::NetworkAddress>>
  parseAddress(const std::string &Address);
  std::shared_ptr<Connection> connect(const std::string &Address);
  void dropConnection(const std::string &Address,
                      const std::shared_ptr<Connection> &Link);
  kj::Promise<void> acceptConnections();
  void serve(kj::Own<kj::AsyncIoStream> Stream);
  kj::Promise<void> closeIdleConnections();
  void taskFailed(kj::Exception &&Failure) override;

  kj::AsyncIoContext &Context_;
  kj::Timer &Timer_;
  PeerTaskQueue &TaskQueue_;
  bool Stopped_ = false;
  std::shared_ptr<const PeerLoopService> Service_;
  std::uint64_t NextCall_ = 1;
  std::map<std::string, Peer> Peers_;
  std::size_t AcceptedCount_ = 0;
  kj::Own<kj::ConnectionReceiver> Receiver_;
  kj::TaskSet Tasks_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_PEERLOOP_H
