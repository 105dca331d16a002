#include "nutmegloomd/databaselinks.h"

#include "telemetry/events.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

namespace nutmegloom {

static constexpr Milliseconds ConnectTimeout{1000};
/// Added to the maximum statement timeout. The engine closes connections that
/// make no progress; this limit only ends exchanges that it does not track.
static constexpr Milliseconds ExchangeTimeoutMargin{30000};
/// Longer than the timeout of a status, because a command changes a term and
/// its late answer is still used.
static constexpr Milliseconds CommandTimeout{1000};
/// Payload of a status without strings and lists: nine numbers of 8 bytes.
static constexpr std::size_t StatusNumericBytes = 72;

static std::size_t payloadBytes(const DatabaseStatus &Status) {
  std::size_t Size = Status.Database.size() + Status.Boot.size() +
                     StatusNumericBytes +
                     Status.Terms.size() * sizeof(TermStart);
  for (const std::string &Exchange : Status.Executing)
    Size += Exchange.size();
  return Size;
}

DatabaseLinks::DatabaseLinks(HostContext &Context)
    : Context_(Context), Control_(makeHttpDatabaseControl(Context.Io)) {}

void DatabaseLinks::open(ConnectionId Id, const DatabaseId &Database) {
  const auto &Databases = Context_.Core->tables().Databases;
  auto Known = Databases.find(Database);
  std::string Address =
      Known == Databases.end() ? std::string() : Known->second.ServiceAddress;
  Link &Opened = Connections_[Id];
  Opened.Database = Database;
  Opened.Connection = makeHttpDatabaseConnection(Context_.Io, Address);
  Opened.Connection->open(ConnectTimeout, [this, Id](bool Success) {
    auto Found = Connections_.find(Id);
    if (Found == Connections_.end())
      return;
    if (!Success)
      return onClosed(Id);
    Found->second.Connection->setCloseHandler([this, Id] { onClosed(Id); });
    Context_.Core->onConnectionOpened(Id, currentTime());
    Context_.ScheduleTick();
  });
}

void DatabaseLinks::onClosed(ConnectionId Id) {
  if (Connections_.erase(Id) == 0)
    return;
  Context_.Core->onConnectionClosed(Id, currentTime());
  Context_.ScheduleTick();
}

void DatabaseLinks::close(ConnectionId Id) {
  auto Found = Connections_.find(Id);
  if (Found == Connections_.end())
    return;
  std::shared_ptr<DatabaseConnection> Connection =
      std::move(Found->second.Connection);
  // Erased first, so that the engine gets no reports about a connection that
  // it has closed.
  Connections_.erase(Found);
  Connection->close();
}

void DatabaseLinks::send(ConnectionId Id, const DatabaseRequest &Request) {
  auto Found = Connections_.find(Id);
  if (Found == Connections_.end()) {
    boost::asio::post(Context_.Io, [this, Id, Exchange = Request.Exchange] {
      Context_.Core->onDatabaseFailure(Id,
                                       {Exchange,
                                        DatabaseFailureKind::NotConnected,
                                        "the connection is closed", 0},
                                       currentTime());
      Context_.ScheduleTick();
    });
    return;
  }
  auto Timeout =
      Context_.Core->policy().StatementTimeoutMaximum + ExchangeTimeoutMargin;
  auto Handle = [this, Id, Operation = Request.Operation,
                 StartedAt = currentTime(), Database = Found->second.Database](
                    std::variant<DatabaseAnswer, DatabaseFailure> Result) {
    Context_.HostMetrics.observeDatabaseExchange(nameOf(Operation),
                                                 currentTime() - StartedAt);
    onAnswer(Id, Database, std::move(Result));
  };
  std::shared_ptr<DatabaseConnection> Connection = Found->second.Connection;
  if (!Context_.Tracer.isEnabled())
    return Connection->send(Request, Timeout, std::move(Handle));
  auto Span = std::make_shared<TraceSpan>(
      Context_.Tracer.start("database", Request.TraceParent));
  Span->tag("database", Found->second.Database);
  Span->tag("operation", nameOf(Request.Operation));
  DatabaseRequest Traced = Request;
  Traced.TraceParent = Span->traceParent();
  Connection->send(
      Traced, Timeout,
      [Span, Handle = std::move(Handle)](
          std::variant<DatabaseAnswer, DatabaseFailure> Result) {
        const auto *Failure = std::get_if<DatabaseFailure>(&Result);
        Span->tag("result", Failure ? nameOf(Failure->Kind) : "answered");
        Span->finish();
        Handle(std::move(Result));
      });
}

void DatabaseLinks::onAnswer(
    ConnectionId Id, const DatabaseId &Database,
    std::variant<DatabaseAnswer, DatabaseFailure> Result) {
  if (!Connections_.contains(Id))
    return;
  if (const auto *Answer = std::get_if<DatabaseAnswer>(&Result)) {
    Context_.Core->onDatabaseAnswer(Id, *Answer, currentTime());
    Context_.ScheduleTick();
    return;
  }
  const auto &Failure = std::get<DatabaseFailure>(Result);
  if (Failure.Kind == DatabaseFailureKind::Malformed)
    logEvent(LogEvent::DatabaseMalformed,
             {{"database", Database}, {"error", Failure.Detail}});
  if (Failure.Kind == DatabaseFailureKind::Malformed ||
      Failure.Kind == DatabaseFailureKind::Broken)
    Connections_.erase(Id);
  Context_.Core->onDatabaseFailure(Id, Failure, currentTime());
  Context_.ScheduleTick();
}

std::string DatabaseLinks::controlAddressOf(const DatabaseId &Database) const {
  const auto &Databases = Context_.Core->tables().Databases;
  auto Known = Databases.find(Database);
  return Known == Databases.end() ? std::string()
                                  : Known->second.ControlAddress;
}

void DatabaseLinks::pollStatus(const DatabaseId &Database, std::uint64_t After,
                               Milliseconds Wait) {
  // Half of PrimarySilence leaves time for a second poll before the primary is
  // considered failed.
  Milliseconds Timeout = Wait + Context_.Core->policy().PrimarySilence / 2;
  TimePoint SentAt = currentTime();
  Control_->pollStatus(
      controlAddressOf(Database), After, Wait, Timeout,
      [this, Database,
       SentAt](std::variant<DatabaseStatus, DatabaseControl::Failed> Result) {
        if (const auto *Status = std::get_if<DatabaseStatus>(&Result)) {
          Context_.HostMetrics.countControlMessage("status",
                                                   payloadBytes(*Status));
          Context_.Core->onStatus(*Status, SentAt, currentTime());
        } else {
          Context_.HostMetrics.countControlMessage("status", 0);
          Context_.Core->onStatusFailed(Database, currentTime());
        }
        Context_.ScheduleTick();
      });
}

void DatabaseLinks::sendCommand(const ControlRequest &Request) {
  Context_.HostMetrics.countControlMessage("command", Request.Promoter.size() +
                                                          sizeof(Request.Term));
  TimePoint SentAt = currentTime();
  Control_->sendCommand(
      controlAddressOf(Request.Database), Request, CommandTimeout,
      [this, Request,
       SentAt](std::variant<DatabaseStatus, DatabaseControl::Refused,
                            DatabaseControl::Failed>
                   Result) {
        TimePoint Now = currentTime();
        if (const auto *Status = std::get_if<DatabaseStatus>(&Result))
          Context_.Core->onControlGranted(Request, *Status, SentAt, Now);
        else if (const auto *Refusal =
                     std::get_if<DatabaseControl::Refused>(&Result))
          Context_.Core->onControlRefused(Request, Refusal->Term, Now);
        else
          Context_.Core->onControlFailed(Request, Now);
        Context_.ScheduleTick();
      });
}

} // namespace nutmegloom
