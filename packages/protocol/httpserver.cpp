#include "protocol/httpserver.h"

#include "protocol/problemdetails.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <optional>
#include <unordered_map>

namespace nutmegloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t HeaderChunkBytes = 4096;
constexpr std::size_t BodyChunkBytes = 65536;
/// After the last response of a connection, input is discarded up to this limit
/// before the connection is closed. Closing with unread input sends a reset,
/// which can destroy a response that the caller hasn't read yet.
constexpr std::size_t MaximumDiscardedBytes = 4194304;
constexpr Milliseconds DiscardTimeout{2000};
/// Connections above the limit to which an error response is sent at the same
/// time. Further ones are closed at once.
constexpr std::size_t MaximumPendingRefusals = 64;
/// One timer checks all deadlines, so that requests need no timers of their
/// own.
constexpr Milliseconds DeadlineCheckInterval{100};
/// Delay after a failed accept, for example without free file descriptors.
constexpr Milliseconds AcceptRetryDelay{100};

class Server;

class ServerConnection final
    : public HttpServerRequest,
      public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(std::shared_ptr<Server> Owner, Tcp::socket Socket);
  ~ServerConnection();
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  void start();
  /// Sends an error response without reading a request.
  void refuse();
  void checkDeadline(TimePoint Now);
  /// Closes the connection if it is idle. Otherwise it closes after its
  /// response.
  void stop();

  std::string_view header(std::string_view Name) const override;

private:
  enum class Phase { Reading, Handling, Writing, Discarding, Closed };
  using Parser = http::request_parser<http::string_body>;

  void resetParser();
  void read();
  void onRead(error_code Error, std::size_t Size);
  void processInput();
  void onParseError(error_code Error);
  void handleRequest();
  void respond(std::uint64_t Number, HttpResponse Response);
  void refuseRequest(const Problem &Error);
  void write(HttpResponse Response, bool KeepAlive);
  void onWritten(error_code Error);
  void discardInput();
  void close();

  std::shared_ptr<Server> Server_;
  Tcp::socket Socket_;
  std::string Address_;
  Phase Phase_ = Phase::Reading;
  beast::flat_buffer Buffer_;
  std::optional<Parser> Parser_;
  std::optional<http::response<http::string_body>> Response_;
  std::function<void()> OnDisconnect_;
  std::uint64_t RequestNumber_ = 0;
  std::size_t Discarded_ = 0;
  TimePoint Deadline_ = TimePoint::max();
  /// The first byte of the current request has been received.
  bool RequestStarted_ = false;
  /// A request has been answered on this connection.
  bool RequestServed_ = false;
  bool ReadPending_ = false;
  bool InputEnded_ = false;
  bool ContinueSent_ = false;
  /// The response "100 Continue" is being written.
  bool ContinuePending_ = false;
};

class Server final : public HttpServer,
                     public std::enable_shared_from_this<Server> {
public:
  Server(asio::io_context &Io, HttpServerLimits Limits, Handler Serve)
      : Limits(Limits), Serve(std::move(Serve)), Acceptor_(Io),
        DeadlineTimer_(Io), AcceptRetryTimer_(Io) {}

  std::variant<std::string, Failure>
  listen(const std::string &Address) override;
  void setLimits(const HttpServerLimits &Next) override { Limits = Next; }
  void beginDrain() override { Draining = true; }
  void stop(std::function<void()> Stopped) override;
  std::size_t connections() const override { return Connections_.size(); }
  const HttpServerCounters &counters() const override { return Counters; }

  void remove(ServerConnection *Closed);

  HttpServerLimits Limits;
  Handler Serve;
  HttpServerCounters Counters;
  bool Draining = false;

private:
  void accept();
  void onAccept(error_code Error, Tcp::socket Socket);
  void checkDeadlines();
  std::vector<std::shared_ptr<ServerConnection>> openConnections() const;

  Tcp::acceptor Acceptor_;
  asio::steady_timer DeadlineTimer_;
  asio::steady_timer AcceptRetryTimer_;
  std::unordered_map<ServerConnection *, std::weak_ptr<ServerConnection>>
      Connections_;
  std::function<void()> OnStopped_;
  bool Stopping_ = false;
};

ServerConnection::ServerConnection(std::shared_ptr<Server> Owner,
                                   Tcp::socket Socket)
    : Server_(std::move(Owner)), Socket_(std::move(Socket)) {
  error_code Error;
  Socket_.set_option(Tcp::no_delay(true), Error);
  Tcp::endpoint Remote = Socket_.remote_endpoint(Error);
  if (!Error)
    Address_ = Remote.address().to_string();
  RemoteAddress = Address_;
}

ServerConnection::~ServerConnection() {
  // The connection is still open if the handler destroyed its Respond function
  // without calling it.
  if (Phase_ != Phase::Closed)
    Server_->remove(this);
}

void ServerConnection::start() {
  Deadline_ = std::chrono::steady_clock::now() + Server_->Limits.ReadTimeout;
  resetParser();
  read();
}

void ServerConnection::refuse() {
  write(makeProblemResponse({ErrorCode::Overloaded, Outcome::NotRun,
                             "the host has too many open connections",
                             Milliseconds(1000)}),
        false);
}

std::string_view ServerConnection::header(std::string_view Name) const {
  const auto &Message = Parser_->get();
  auto Field = Message.find(Name);
  if (Field == Message.end())
    return {};
  return Field->value();
}

void ServerConnection::resetParser() {
  Parser_.emplace();
  Parser_->eager(true);
  Parser_->header_limit(
      static_cast<std::uint32_t>(Server_->Limits.HeaderBytes));
  Parser_->body_limit(Server_->Limits.BodyBytes);
  RequestStarted_ = false;
  ContinueSent_ = false;
}

void ServerConnection::read() {
  if (ReadPending_ || InputEnded_ || Phase_ == Phase::Closed)
    return;
  bool InBody = Phase_ == Phase::Reading && Parser_->is_header_done();
  ReadPending_ = true;
  Socket_.async_read_some(
      Buffer_.prepare(InBody ? BodyChunkBytes : HeaderChunkBytes),
      [Self = shared_from_this()](error_code Error, std::size_t Size) {
        Self->onRead(Error, Size);
      });
}

void ServerConnection::onRead(error_code Error, std::size_t Size) {
  ReadPending_ = false;
  if (Phase_ == Phase::Closed)
    return;
  if (!Error)
    Buffer_.commit(Size);
  else
    InputEnded_ = true;

  switch (Phase_) {
  case Phase::Reading:
    if (!Error)
      return processInput();
    if (!RequestStarted_)
      return close();
    ++Server_->Counters.Malformed;
    // The caller may have shut down only its sending side.
    return refuseRequest(
        {ErrorCode::BadRequest, Outcome::NotRun, "the request is truncated"});
  case Phase::Handling:
    // Input in this phase is a pipelined request, which stays in the buffer.
    if (!Error)
      return;
    ++Server_->Counters.CallersGone;
    return close();
  case Phase::Writing:
    return;
  case Phase::Discarding:
    Discarded_ += Size;
    return discardInput();
  case Phase::Closed:
    return;
  }
}

void ServerConnection::processInput() {
  while (Buffer_.size() > 0) {
    if (!RequestStarted_) {
      RequestStarted_ = true;
      Deadline_ =
          std::chrono::steady_clock::now() + Server_->Limits.ReadTimeout;
    }
    error_code Error;
    std::size_t Consumed = Parser_->put(Buffer_.data(), Error);
    Buffer_.consume(Consumed);
    if (Error && Error != http::error::need_more)
      return onParseError(Error);
    if (Parser_->is_done())
      return handleRequest();
    if (Error || Consumed == 0)
      break;
  }
  if (Buffer_.size() > Server_->Limits.HeaderBytes + BodyChunkBytes)
    return onParseError(http::error::header_limit);
  if (Parser_->is_header_done() && !ContinueSent_ &&
      beast::iequals(Parser_->get()[http::field::expect], "100-continue")) {
    ContinueSent_ = true;
    ContinuePending_ = true;
    static constexpr std::string_view Continue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(
        Socket_, asio::buffer(Continue),
        [Self = shared_from_this()](error_code Error, std::size_t) {
          if (Error)
            Self->close();
          else
            Self->read();
        });
    return;
  }
  read();
}

void ServerConnection::onParseError(error_code Error) {
  ++Server_->Counters.Malformed;
  if (Error == http::error::header_limit)
    return refuseRequest({ErrorCode::HeaderTooLarge, Outcome::NotRun,
                          "the header is longer than " +
                              std::to_string(Server_->Limits.HeaderBytes) +
                              " bytes"});
  if (Error == http::error::body_limit)
    return refuseRequest({ErrorCode::TooLarge, Outcome::NotRun,
                          "the body is longer than " +
                              std::to_string(Server_->Limits.BodyBytes) +
                              " bytes"});
  refuseRequest({ErrorCode::BadRequest, Outcome::NotRun,
                 "the request is not valid HTTP/1.1: " + Error.message()});
}

void ServerConnection::refuseRequest(const Problem &Error) {
  write(makeProblemResponse(Error), false);
}

void ServerConnection::handleRequest() {
  Phase_ = Phase::Handling;
  Deadline_ = TimePoint::max();
  const auto &Message = Parser_->get();
  Method = Message.method_string();
  Target = Message.target();
  Body = Message.body();
  std::uint64_t Number = ++RequestNumber_;
  std::function<void()> OnDisconnect = Server_->Serve(
      *this, [Self = shared_from_this(), Number](HttpResponse Response) {
        Self->respond(Number, std::move(Response));
      });
  if (Phase_ != Phase::Handling || RequestNumber_ != Number)
    return;
  OnDisconnect_ = std::move(OnDisconnect);
  // A pending read detects a disconnect. With a pipelined request in the buffer
  // this would need unbounded read-ahead, so no read is started.
  if (Buffer_.size() == 0)
    read();
}

void ServerConnection::respond(std::uint64_t Number, HttpResponse Response) {
  if (Number != RequestNumber_ || Phase_ != Phase::Handling)
    return;
  OnDisconnect_ = nullptr;
  write(std::move(Response), Parser_->get().keep_alive() && !Server_->Draining);
}

void ServerConnection::write(HttpResponse Response, bool KeepAlive) {
  Phase_ = Phase::Writing;
  Deadline_ = std::chrono::steady_clock::now() + Server_->Limits.WriteTimeout;
  Response_.emplace(static_cast<http::status>(Response.Status), 11);
  for (const auto &[Name, Value] : Response.Headers)
    Response_->insert(Name, Value);
  Response_->body() = std::move(Response.Body);
  Response_->keep_alive(KeepAlive);
  Response_->prepare_payload();
  http::async_write(Socket_, *Response_,
                    [Self = shared_from_this()](error_code Error, std::size_t) {
                      Self->onWritten(Error);
                    });
}

void ServerConnection::onWritten(error_code Error) {
  if (Phase_ == Phase::Closed)
    return;
  bool KeepAlive = Response_->keep_alive();
  Response_.reset();
  if (Error || InputEnded_)
    return close();
  if (!KeepAlive || Server_->Draining) {
    Phase_ = Phase::Discarding;
    Deadline_ = std::chrono::steady_clock::now() + DiscardTimeout;
    error_code Ignored;
    Socket_.shutdown(Tcp::socket::shutdown_send, Ignored);
    if (!ReadPending_)
      discardInput();
    return;
  }
  RequestServed_ = true;
  Phase_ = Phase::Reading;
  Deadline_ = std::chrono::steady_clock::now() + Server_->Limits.IdleTimeout;
  resetParser();
  if (!ReadPending_)
    processInput();
}

void ServerConnection::discardInput() {
  if (InputEnded_ || Discarded_ > MaximumDiscardedBytes)
    return close();
  Buffer_.clear();
  read();
}

void ServerConnection::checkDeadline(TimePoint Now) {
  if (Now < Deadline_ || Phase_ == Phase::Closed)
    return;
  // While "100 Continue" is being written no error response can be sent,
  // because the bytes of concurrent writes would mix.
  if (Phase_ != Phase::Reading || ContinuePending_ ||
      (!RequestStarted_ && RequestServed_))
    return close();
  ++Server_->Counters.TimedOut;
  refuseRequest({ErrorCode::BadRequest, Outcome::NotRun,
                 "the request was not received within " +
                     std::to_string(Server_->Limits.ReadTimeout.count()) +
                     " ms",
                 Milliseconds(0), 408});
}

void ServerConnection::stop() {
  if (Phase_ == Phase::Reading && !RequestStarted_)
    close();
}

void ServerConnection::close() {
  if (Phase_ == Phase::Closed)
    return;
  Phase_ = Phase::Closed;
  error_code Ignored;
  Socket_.close(Ignored);
  Server_->remove(this);
  if (auto OnDisconnect = std::exchange(OnDisconnect_, nullptr))
    OnDisconnect();
}

std::optional<Tcp::endpoint> parseEndpoint(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  unsigned short Port = 0;
  const char *End = Address.data() + Address.size();
  auto [Rest, Status] = std::from_chars(Address.data() + Colon + 1, End, Port);
  error_code Error;
  auto Ip = asio::ip::make_address(Address.substr(0, Colon), Error);
  if (Error || Status != std::errc() || Rest != End)
    return std::nullopt;
  return Tcp::endpoint(Ip, Port);
}

std::variant<std::string, HttpServer::Failure>
Server::listen(const std::string &Address) {
  std::optional<Tcp::endpoint> Local = parseEndpoint(Address);
  if (!Local)
    return Failure{"\"" + Address + "\" is not of the form IP:port"};
  error_code Error;
  Acceptor_.open(Local->protocol(), Error);
  if (!Error)
    Acceptor_.set_option(Tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor_.bind(*Local, Error);
  if (!Error)
    Acceptor_.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return Failure{"cannot listen at " + Address + ": " + Error.message()};
  accept();
  checkDeadlines();
  Tcp::endpoint Bound = Acceptor_.local_endpoint(Error);
  return Bound.address().to_string() + ":" + std::to_string(Bound.port());
}

void Server::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](error_code Error, Tcp::socket Socket) {
        Self->onAccept(Error, std::move(Socket));
      });
}

void Server::onAccept(error_code Error, Tcp::socket Socket) {
  if (Stopping_)
    return;
  if (Error) {
    AcceptRetryTimer_.expires_after(AcceptRetryDelay);
    AcceptRetryTimer_.async_wait(
        [Self = shared_from_this()](error_code Cancelled) {
          if (!Cancelled && !Self->Stopping_)
            Self->accept();
        });
    return;
  }
  ++Counters.Accepted;
  bool Full = Connections_.size() >= Limits.Connections;
  if (Full)
    ++Counters.Refused;
  if (Connections_.size() < Limits.Connections + MaximumPendingRefusals) {
    auto Accepted = std::make_shared<ServerConnection>(shared_from_this(),
                                                       std::move(Socket));
    Connections_.emplace(Accepted.get(), Accepted);
    if (Full)
      Accepted->refuse();
    else
      Accepted->start();
  }
  accept();
}

std::vector<std::shared_ptr<ServerConnection>> Server::openConnections() const {
  std::vector<std::shared_ptr<ServerConnection>> Live;
  Live.reserve(Connections_.size());
  for (const auto &[Key, Weak] : Connections_)
    if (auto Strong = Weak.lock())
      Live.push_back(std::move(Strong));
  return Live;
}

void Server::checkDeadlines() {
  DeadlineTimer_.expires_after(DeadlineCheckInterval);
  DeadlineTimer_.async_wait([Self = shared_from_this()](error_code Cancelled) {
    if (Cancelled)
      return;
    TimePoint Now = std::chrono::steady_clock::now();
    for (const auto &Live : Self->openConnections())
      Live->checkDeadline(Now);
    if (!Self->Stopping_ || !Self->Connections_.empty())
      Self->checkDeadlines();
  });
}

void Server::stop(std::function<void()> Stopped) {
  Stopping_ = true;
  Draining = true;
  OnStopped_ = std::move(Stopped);
  error_code Ignored;
  Acceptor_.close(Ignored);
  AcceptRetryTimer_.cancel();
  for (const auto &Live : openConnections())
    Live->stop();
  if (Connections_.empty())
    remove(nullptr);
}

void Server::remove(ServerConnection *Closed) {
  Connections_.erase(Closed);
  if (!Stopping_ || !Connections_.empty())
    return;
  DeadlineTimer_.cancel();
  if (auto Stopped = std::exchange(OnStopped_, nullptr))
    Stopped();
}

} // namespace

std::shared_ptr<HttpServer> HttpServer::create(asio::io_context &Io,
                                               HttpServerLimits Limits,
                                               Handler Serve) {
  return std::make_shared<Server>(Io, Limits, std::move(Serve));
}

} // namespace nutmegloom
