#include "protocol/peerloop.h"

#include "protocol/peercodec.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <charconv>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace nutmegloom {

using Configuration = std::pair<std::uint64_t, std::string>;

/// A statement and a configuration have at most 1 MiB each; the rest is for the
/// other fields. A longer message closes the connection.
static constexpr std::uint64_t MaximumRpcMessageBytes = std::uint64_t(4) << 20;
/// Limit for the unanswered calls of one connection. It isn't read while they
/// exceed the limit.
static constexpr std::uint64_t FlowLimitBytes = 4 * MaximumRpcMessageBytes;
static constexpr std::size_t MaximumAcceptedConnections = 16384;

static constexpr auto ConnectTimeout = 1 * kj::SECONDS;
static constexpr auto HeartbeatTimeout = 1 * kj::SECONDS;
static constexpr auto ConfigurationTimeout = 2 * kj::SECONDS;
/// The owner may answer as late as the deadline; the answer takes time to
/// arrive.
static constexpr auto ExecuteTimeoutMargin = 500 * kj::MILLISECONDS;
static constexpr auto InitialBackoff = 100 * kj::MILLISECONDS;
static constexpr auto MaximumBackoff = 2 * kj::SECONDS;
/// Accepting fails while the process has no free file descriptors.
static constexpr auto AcceptRetryDelay = 100 * kj::MILLISECONDS;
static constexpr auto IdleTimeout = 60 * kj::SECONDS;
static constexpr auto IdleCheckInterval = 10 * kj::SECONDS;

bool PeerTaskQueue::post(Task Item) {
  const std::lock_guard Lock(Mutex_);
  if (Closed_)
    return false;
  Pending_.push_back(std::move(Item));
  KJ_IF_MAYBE (Fulfiller, Wakeup_) {
    (*Fulfiller)->fulfill();
    Wakeup_ = nullptr;
  }
  return true;
}

kj::Promise<void> PeerTaskQueue::whenPosted() {
  const std::lock_guard Lock(Mutex_);
  if (!Pending_.empty())
    return kj::READY_NOW;
  auto Pair = kj::newPromiseAndCrossThreadFulfiller<void>();
  Wakeup_ = kj::mv(Pair.fulfiller);
  return kj::mv(Pair.promise);
}

std::deque<PeerTaskQueue::Task> PeerTaskQueue::take() {
  const std::lock_guard Lock(Mutex_);
  return std::exchange(Pending_, {});
}

void PeerTaskQueue::close() {
  const std::lock_guard Lock(Mutex_);
  Closed_ = true;
  Pending_.clear();
  Wakeup_ = nullptr;
}

/// Fails the current call, but keeps the connection.
static void require(bool Condition, const char *Detail) {
  if (!Condition)
    kj::throwFatalException(KJ_EXCEPTION(FAILED, Detail));
}

static capnp::ReaderOptions readerOptions() {
  capnp::ReaderOptions Options;
  Options.traversalLimitInWords = MaximumRpcMessageBytes / sizeof(capnp::word);
  return Options;
}

/// Makes the kernel close connections to machines that are unreachable.
static void enableKeepAlive(kj::AsyncIoStream &Stream) {
  constexpr int On = 1;
  constexpr int IdleSeconds = 10;
  constexpr int IntervalSeconds = 5;
  constexpr int Probes = 3;
  const auto Set = [&](int Level, int Option, const int &Value) {
    Stream.setsockopt(Level, Option, &Value, sizeof(Value));
  };
  Set(SOL_SOCKET, SO_KEEPALIVE, On);
  Set(IPPROTO_TCP, TCP_KEEPIDLE, IdleSeconds);
  Set(IPPROTO_TCP, TCP_KEEPINTVL, IntervalSeconds);
  Set(IPPROTO_TCP, TCP_KEEPCNT, Probes);
}

/// Returns whether the text is "IP:port". KJ would also resolve names and open
/// Unix sockets, which must not be possible with addresses from peers.
static bool isPeerAddress(const std::string &Address) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::string Ip = Address.substr(0, Colon);
  if (Ip.size() > 2 && Ip.front() == '[' && Ip.back() == ']')
    Ip = Ip.substr(1, Ip.size() - 2);
  boost::system::error_code Error;
  boost::asio::ip::make_address(Ip, Error);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  const auto Parsed = std::from_chars(Address.data() + Colon + 1, End, Port);
  return !Error && Parsed.ec == std::errc() && Parsed.ptr == End;
}

/// An outgoing connection.
struct PeerLoop::Connection {
  kj::Own<kj::AsyncIoStream> Stream;
  kj::Own<capnp::TwoPartyVatNetwork> Network;
  kj::Own<capnp::RpcSystem<capnp::rpc::twoparty::VatId>> System;
  kj::Maybe<wire::Peer::Client> Client;
  kj::ForkedPromise<void> Ready = kj::Promise<void>(kj::READY_NOW).fork();
  bool Open = false;

  void open(kj::Own<kj::AsyncIoStream> Connected) {
    Stream = kj::mv(Connected);
    enableKeepAlive(*Stream);
    Network = kj::heap<capnp::TwoPartyVatNetwork>(
        *Stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions());
    System = kj::heap(capnp::makeRpcClient(*Network));
    capnp::MallocMessageBuilder Message;
    auto Id = Message.initRoot<capnp::rpc::twoparty::VatId>();
    Id.setSide(capnp::rpc::twoparty::Side::SERVER);
    Client = System->bootstrap(Id).castAs<wire::Peer>();
    Open = true;
  }

  /// Closes the connection, which fails its pending calls.
  void close() {
    Open = false;
    Client = nullptr;
    System = nullptr;
    Network = nullptr;
    Stream = nullptr;
  }
};

struct PeerLoop::Peer {
  std::shared_ptr<Connection> Link;
  kj::Duration Backoff = 0 * kj::SECONDS;
  kj::TimePoint RetryAt = kj::origin<kj::TimePoint>();
  kj::TimePoint UsedAt = kj::origin<kj::TimePoint>();
  std::size_t Calls = 0;
};

/// An accepted connection.
struct PeerLoop::Accepted {
  kj::Own<kj::AsyncIoStream> Stream;
  capnp::TwoPartyVatNetwork Network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> System;

  Accepted(kj::Own<kj::AsyncIoStream> Connected, capnp::Capability::Client Root)
      : Stream(kj::mv(Connected)),
        Network(*Stream, capnp::rpc::twoparty::Side::SERVER, readerOptions()),
        System(capnp::makeRpcServer(Network, kj::mv(Root))) {
    System.setFlowLimit(FlowLimitBytes / sizeof(capnp::word));
  }
};

class PeerLoop::Server : public wire::Peer::Server {
public:
  explicit Server(PeerLoop &Loop) : Loop_(Loop) {}

protected:
  kj::Promise<void> execute(ExecuteContext Context) override {
    std::optional<CallerRequest> Request = readPeerMessage(
        Context.getParams().getRequest(), std::chrono::steady_clock::now());
    require(Request.has_value(), "the request has an unknown enumerator name");
    Context.releaseParams();
    Context.allowCancellation();
    const std::uint64_t Call = Loop_.NextCall_++;
    auto Pair = kj::newPromiseAndCrossThreadFulfiller<CallerAnswer>();
    Loop_.Service_->Execute(Call, std::move(*Request), share(Pair.fulfiller));
    return Pair.promise
        .then([Context](const CallerAnswer &Answer) mutable {
          require(Answer.Body.size() + Answer.Detail.size() <
                      MaximumRpcMessageBytes / 2,
                  "the answer is too large");
          writePeerMessage(Answer, Context.getResults().initAnswer());
        })
        .attach(
            // The call may be destroyed after the loop, so it shares ownership
            // of the service.
            kj::defer(
                [Service = Loop_.Service_, Call] { Service->Cancel(Call); }));
  }

  kj::Promise<void> heartbeat(HeartbeatContext Context) override {
    std::optional<PeerHeartbeat> Heartbeat =
        readPeerMessage(Context.getParams().getHeartbeat());
    require(Heartbeat.has_value(), "the heartbeat is not valid");
    auto Pair = kj::newPromiseAndCrossThreadFulfiller<PeerHeartbeat>();
    Loop_.Service_->Heartbeat(std::move(*Heartbeat), share(Pair.fulfiller));
    return Pair.promise.then([Context](const PeerHeartbeat &Own) mutable {
      writePeerMessage(Own, Context.getResults().initHeartbeat());
    });
  }

  kj::Promise<void> getConfiguration(GetConfigurationContext Context) override {
    auto Pair = kj::newPromiseAndCrossThreadFulfiller<Configuration>();
    Loop_.Service_->Configuration(share(Pair.fulfiller));
    return Pair.promise.then([Context](const Configuration &Own) mutable {
      require(Own.second.size() < MaximumRpcMessageBytes / 2,
              "the configuration is too large");
      auto Result = Context.getResults().initConfiguration();
      Result.setVersion(Own.first);
      Result.setText(Own.second);
    });
  }

private:
  template <typename T>
  static std::shared_ptr<kj::Own<T>> share(kj::Own<T> &Fulfiller) {
    return std::make_shared<kj::Own<T>>(kj::mv(Fulfiller));
  }

  PeerLoop &Loop_;
};

PeerLoop::PeerLoop(kj::AsyncIoContext &Context, PeerTaskQueue &TaskQueue)
    : Context_(Context), Timer_(Context.provider->getTimer()),
      TaskQueue_(TaskQueue), Tasks_(*this) {
  Tasks_.add(closeIdleConnections());
}

PeerLoop::~PeerLoop() noexcept(false) = default;

void PeerLoop::taskFailed(kj::Exception &&) {
  // Tasks report their failures themselves. The others concern connections that
  // are already closed.
}

void PeerLoop::run() {
  while (!Stopped_) {
    TaskQueue_.whenPosted().wait(Context_.waitScope);
    for (const PeerTaskQueue::Task &Item : TaskQueue_.take())
      // An exception that a task doesn't handle must not end the loop.
      (void)kj::runCatchingExceptions([&] { Item(*this); });
  }
}

void PeerLoop::listen(
    const std::string &Address, PeerLoopService Service,
    const std::function<void(std::variant<std::string, PeerNetwork::Failure>)>
        &Handler) {
  if (!isPeerAddress(Address)) {
    Handler(PeerNetwork::Failure{false, "address \"" + Address +
                                            "\" is not of the form IP:port"});
    return;
  }
  Service_ = std::make_shared<const PeerLoopService>(std::move(Service));
  Tasks_.add(
      parseAddress(Address)
          .then([this, Address, Handler](kj::Own<kj::NetworkAddress> Parsed) {
            Receiver_ = Parsed->listen();
            Handler(Address.substr(0, Address.rfind(':') + 1) +
                    std::to_string(Receiver_->getPort()));
            Tasks_.add(acceptConnections());
          })
          .catch_([Handler](kj::Exception &&Failure) {
            Handler(
                PeerNetwork::Failure{false, Failure.getDescription().cStr()});
          }));
}

kj::Promise<kj::Own<kj::NetworkAddress>>
PeerLoop::parseAddress(const std::string &Address) {
  return kj::evalNow(
      [&] { return Context_.provider->getNetwork().parseAddress(Address); });
}

kj::Promise<void> PeerLoop::acceptConnections() {
  return Receiver_->accept().then(
      [this](kj::Own<kj::AsyncIoStream> Stream) {
        serve(kj::mv(Stream));
        return acceptConnections();
      },
      [this](kj::Exception &&) {
        return Timer_.afterDelay(AcceptRetryDelay).then([this] {
          return acceptConnections();
        });
      });
}

void PeerLoop::serve(kj::Own<kj::AsyncIoStream> Stream) {
  if (AcceptedCount_ >= MaximumAcceptedConnections)
    return;
  enableKeepAlive(*Stream);
  ++AcceptedCount_;
  auto Serving = kj::heap<Accepted>(kj::mv(Stream), kj::heap<Server>(*this));
  auto Disconnected = Serving->Network.onDisconnect();
  Tasks_.add(Disconnected.attach(kj::mv(Serving),
                                 kj::defer([this] { --AcceptedCount_; })));
}

std::shared_ptr<PeerLoop::Connection>
PeerLoop::connect(const std::string &Address) {
  if (!isPeerAddress(Address))
    return nullptr;
  Peer &Target = Peers_[Address];
  Target.UsedAt = Timer_.now();
  if (Target.Link)
    return Target.Link;
  if (Timer_.now() < Target.RetryAt)
    return nullptr;
  auto Link = std::make_shared<Connection>();
  Target.Link = Link;
  auto Opened =
      parseAddress(Address).then([](kj::Own<kj::NetworkAddress> Parsed) {
        auto Connected = Parsed->connect();
        return Connected.attach(kj::mv(Parsed));
      });
  Link->Ready = Timer_.timeoutAfter(ConnectTimeout, kj::mv(Opened))
                    .then([this, Address, Weak = std::weak_ptr(Link)](
                              kj::Own<kj::AsyncIoStream> Stream) {
                      const auto Opening = Weak.lock();
                      if (!Opening)
                        return;
                      Opening->open(kj::mv(Stream));
                      const auto Broken = [this, Address, Weak] {
                        if (const auto Current = Weak.lock())
                          dropConnection(Address, Current);
                      };
                      Tasks_.add(Opening->Network->onDisconnect().then(
                          [Broken] { Broken(); },
                          [Broken](kj::Exception &&) { Broken(); }));
                    })
                    .fork();
  return Link;
}

void PeerLoop::dropConnection(const std::string &Address,
                              const std::shared_ptr<Connection> &Link) {
  const auto Found = Peers_.find(Address);
  if (Found == Peers_.end() || Found->second.Link != Link)
    return;
  Peer &Target = Found->second;
  Target.Link.reset();
  Target.Backoff = std::clamp<kj::Duration>(Target.Backoff * 2, InitialBackoff,
                                            MaximumBackoff);
  Target.RetryAt = Timer_.now() + Target.Backoff;
  // Closed in a later event, because the current one may belong to the
  // connection.
  Tasks_.add(kj::evalLater([Link] { Link->close(); }));
}

template <typename T, typename Send>
void PeerLoop::call(const std::string &Address, kj::Duration Timeout,
                    bool CloseOnTimeout, Send Start, Handler<T> Done) {
  const std::shared_ptr<Connection> Link = connect(Address);
  if (!Link) {
    Done(PeerNetwork::Failure{false, "no connection to " + Address});
    return;
  }
  ++Peers_[Address].Calls;
  const auto Sent = std::make_shared<bool>(false);
  kj::Promise<T> Result = Link->Ready.addBranch().then(
      [Link, Sent, Start = std::move(Start)]() mutable -> kj::Promise<T> {
        KJ_IF_MAYBE (Client, Link->Client) {
          *Sent = true;
          return Start(*Client);
        }
        return KJ_EXCEPTION(DISCONNECTED, "the connection was closed");
      });
  Tasks_.add(
      Timer_.timeoutAfter(Timeout, kj::mv(Result))
          .then(
              [this, Address, Done](T Value) {
                Peers_[Address].Backoff = 0 * kj::SECONDS;
                Done(std::move(Value));
              },
              [this, Address, Link, Sent, CloseOnTimeout,
               Done](kj::Exception &&Failure) {
                // KJ reports timeouts as OVERLOADED. A heartbeat without a
                // reply shows that the connection is dead; a slow statement
                // doesn't.
                if (!*Sent ||
                    Failure.getType() == kj::Exception::Type::DISCONNECTED ||
                    (CloseOnTimeout &&
                     Failure.getType() == kj::Exception::Type::OVERLOADED))
                  dropConnection(Address, Link);
                Done(PeerNetwork::Failure{*Sent,
                                          Failure.getDescription().cStr()});
              })
          .attach(kj::defer([this, Address] {
            if (const auto Found = Peers_.find(Address); Found != Peers_.end())
              --Found->second.Calls;
          })));
}

void PeerLoop::execute(const std::string &Address, const CallerRequest &Request,
                       Handler<CallerAnswer> Handler) {
  if (Request.Statement.size() >= MaximumRpcMessageBytes / 2) {
    Handler(PeerNetwork::Failure{false, "the statement is too large"});
    return;
  }
  const TimePoint Now = std::chrono::steady_clock::now();
  const auto Left = std::chrono::duration_cast<Milliseconds>(
      std::max(Request.Deadline - Now, Duration(0)));
  call<CallerAnswer>(
      Address, Left.count() * kj::MILLISECONDS + ExecuteTimeoutMargin, false,
      [Request](wire::Peer::Client &Client) {
        auto Call = Client.executeRequest();
        writePeerMessage(Request, std::chrono::steady_clock::now(),
                         Call.initRequest());
        return Call.send().then([](auto &&Response) {
          std::optional<CallerAnswer> Answer =
              readPeerMessage(Response.getAnswer());
          require(Answer.has_value(),
                  "the answer has an unknown enumerator name");
          return std::move(*Answer);
        });
      },
      std::move(Handler));
}

void PeerLoop::heartbeat(const std::string &Address,
                         const PeerHeartbeat &Heartbeat,
                         Handler<PeerHeartbeat> Handler) {
  call<PeerHeartbeat>(
      Address, HeartbeatTimeout, true,
      [Heartbeat](wire::Peer::Client &Client) {
        auto Call = Client.heartbeatRequest();
        writePeerMessage(Heartbeat, Call.initHeartbeat());
        return Call.send().then([](auto &&Response) {
          std::optional<PeerHeartbeat> Reply =
              readPeerMessage(Response.getHeartbeat());
          require(Reply.has_value(), "the heartbeat is not valid");
          return std::move(*Reply);
        });
      },
      std::move(Handler));
}

void PeerLoop::getConfiguration(const std::string &Address,
                                Handler<Configuration> Handler) {
  call<Configuration>(
      Address, ConfigurationTimeout, false,
      [](wire::Peer::Client &Client) {
        return Client.getConfigurationRequest().send().then(
            [](auto &&Response) {
              const auto Result = Response.getConfiguration();
              const auto Text = Result.getText();
              return Configuration(Result.getVersion(),
                                   std::string(Text.begin(), Text.size()));
            });
      },
      std::move(Handler));
}

kj::Promise<void> PeerLoop::closeIdleConnections() {
  return Timer_.afterDelay(IdleCheckInterval).then([this] {
    std::erase_if(Peers_, [this](const auto &Entry) {
      const Peer &Target = Entry.second;
      if (Target.Calls > 0 || Timer_.now() - Target.UsedAt < IdleTimeout)
        return false;
      if (Target.Link)
        Tasks_.add(kj::evalLater([Link = Target.Link] { Link->close(); }));
      return true;
    });
    return closeIdleConnections();
  });
}

} // namespace nutmegloom
