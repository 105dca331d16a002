#include "protocol/databaseconnection.h"

#include "protocol/databasecodec.h"
#include "protocol/httpconnection.h"

#include <boost/asio/io_context.hpp>

#include <map>

namespace nutmegloom {

namespace asio = boost::asio;

static constexpr std::size_t MaximumResponseBytes = 8UL * 1024 * 1024;
static constexpr std::size_t MaximumStatusBytes = 1024UL * 1024;

static DatabaseFailureKind kindOf(HttpFailureKind Kind) {
  switch (Kind) {
  case HttpFailureKind::BadAddress:
  case HttpFailureKind::NotConnected:
  case HttpFailureKind::Withdrawn:
    return DatabaseFailureKind::NotConnected;
  case HttpFailureKind::Broken:
  case HttpFailureKind::TimedOut:
    return DatabaseFailureKind::Broken;
  case HttpFailureKind::Malformed:
    return DatabaseFailureKind::Malformed;
  }
  return DatabaseFailureKind::Broken;
}

namespace {

class HttpDatabaseConnection : public DatabaseConnection {
public:
  HttpDatabaseConnection(asio::io_context &Io, std::string Address)
      : Http_(HttpConnection::create(Io, std::move(Address),
                                     MaximumResponseBytes)) {}

  void open(Milliseconds Timeout, OpenHandler Handler) override {
    Http_->connect(Timeout,
                   [Handler = std::move(Handler)](const HttpFailure *Failure) {
                     Handler(Failure == nullptr);
                   });
  }

  void send(const DatabaseRequest &Request, Milliseconds Timeout,
            AnswerHandler Handler) override;

  void setCloseHandler(std::function<void()> Handler) override {
    Http_->setCloseHandler(std::move(Handler));
  }

  void close() override { Http_->close(); }

private:
  std::shared_ptr<HttpConnection> Http_;
};

class HttpDatabaseControl
    : public DatabaseControl,
      public std::enable_shared_from_this<HttpDatabaseControl> {
public:
  explicit HttpDatabaseControl(asio::io_context &Io) : Io_(Io) {}

  void pollStatus(const std::string &ControlAddress, std::uint64_t After,
                  Milliseconds Wait, Milliseconds Timeout,
                  StatusHandler Handler) override;
  void sendCommand(const std::string &ControlAddress,
                   const ControlRequest &Request, Milliseconds Timeout,
                   CommandHandler Handler) override;

private:
  struct Poll {
    std::string Address;
    HttpRequest Request;
    TimePoint Deadline;
    StatusHandler Handler;
  };

  void sendPollOnNewConnection(const std::shared_ptr<Poll> &Pending);
  void sendPoll(const std::shared_ptr<HttpConnection> &Http,
                const std::shared_ptr<Poll> &Pending, bool Reused);

  asio::io_context &Io_;
  /// Connections for status polls, by control address.
  std::map<std::string, std::shared_ptr<HttpConnection>> IdleConnections_;
};

} // namespace

void HttpDatabaseConnection::send(const DatabaseRequest &Request,
                                  Milliseconds Timeout, AnswerHandler Handler) {
  Http_->exchange(
      encodeDatabaseRequest(Request), Timeout,
      [Http = Http_, Request, Handler = std::move(Handler)](
          std::variant<HttpResponse, HttpFailure> Result) {
        if (const auto *Failure = std::get_if<HttpFailure>(&Result)) {
          Handler(DatabaseFailure{Request.Exchange, kindOf(Failure->Kind),
                                  Failure->Detail, 0});
          return;
        }
        auto Answer =
            decodeDatabaseAnswer(Request, std::get<HttpResponse>(Result));
        const auto *Refusal = std::get_if<DatabaseFailure>(&Answer);
        if (Refusal && Refusal->Kind == DatabaseFailureKind::Malformed)
          Http->close();
        Handler(std::move(Answer));
      });
}

static Milliseconds timeLeft(TimePoint Deadline) {
  return std::chrono::duration_cast<Milliseconds>(
      Deadline - std::chrono::steady_clock::now());
}

void HttpDatabaseControl::pollStatus(const std::string &ControlAddress,
                                     std::uint64_t After, Milliseconds Wait,
                                     Milliseconds Timeout,
                                     StatusHandler Handler) {
  const auto Pending = std::make_shared<Poll>(
      Poll{ControlAddress, encodeStatusRequest(After, Wait),
           std::chrono::steady_clock::now() + Timeout, std::move(Handler)});
  const auto Found = IdleConnections_.find(ControlAddress);
  if (Found == IdleConnections_.end()) {
    sendPollOnNewConnection(Pending);
    return;
  }
  const std::shared_ptr<HttpConnection> Http = Found->second;
  IdleConnections_.erase(Found);
  sendPoll(Http, Pending, true);
}

void HttpDatabaseControl::sendPollOnNewConnection(
    const std::shared_ptr<Poll> &Pending) {
  const auto Http =
      HttpConnection::create(Io_, Pending->Address, MaximumStatusBytes);
  Http->connect(
      timeLeft(Pending->Deadline),
      [Self = shared_from_this(), Http, Pending](const HttpFailure *Failure) {
        if (Failure) {
          Pending->Handler(Failed{Failure->Detail});
          return;
        }
        Self->sendPoll(Http, Pending, false);
      });
}

void HttpDatabaseControl::sendPoll(const std::shared_ptr<HttpConnection> &Http,
                                   const std::shared_ptr<Poll> &Pending,
                                   bool Reused) {
  Http->exchange(
      Pending->Request, timeLeft(Pending->Deadline),
      [Self = shared_from_this(), Http, Pending,
       Reused](std::variant<HttpResponse, HttpFailure> Result) {
        if (const auto *Failure = std::get_if<HttpFailure>(&Result)) {
          // The database may have closed the idle connection, for example
          // because it was restarted. A status request has no side effects, so
          // it is repeated.
          if (Reused && Failure->Kind != HttpFailureKind::TimedOut) {
            Self->sendPollOnNewConnection(Pending);
            return;
          }
          Pending->Handler(Failed{Failure->Detail});
          return;
        }
        const auto &Response = std::get<HttpResponse>(Result);
        std::optional<DatabaseStatus> Status;
        if (Response.Status == 200)
          Status = decodeStatus(Response.Body);
        if (!Status) {
          Http->close();
          Pending->Handler(Failed{"the status response is not valid"});
          return;
        }
        if (Http->isOpen())
          Self->IdleConnections_[Pending->Address] = Http;
        Pending->Handler(std::move(*Status));
      });
}

void HttpDatabaseControl::sendCommand(const std::string &ControlAddress,
                                      const ControlRequest &Request,
                                      Milliseconds Timeout,
                                      CommandHandler Handler) {
  exchangeOnce(Io_, ControlAddress, encodeControlRequest(Request), Timeout,
               MaximumStatusBytes,
               [Handler = std::move(Handler)](
                   std::variant<HttpResponse, HttpFailure> Result) {
                 if (const auto *Failure = std::get_if<HttpFailure>(&Result)) {
                   Handler(Failed{Failure->Detail});
                   return;
                 }
                 const auto &Response = std::get<HttpResponse>(Result);
                 if (Response.Status == 200) {
                   if (const auto Status = decodeStatus(Response.Body)) {
                     Handler(*Status);
                     return;
                   }
                 }
                 if (Response.Status == 409) {
                   if (const auto Term = decodeRefusedTerm(Response.Body)) {
                     Handler(Refused{*Term});
                     return;
                   }
                 }
                 Handler(Failed{"unexpected response with status " +
                                std::to_string(Response.Status)});
               });
}

std::shared_ptr<DatabaseConnection>
makeHttpDatabaseConnection(asio::io_context &Io, std::string Address) {
  return std::make_shared<HttpDatabaseConnection>(Io, std::move(Address));
}

std::shared_ptr<DatabaseControl> makeHttpDatabaseControl(asio::io_context &Io) {
  return std::make_shared<HttpDatabaseControl>(Io);
}

} // namespace nutmegloom
