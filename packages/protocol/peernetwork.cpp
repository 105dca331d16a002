#include "protocol/peernetwork.h"

#include "protocol/peerloop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <csignal>
#include <future>
#include <thread>

namespace nutmegloom {

using Configuration = std::pair<std::uint64_t, std::string>;

/// For each kind of call. Further calls fail as not sent.
static constexpr std::size_t MaximumPendingCalls = 65536;

namespace {

class CapnpPeerNetwork : public PeerNetwork,
                         public std::enable_shared_from_this<CapnpPeerNetwork> {
public:
  CapnpPeerNetwork(boost::asio::io_context &Io, std::string ListenAddress)
      : Io_(Io), ListenAddress_(std::move(ListenAddress)) {}
  ~CapnpPeerNetwork() override { stop(); }
  CapnpPeerNetwork(const CapnpPeerNetwork &) = delete;
  CapnpPeerNetwork &operator=(const CapnpPeerNetwork &) = delete;

  void start();
  std::variant<std::string, Failure> listen(Service Functions) override;
  void execute(const std::string &Address, const CallerRequest &Request,
               std::function<void(std::variant<CallerAnswer, Failure>)> Handler)
      override;
  void heartbeat(const std::string &Address, const PeerHeartbeat &Heartbeat,
                 std::function<void(std::variant<PeerHeartbeat, Failure>)>
                     Handler) override;
  void
  getConfiguration(const std::string &Address,
                   std::function<void(std::variant<Configuration, Failure>)>
                       Handler) override;
  void stop() override;

private:
  template <typename T>
  using Handler = std::function<void(std::variant<T, Failure>)>;
  template <typename T> using Result = PeerLoop::Handler<T>;

  template <typename T, typename SendFunction>
  void startCall(std::map<std::uint64_t, Handler<T>> &Pending, Handler<T> Done,
                 SendFunction Send);
  template <typename Task> auto postToIo(Task Item);
  PeerLoopService makeService();
  void cancelServed(std::uint64_t Call);
  void serveExecute(std::uint64_t Call, const CallerRequest &Request,
                    const PeerLoopService::Fulfiller<CallerAnswer> &Answer);

  boost::asio::io_context &Io_;
  std::string ListenAddress_;
  Service Service_;
  std::shared_ptr<PeerTaskQueue> TaskQueue_ = std::make_shared<PeerTaskQueue>();
  std::thread Thread_;
  bool Stopped_ = false;
  std::uint64_t NextCall_ = 1;
  std::map<std::uint64_t, Handler<CallerAnswer>> PendingExecutes_;
  std::map<std::uint64_t, Handler<PeerHeartbeat>> PendingHeartbeats_;
  std::map<std::uint64_t, Handler<Configuration>> PendingConfigurations_;
  /// Cancel functions of the requests that are executed for peers.
  std::map<std::uint64_t, std::function<void()>> Served_;
};

} // namespace

/// Runs the KJ event loop until a queued task stops it.
static void runLoop(PeerTaskQueue &TaskQueue) {
  try {
    kj::AsyncIoContext Context = kj::setupAsyncIo();
    PeerLoop Loop(Context, TaskQueue);
    Loop.run();
  } catch (...) {
    // Without a loop every call fails as not sent, which reports the error.
  }
  TaskQueue.close();
}

void CapnpPeerNetwork::start() {
  // The thread inherits the mask: signals are handled by the other threads.
  sigset_t All;
  sigset_t Before;
  sigfillset(&All);
  pthread_sigmask(SIG_SETMASK, &All, &Before);
  Thread_ = std::thread([TaskQueue = TaskQueue_] { runLoop(*TaskQueue); });
  pthread_sigmask(SIG_SETMASK, &Before, nullptr);
}

/// Returns a function that posts Item to the io_context, with the network as
/// its first argument. Item isn't run if the network has been stopped or
/// destroyed by then.
template <typename Task> auto CapnpPeerNetwork::postToIo(Task Item) {
  return [Io = &Io_, Weak = weak_from_this(), Item](auto... Arguments) {
    boost::asio::post(
        *Io, [Weak, Item, ... Values = std::move(Arguments)]() mutable {
          if (const auto Self = Weak.lock(); Self && !Self->Stopped_)
            Item(*Self, std::move(Values)...);
        });
  };
}

template <typename T, typename SendFunction>
void CapnpPeerNetwork::startCall(std::map<std::uint64_t, Handler<T>> &Pending,
                                 Handler<T> Done, SendFunction Send) {
  const auto Fail = [&](const char *Detail) {
    boost::asio::post(Io_, [Done, Detail] { Done(Failure{false, Detail}); });
  };
  if (Pending.size() >= MaximumPendingCalls) {
    Fail("too many pending calls to peers");
    return;
  }
  const std::uint64_t Call = NextCall_++;
  Result<T> Deliver = postToIo(
      [&Pending, Call](CapnpPeerNetwork &, std::variant<T, Failure> Value) {
        const auto Found = Pending.find(Call);
        if (Found == Pending.end())
          return;
        const Handler<T> OnResult = std::move(Found->second);
        Pending.erase(Found);
        OnResult(std::move(Value));
      });
  const bool Posted =
      !Stopped_ && TaskQueue_->post([Send, Deliver](PeerLoop &Loop) {
        Send(Loop, Deliver);
      });
  if (!Posted) {
    Fail("the peer network is stopped");
    return;
  }
  Pending.emplace(Call, std::move(Done));
}

void CapnpPeerNetwork::execute(const std::string &Address,
                               const CallerRequest &Request,
                               Handler<CallerAnswer> Done) {
  startCall(
      PendingExecutes_, std::move(Done),
      [Address, Request](PeerLoop &Loop, const Result<CallerAnswer> &Deliver) {
        Loop.execute(Address, Request, Deliver);
      });
}

void CapnpPeerNetwork::heartbeat(const std::string &Address,
                                 const PeerHeartbeat &Heartbeat,
                                 Handler<PeerHeartbeat> Done) {
  startCall(PendingHeartbeats_, std::move(Done),
            [Address, Heartbeat](PeerLoop &Loop,
                                 const Result<PeerHeartbeat> &Deliver) {
              Loop.heartbeat(Address, Heartbeat, Deliver);
            });
}

void CapnpPeerNetwork::getConfiguration(const std::string &Address,
                                        Handler<Configuration> Done) {
  startCall(PendingConfigurations_, std::move(Done),
            [Address](PeerLoop &Loop, const Result<Configuration> &Deliver) {
              Loop.getConfiguration(Address, Deliver);
            });
}

void CapnpPeerNetwork::serveExecute(
    std::uint64_t Call, const CallerRequest &Request,
    const PeerLoopService::Fulfiller<CallerAnswer> &Answer) {
  // The entry must exist before the call, because Execute may answer at once.
  Served_.emplace(Call, nullptr);
  std::function<void()> Cancel =
      Service_.Execute(Request, [Weak = weak_from_this(), Call,
                                 Answer](const CallerAnswer &Value) {
        if (const auto Self = Weak.lock())
          Self->Served_.erase(Call);
        (*Answer)->fulfill(CallerAnswer(Value));
      });
  if (const auto Found = Served_.find(Call); Found != Served_.end())
    Found->second = std::move(Cancel);
}

void CapnpPeerNetwork::cancelServed(std::uint64_t Call) {
  const auto Found = Served_.find(Call);
  if (Found == Served_.end())
    return;
  const std::function<void()> Cancel = std::move(Found->second);
  Served_.erase(Found);
  if (Cancel)
    Cancel();
}

PeerLoopService CapnpPeerNetwork::makeService() {
  return {postToIo([](CapnpPeerNetwork &Self, std::uint64_t Call,
                      const CallerRequest &Request,
                      const PeerLoopService::Fulfiller<CallerAnswer> &Answer) {
            Self.serveExecute(Call, Request, Answer);
          }),
          postToIo([](CapnpPeerNetwork &Self, std::uint64_t Call) {
            Self.cancelServed(Call);
          }),
          postToIo([](CapnpPeerNetwork &Self, const PeerHeartbeat &Heartbeat,
                      const PeerLoopService::Fulfiller<PeerHeartbeat> &Answer) {
            (*Answer)->fulfill(Self.Service_.Heartbeat(Heartbeat));
          }),
          postToIo([](CapnpPeerNetwork &Self,
                      const PeerLoopService::Fulfiller<Configuration> &Answer) {
            (*Answer)->fulfill(Self.Service_.Configuration());
          })};
}

std::variant<std::string, PeerNetwork::Failure>
CapnpPeerNetwork::listen(Service Functions) {
  Service_ = std::move(Functions);
  const auto Result =
      std::make_shared<std::promise<std::variant<std::string, Failure>>>();
  std::future<std::variant<std::string, Failure>> Listening =
      Result->get_future();
  const bool Posted = !Stopped_ && TaskQueue_->post([Address = ListenAddress_,
                                                     Made = makeService(),
                                                     Result](PeerLoop &Loop) {
    Loop.listen(Address, Made,
                [Result](auto Value) { Result->set_value(std::move(Value)); });
  });
  if (!Posted)
    return Failure{false, "the peer network is stopped"};
  try {
    return Listening.get();
  } catch (const std::future_error &) {
    return Failure{false, "the event loop could not be started"};
  }
}

void CapnpPeerNetwork::stop() {
  if (std::exchange(Stopped_, true))
    return;
  TaskQueue_->post([](PeerLoop &Loop) { Loop.stop(); });
  if (Thread_.joinable())
    Thread_.join();
  const auto FailAll = [this](auto &Pending) {
    for (auto &[Call, Done] : std::exchange(Pending, {}))
      boost::asio::post(Io_, [Done = std::move(Done)] {
        Done(Failure{true, "the peer network was stopped"});
      });
  };
  FailAll(PendingExecutes_);
  FailAll(PendingHeartbeats_);
  FailAll(PendingConfigurations_);
  Served_.clear();
}

std::shared_ptr<PeerNetwork> makePeerNetwork(boost::asio::io_context &Io,
                                             std::string ListenAddress) {
  auto Network =
      std::make_shared<CapnpPeerNetwork>(Io, std::move(ListenAddress));
  Network->start();
  return Network;
}

} // namespace nutmegloom
