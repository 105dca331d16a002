#include "testing/support/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>
#include <sstream>
#include <stdexcept>

namespace nutmegloom::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

static constexpr std::uint64_t MaximumRequestBytes = 16UL * 1024 * 1024;
static constexpr std::uint32_t MaximumHeaderBytes = 64 * 1024;

std::uint64_t HttpCall::queryNumber(const std::string &Name) const {
  const auto Found = Query.find(Name);
  if (Found == Query.end())
    return 0;
  return std::strtoull(Found->second.c_str(), nullptr, 10);
}

std::string HttpCall::header(const std::string &Name) const {
  const auto Found = Headers.find(Name);
  return Found == Headers.end() ? std::string() : Found->second;
}

void HttpCall::respond(int Status, std::string Text) const {
  Session->respond({Status, std::move(Text), {}, false});
}

namespace {

class Server;

class Session : public HttpSession,
                public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, std::uint64_t Id, std::shared_ptr<Server> Owner)
      : Socket_(std::move(Socket)), Timer_(Socket_.get_executor()), Id_(Id),
        Owner_(std::move(Owner)) {}
  ~Session() override;

  void start(std::chrono::milliseconds Delay);
  std::uint64_t id() const override { return Id_; }
  void respond(const HttpReply &Reply) override;
  void respondTruncated(const HttpReply &Reply, std::size_t Bytes) override;
  void leaveUnanswered() override;
  void freeze() override { Frozen_ = true; }

private:
  using Response = http::response<http::string_body>;

  Response makeResponse(const HttpReply &Reply) const;
  void readRequest();
  void onRequest();

  tcp::socket Socket_;
  asio::steady_timer Timer_;
  std::uint64_t Id_;
  std::shared_ptr<Server> Owner_;
  beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  Response Response_;
  std::string PartialText_;
  bool AwaitingReply_ = false;
  bool Frozen_ = false;
};

class Server : public HttpServer, public std::enable_shared_from_this<Server> {
public:
  Server(asio::io_context &Io, const tcp::endpoint &Endpoint, Options Callbacks)
      : Handlers(std::move(Callbacks)), Acceptor_(Io, Endpoint) {}

  void accept();
  std::string address() const override;
  void freezeAll(std::uint64_t Except) override;

  Options Handlers;
  std::map<std::uint64_t, std::weak_ptr<Session>> Sessions;

private:
  tcp::acceptor Acceptor_;
  std::uint64_t NextSession_ = 1;
};

} // namespace

Session::~Session() {
  Owner_->Sessions.erase(Id_);
  if (Owner_->Handlers.OnClose)
    Owner_->Handlers.OnClose(Id_);
}

void Session::start(std::chrono::milliseconds Delay) {
  if (Delay.count() == 0) {
    readRequest();
    return;
  }
  Timer_.expires_after(Delay);
  Timer_.async_wait(
      [Self = shared_from_this()](const boost::system::error_code &) {
        Self->readRequest();
      });
}

void Session::readRequest() {
  Parser_.emplace();
  Parser_->body_limit(MaximumRequestBytes);
  Parser_->header_limit(MaximumHeaderBytes);
  http::async_read(
      Socket_, Buffer_, *Parser_,
      [Self = shared_from_this()](const beast::error_code &Error, std::size_t) {
        if (!Error)
          Self->onRequest();
      });
}

void Session::onRequest() {
  if (Frozen_) {
    readRequest();
    return;
  }
  const auto &Message = Parser_->get();
  HttpCall Call;
  Call.Method = std::string(Message.method_string());
  const std::string Target(Message.target());
  const std::size_t Mark = Target.find('?');
  Call.Path = Target.substr(0, Mark);
  if (Mark != std::string::npos) {
    std::istringstream Parts(Target.substr(Mark + 1));
    for (std::string Part; std::getline(Parts, Part, '&');) {
      const std::size_t Equals = Part.find('=');
      if (Equals != std::string::npos)
        Call.Query[Part.substr(0, Equals)] = Part.substr(Equals + 1);
    }
  }
  for (const auto &Field : Message) {
    std::string Name(Field.name_string());
    std::transform(Name.begin(), Name.end(), Name.begin(),
                   [](unsigned char Letter) { return std::tolower(Letter); });
    Call.Headers[Name] = std::string(Field.value());
  }
  Call.Body = Message.body();
  Call.Session = shared_from_this();
  AwaitingReply_ = true;
  Owner_->Handlers.OnCall(Call);
}

Session::Response Session::makeResponse(const HttpReply &Reply) const {
  Response Message;
  Message.version(11);
  Message.result(static_cast<unsigned>(Reply.Status));
  Message.set(http::field::content_type, "application/json");
  for (const auto &[Name, Value] : Reply.Headers)
    Message.set(Name, Value);
  Message.keep_alive(!Reply.Close);
  Message.body() = Reply.Body;
  Message.prepare_payload();
  return Message;
}

void Session::respond(const HttpReply &Reply) {
  if (!AwaitingReply_)
    return;
  if (Frozen_) {
    leaveUnanswered();
    return;
  }
  AwaitingReply_ = false;
  Response_ = makeResponse(Reply);
  http::async_write(
      Socket_, Response_,
      [Self = shared_from_this()](const beast::error_code &Error, std::size_t) {
        if (!Error && Self->Response_.keep_alive())
          Self->readRequest();
      });
}

void Session::respondTruncated(const HttpReply &Reply, std::size_t Bytes) {
  if (!AwaitingReply_)
    return;
  AwaitingReply_ = false;
  std::ostringstream Text;
  Text << makeResponse(Reply);
  PartialText_ = Text.str().substr(0, Bytes);
  // No further read is started, so the session is destroyed and its socket
  // closed when the write completes.
  asio::async_write(Socket_, asio::buffer(PartialText_),
                    [Self = shared_from_this()](
                        const boost::system::error_code &, std::size_t) {});
}

void Session::leaveUnanswered() {
  if (!AwaitingReply_)
    return;
  AwaitingReply_ = false;
  readRequest();
}

void Server::accept() {
  Acceptor_.async_accept(
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  tcp::socket Socket) {
        if (Error == asio::error::operation_aborted)
          return;
        if (!Error) {
          boost::system::error_code Ignored;
          Socket.set_option(tcp::no_delay(true), Ignored);
          const std::uint64_t Id = Self->NextSession_++;
          const auto Opened =
              std::make_shared<Session>(std::move(Socket), Id, Self);
          Self->Sessions[Id] = Opened;
          Opened->start(Self->Handlers.OnOpen ? Self->Handlers.OnOpen(Id)
                                              : std::chrono::milliseconds(0));
        }
        Self->accept();
      });
}

std::string Server::address() const {
  const tcp::endpoint Endpoint = Acceptor_.local_endpoint();
  return Endpoint.address().to_string() + ":" + std::to_string(Endpoint.port());
}

void Server::freezeAll(std::uint64_t Except) {
  for (const auto &[Id, Weak] : Sessions)
    if (const auto Open = Weak.lock(); Open && Id != Except)
      Open->freeze();
}

std::shared_ptr<HttpServer> makeHttpServer(asio::io_context &Io,
                                           const std::string &Address,
                                           HttpServer::Options Handlers) {
  const std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    throw std::runtime_error("invalid listen address, expected IP:port: " +
                             Address);
  const tcp::endpoint Endpoint(
      asio::ip::make_address(Address.substr(0, Colon)),
      static_cast<std::uint16_t>(std::stoul(Address.substr(Colon + 1))));
  const auto Created =
      std::make_shared<Server>(Io, Endpoint, std::move(Handlers));
  Created->accept();
  return Created;
}

} // namespace nutmegloom::testing
