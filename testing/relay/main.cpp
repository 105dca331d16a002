#include "protocol/databasecodec.h"
#include "protocol/httpconnection.h"
#include "testing/support/httpserver.h"
#include "testing/support/program.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <iostream>

using namespace nutmegloom;
using namespace nutmegloom::testing;
using nlohmann::json;

namespace {

constexpr std::size_t MaximumAnswerBytes = 8UL * 1024 * 1024;
constexpr Milliseconds Timeout{10000};

/// Passes statements of the callers' API on to one database: the least that
/// any proxy does, as the baseline for latency.
class Relay {
public:
  Relay(boost::asio::io_context &Io, std::string Database, std::uint64_t Term)
      : Io_(Io), Database_(std::move(Database)), Term_(Term) {}

  void onCall(const HttpCall &Call) {
    const json Body = json::parse(Call.Body, nullptr, false);
    if (!Body.is_object() || !Body.contains("statement")) {
      Call.respond(400, R"({"code":"bad_request","outcome":"not_run"})");
      return;
    }
    DatabaseRequest Request;
    Request.Exchange = NextExchange_++;
    Request.Term = Term_;
    Request.Kind = Body.value("kind", "read") == "write" ? StatementKind::Write
                                                         : StatementKind::Read;
    Request.Statement = Body["statement"].dump();
    Request.Key = Call.header("idempotency-key");
    if (!Idle_.empty()) {
      const auto Connection = Idle_.front();
      Idle_.pop_front();
      send(Connection, Call, encodeDatabaseRequest(Request));
      return;
    }
    const auto Connection =
        HttpConnection::create(Io_, Database_, MaximumAnswerBytes);
    Connection->connect(Timeout, [this, Connection, Call,
                                  Http = encodeDatabaseRequest(Request)](
                                     const HttpFailure *Failure) {
      if (Failure)
        Call.respond(503, R"({"code":"no_primary","outcome":"not_run"})");
      else
        send(Connection, Call, Http);
    });
  }

private:
  void send(const std::shared_ptr<HttpConnection> &Connection,
            const HttpCall &Call, const HttpRequest &Request) {
    Connection->exchange(
        Request, Timeout,
        [this, Connection, Call](std::variant<HttpResponse, HttpFailure> Done) {
          const auto *Response = std::get_if<HttpResponse>(&Done);
          if (!Response) {
            Call.respond(504, R"({"code":"internal","outcome":"unknown"})");
            return;
          }
          if (Connection->isOpen())
            Idle_.push_back(Connection);
          Call.respond(Response->Status, Response->Body);
        });
  }

  boost::asio::io_context &Io_;
  std::string Database_;
  std::uint64_t Term_;
  std::uint64_t NextExchange_ = 1;
  std::deque<std::shared_ptr<HttpConnection>> Idle_;
};

} // namespace

int main(int Argc, char **Argv) {
  std::string Address = "127.0.0.1:0";
  std::string Database;
  std::string Term = "1";
  parseOptions(Argc, Argv,
               {{"address", &Address, "IP:port to serve"},
                {"database", &Database, "service address of the database"},
                {"term", &Term, "term of the database"}});
  try {
    boost::asio::io_context Io(1);
    Relay Node(Io, Database, parseNumberOrExit(Term));
    HttpServer::Options Functions;
    Functions.OnCall = [&Node](const HttpCall &Call) { Node.onCall(Call); };
    const auto Server = makeHttpServer(Io, Address, std::move(Functions));
    runUntilSignal(Io, "ready address=" + Server->address());
  } catch (const std::exception &Error) {
    std::cerr << Argv[0] << ": " << Error.what() << "\n";
    return 1;
  }
}
