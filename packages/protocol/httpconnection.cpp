#include "protocol/httpconnection.h"

#include "protocol/messagestream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace nutmegloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// For the header of a response. The session token is its largest field.
static constexpr std::uint32_t MaximumHeaderBytes = 64 * 1024;

std::string HttpResponse::header(std::string_view Name) const {
  for (const auto &[Key, Value] : Headers)
    if (beast::iequals(Key, Name))
      return Value;
  return {};
}

static HttpFailureKind kindOfReadError(const beast::error_code &Error) {
  if (Error == beast::error::timeout)
    return HttpFailureKind::TimedOut;
  if (Error == http::error::end_of_stream)
    return HttpFailureKind::Broken;
  if (Error.category() == make_error_code(http::error::bad_version).category())
    return HttpFailureKind::Malformed;
  return HttpFailureKind::Broken;
}

namespace {

class BeastHttpConnection : public HttpConnection {
public:
  BeastHttpConnection(asio::io_context &Io, std::string Address,
                      std::size_t MaximumBody)
      : Stream_(Io), Address_(std::move(Address)), MaximumBody_(MaximumBody) {}

  void connect(std::chrono::milliseconds Timeout,
               ConnectHandler Handler) override;
  void exchange(HttpRequest Request, std::chrono::milliseconds Timeout,
                ExchangeHandler Handler) override;
  void allowSlowResponses(std::chrono::milliseconds MaximumPause) override {
    MaximumPause_ = MaximumPause;
  }
  void setCloseHandler(std::function<void()> Handler) override;
  void close() override;
  bool isOpen() const override { return Open_; }

private:
  std::shared_ptr<BeastHttpConnection> self() {
    return std::static_pointer_cast<BeastHttpConnection>(shared_from_this());
  }
  void readResponse();
  void readMore();
  void finishResponse();
  void finish(std::variant<HttpResponse, HttpFailure> Result);
  void watchForPeerClose();
  void onReadable();
  void reportClose();

  beast::tcp_stream Stream_;
  std::string Address_;
  std::size_t MaximumBody_;
  beast::flat_buffer Buffer_;
  http::request<http::string_body> Request_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  /// Allowed pause between reads of a response after its timeout. Zero: the
  /// timeout always applies.
  std::chrono::milliseconds MaximumPause_{0};
  std::chrono::steady_clock::time_point Deadline_;
  ExchangeHandler Handler_;
  std::function<void()> CloseHandler_;
  bool Open_ = false;
  bool WatchingForClose_ = false;
};

} // namespace

void BeastHttpConnection::connect(std::chrono::milliseconds Timeout,
                                  ConnectHandler Handler) {
  const std::optional<tcp::endpoint> Endpoint = endpointOf(Address_);
  if (!Endpoint) {
    asio::post(Stream_.get_executor(), [Self = self(), Handler] {
      const HttpFailure Failure{HttpFailureKind::BadAddress,
                                "not of the form IP:port: " + Self->Address_};
      Handler(&Failure);
    });
    return;
  }
  Stream_.expires_after(Timeout);
  Stream_.async_connect(*Endpoint, [Self = self(),
                                    Handler](const beast::error_code &Error) {
    if (Error) {
      const HttpFailure Failure{HttpFailureKind::NotConnected, Error.message()};
      Handler(&Failure);
      return;
    }
    beast::error_code Ignored;
    Self->Stream_.socket().set_option(tcp::no_delay(true), Ignored);
    // The connection is closed by a reset, so that a request that was given up
    // does not reach the server later.
    Self->Stream_.socket().set_option(asio::socket_base::linger(true, 0),
                                      Ignored);
    Self->Open_ = true;
    Self->Stream_.expires_never();
    Self->watchForPeerClose();
    Handler(nullptr);
  });
}

void BeastHttpConnection::exchange(HttpRequest Request,
                                   std::chrono::milliseconds Timeout,
                                   ExchangeHandler Handler) {
  if (!Open_ || Handler_) {
    asio::post(Stream_.get_executor(), [Handler = std::move(Handler)] {
      Handler(HttpFailure{
          HttpFailureKind::NotConnected,
          "the connection is closed or has an exchange in progress"});
    });
    return;
  }
  Handler_ = std::move(Handler);
  Request_ = {};
  Request_.version(11);
  Request_.method_string(Request.Method);
  Request_.target(Request.Target);
  Request_.set(http::field::host, Address_);
  for (const auto &[Name, Value] : Request.Headers)
    Request_.set(Name, Value);
  Request_.body() = std::move(Request.Body);
  Request_.prepare_payload();
  Deadline_ = std::chrono::steady_clock::now() + Timeout;
  Stream_.expires_at(Deadline_);
  http::async_write(
      Stream_, Request_,
      [Self = self()](const beast::error_code &Error, std::size_t) {
        if (Error) {
          Self->finish(HttpFailure{kindOfReadError(Error), Error.message()});
          return;
        }
        Self->readResponse();
      });
}

void BeastHttpConnection::readResponse() {
  Parser_.emplace();
  Parser_->eager(true);
  Parser_->body_limit(MaximumBody_);
  Parser_->header_limit(MaximumHeaderBytes);
  readMore();
}

void BeastHttpConnection::readMore() {
  http::async_read_some(
      Stream_, Buffer_, *Parser_,
      [Self = self()](const beast::error_code &Error, std::size_t) {
        if (Error) {
          Self->finish(HttpFailure{kindOfReadError(Error), Error.message()});
          return;
        }
        if (Self->Parser_->is_done()) {
          Self->finishResponse();
          return;
        }
        auto PauseEnd = std::chrono::steady_clock::now() + Self->MaximumPause_;
        Self->Stream_.expires_at(std::max(Self->Deadline_, PauseEnd));
        Self->readMore();
      });
}

void BeastHttpConnection::finishResponse() {
  auto &Message = Parser_->get();
  HttpResponse Response;
  Response.Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message)
    Response.Headers.emplace_back(Field.name_string(), Field.value());
  Response.Body = std::move(Message.body());
  finish(std::move(Response));
}

void BeastHttpConnection::finish(
    std::variant<HttpResponse, HttpFailure> Result) {
  const bool KeepOpen = std::holds_alternative<HttpResponse>(Result) &&
                        Parser_->get().keep_alive();
  Parser_.reset();
  const ExchangeHandler Handler = std::move(Handler_);
  Handler_ = nullptr;
  if (KeepOpen) {
    Stream_.expires_never();
    watchForPeerClose();
  } else {
    close();
  }
  const bool ClosedAfterAnswer =
      !KeepOpen && std::holds_alternative<HttpResponse>(Result);
  Handler(std::move(Result));
  if (ClosedAfterAnswer)
    reportClose();
}

void BeastHttpConnection::setCloseHandler(std::function<void()> Handler) {
  CloseHandler_ = std::move(Handler);
  watchForPeerClose();
}

void BeastHttpConnection::watchForPeerClose() {
  if (WatchingForClose_ || !Open_ || !CloseHandler_)
    return;
  WatchingForClose_ = true;
  // The wait holds no reference, so that an idle connection can be destroyed.
  Stream_.socket().async_wait(
      tcp::socket::wait_read,
      [Weak = weak_from_this()](const beast::error_code &Error) {
        const std::shared_ptr<HttpConnection> Locked = Weak.lock();
        if (!Locked)
          return;
        auto &Self = static_cast<BeastHttpConnection &>(*Locked);
        Self.WatchingForClose_ = false;
        if (!Error)
          Self.onReadable();
      });
}

void BeastHttpConnection::onReadable() {
  // During an exchange the data belongs to the response.
  if (!Open_ || Handler_)
    return;
  char Byte = 0;
  beast::error_code Error;
  Stream_.socket().non_blocking(true, Error);
  Stream_.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                           Error);
  if (Error == asio::error::would_block) {
    watchForPeerClose();
    return;
  }
  close();
  reportClose();
}

void BeastHttpConnection::reportClose() {
  const std::function<void()> Handler = std::move(CloseHandler_);
  CloseHandler_ = nullptr;
  if (Handler)
    Handler();
}

void BeastHttpConnection::close() {
  Open_ = false;
  Stream_.close();
}

std::shared_ptr<HttpConnection>
HttpConnection::create(asio::io_context &Io, std::string Address,
                       std::size_t MaximumBody) {
  return std::make_shared<BeastHttpConnection>(Io, std::move(Address),
                                               MaximumBody);
}

void exchangeOnce(asio::io_context &Io, const std::string &Address,
                  HttpRequest Request, std::chrono::milliseconds Timeout,
                  std::size_t MaximumBody,
                  HttpConnection::ExchangeHandler Handler, SendCheck MaySend) {
  const auto Deadline = std::chrono::steady_clock::now() + Timeout;
  auto Connection = HttpConnection::create(Io, Address, MaximumBody);
  Connection->connect(
      Timeout, [Connection, Deadline, Request = std::move(Request),
                Handler = std::move(Handler),
                MaySend = std::move(MaySend)](const HttpFailure *Failure) {
        if (Failure) {
          Handler(*Failure);
          return;
        }
        const auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
            Deadline - std::chrono::steady_clock::now());
        // The process may have been suspended since the connect began.
        if (Left.count() <= 0 || (MaySend && !MaySend())) {
          Connection->close();
          Handler(HttpFailure{HttpFailureKind::Withdrawn,
                              "the request may no longer be sent"});
          return;
        }
        Connection->exchange(
            Request, Left,
            [Connection,
             Handler](std::variant<HttpResponse, HttpFailure> Result) {
              Connection->close();
              Handler(std::move(Result));
            });
      });
}

} // namespace nutmegloom
