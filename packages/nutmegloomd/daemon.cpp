#include "nutmegloomd/daemon.h"

#include "nutmegloomd/callerservice.h"
#include "nutmegloomd/databaselinks.h"
#include "nutmegloomd/identifier.h"
#include "nutmegloomd/peerlinks.h"
#include "nutmegloomd/platformwatch.h"
#include "nutmegloomd/statuspage.h"
#include "protocol/eventloop.h"
#include "telemetry/events.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>

namespace nutmegloom {

namespace asio = boost::asio;
using boost::system::error_code;

/// Period of engine ticks while there is no input.
static constexpr Milliseconds TickInterval{10};
/// Period of the checks for state changes to log.
static constexpr Milliseconds StateLogInterval{100};
/// Time for callers to receive the last responses after the drain.
static constexpr Milliseconds CloseTimeout{2000};
/// Number of heartbeat intervals between the start of the drain and the close
/// of the ports, so that other hosts learn of the planned stop.
static constexpr int DrainHeartbeats = 2;
/// Time without work before the ports close, so that the last answers reach
/// the other hosts.
static constexpr Milliseconds DrainIdleTime{100};
static constexpr int ExitListenFailed = 1;

class Daemon::State {
public:
  explicit State(HostSettings Settings);
  ~State();
  State(const State &) = delete;
  State &operator=(const State &) = delete;

  int run();

private:
  EngineHooks makeHooks();
  std::function<void()> serve(const HttpServerRequest &Request,
                              HttpServer::Respond Respond);
  HttpResponse makeReadinessResponse() const;
  HttpResponse makeMetricsResponse();
  bool applyConfiguration(std::uint64_t Version, const std::string &Text);
  bool refuseConfiguration(std::uint64_t Version, const SettingsErrors &Errors);
  void activateSettings(const SiteSettings &Site);
  std::string notReadyReason() const;
  bool isReachable(const DatabaseEntity &Database) const;
  void scheduleTick();
  void startTimer();
  void logStateChanges(TimePoint Now);
  void beginDrain();
  void checkDrain(TimePoint Now);
  void close();

  HostSettings Settings_;
  asio::io_context Io_{1};
  Metrics Metrics_;
  Tracing Tracing_;
  HostContext Context_;
  PeerLinks Peers_;
  DatabaseLinks Databases_;
  PlatformWatch Platform_;
  CallerService Callers_;
  std::shared_ptr<HttpServer> Server_;
  std::unique_ptr<Engine> Core_;
  asio::steady_timer Timer_{Io_};
  asio::steady_timer CloseTimer_{Io_};
  asio::signal_set Signals_{Io_, SIGTERM, SIGINT};
  bool TickScheduled_ = false;
  std::optional<TimePoint> NextStateLog_;
  std::optional<TimePoint> DrainStartedAt_;
  std::optional<TimePoint> IdleSince_;
  bool Closing_ = false;
  std::string RefusedReason_;
  /// State that was logged last; only changes are logged.
  std::optional<std::string> LoggedReason_;
  std::map<GroupId, std::pair<std::uint64_t, DatabaseId>> LoggedPrimaries_;
  std::map<DatabaseId, bool> LoggedReachable_;
};

Daemon::State::State(HostSettings Settings)
    : Settings_(std::move(Settings)),
      Context_{Io_, nullptr, Metrics_, Tracing_, [this] { scheduleTick(); }, 0},
      Peers_(Context_, Settings_.PeerAddress), Databases_(Context_),
      Platform_(Context_, Settings_.PlatformAddress),
      Callers_(Context_, &makeIdentifier),
      Server_(HttpServer::create(Io_, {},
                                 [this](const HttpServerRequest &Request,
                                        HttpServer::Respond Respond) {
                                   return serve(Request, std::move(Respond));
                                 })) {}

Daemon::State::~State() {
  Peers_.stop();
  // Connections that are still open are destroyed with the io_context. The
  // empty handler replaces the one of close(), which must not be called then.
  Server_->stop({});
}

EngineHooks Daemon::State::makeHooks() {
  EngineHooks Hooks;
  Hooks.Answer = [this](TaskId Task, const CallerAnswer &Answer) {
    if (!Callers_.answer(Task, Answer))
      Peers_.answer(Task, Answer);
  };
  Hooks.Forward = [this](const HostName &Host, TaskId Task,
                         const CallerRequest &Request) {
    Peers_.forward(Host, Task, Request);
  };
  Hooks.OpenConnection = [this](ConnectionId Id, const DatabaseId &Database) {
    Databases_.open(Id, Database);
  };
  Hooks.CloseConnection = [this](ConnectionId Id) { Databases_.close(Id); };
  Hooks.SendToDatabase = [this](ConnectionId Id,
                                const DatabaseRequest &Request) {
    Databases_.send(Id, Request);
  };
  Hooks.Membership.SendHeartbeat = [this](const HostEntity &Host,
                                          const PeerHeartbeat &Heartbeat) {
    Peers_.sendHeartbeat(Host, Heartbeat);
  };
  Hooks.Failover.SendControl = [this](const ControlRequest &Request) {
    Databases_.sendCommand(Request);
  };
  Hooks.Failover.PollStatus = [this](const DatabaseId &Database,
                                     std::uint64_t After, Milliseconds Wait) {
    Databases_.pollStatus(Database, After, Wait);
  };
  Hooks.Failover.Random = &makeRandomNumber;
  Hooks.Failover.Report = [](const GroupId &Group, FailoverPhase Phase,
                             std::uint64_t Term, const std::string &Detail) {
    logEvent(LogEvent::FailoverPhaseChanged, {{"group", Group},
                                              {"phase", nameOf(Phase)},
                                              {"term", std::int64_t(Term)},
                                              {"detail", Detail}});
  };
  Hooks.Configuration.WatchStore = [this](std::uint64_t After) {
    Platform_.watchHead(After);
  };
  Hooks.Configuration.FetchFromPeer = [this](const HostName &Host) {
    Peers_.fetchConfiguration(Host);
  };
  Hooks.Configuration.Apply = [this](std::uint64_t Version,
                                     const std::string &Text) {
    return applyConfiguration(Version, Text);
  };
  Hooks.NewIdentifier = &makeIdentifier;
  return Hooks;
}

bool Daemon::State::refuseConfiguration(std::uint64_t Version,
                                        const SettingsErrors &Errors) {
  RefusedReason_ = Errors.empty() ? std::string() : describe(Errors.front());
  logEvent(LogEvent::ConfigurationRefused,
           {{"version", std::int64_t(Version)}, {"error", RefusedReason_}});
  return false;
}

bool Daemon::State::applyConfiguration(std::uint64_t Version,
                                       const std::string &Text) {
  auto Head = parseHead(Text);
  if (const auto *Errors = std::get_if<SettingsErrors>(&Head))
    return refuseConfiguration(Version, *Errors);
  auto Site = loadSite(std::get<ConfigurationHead>(Head), Settings_.Site);
  if (const auto *Errors = std::get_if<SettingsErrors>(&Site))
    return refuseConfiguration(Version, *Errors);
  auto Next =
      std::make_shared<SiteSettings>(std::move(std::get<SiteSettings>(Site)));
  Next->Configuration.Version = Version;
  // The engine calls this hook while it processes an input, so the settings
  // are activated afterwards.
  asio::post(Io_, [this, Next] { activateSettings(*Next); });
  return true;
}

void Daemon::State::activateSettings(const SiteSettings &Site) {
  setLogLevel(Site.LogLevel);
  Tracing_.setEnabled(Site.LogLevel == nameOf(LogLevel::Trace));
  HttpServerLimits Limits;
  Limits.HeaderBytes = Site.HeaderBytes;
  Limits.BodyBytes = Site.BodyBytes;
  Limits.Connections = Site.Connections;
  Limits.ReadTimeout = Site.RequestReadTimeout;
  Server_->setLimits(Limits);
  Callers_.configure(Site.TokenKeys);
  if (!DrainStartedAt_)
    Core_->membership().setState(HostState::Ready);
  Core_->applyConfiguration(Site.Configuration, currentTime());
  logEvent(LogEvent::ConfigurationApplied,
           {{"version", std::int64_t(Site.Configuration.Version)},
            {"source", nameOf(Core_->configuration().source())}});
}

std::string Daemon::State::notReadyReason() const {
  if (DrainStartedAt_)
    return "draining";
  if (Core_->configuration().version() == 0)
    return "no configuration";
  if (Core_->membership().isPartitioned(currentTime()))
    return "cut off";
  return {};
}

bool Daemon::State::isReachable(const DatabaseEntity &Database) const {
  return Database.StatusSentAt && !Database.FailingSince;
}

HttpResponse Daemon::State::makeReadinessResponse() const {
  std::string Reason = notReadyReason();
  if (!Reason.empty())
    return makeProblemResponse(
        {ErrorCode::NotReady, Outcome::NotRun, std::move(Reason)});
  HttpResponse Response;
  Response.Status = 200;
  Response.Headers.emplace_back("Content-Type", "text/plain");
  Response.Body = "ready\n";
  return Response;
}

HttpResponse Daemon::State::makeMetricsResponse() {
  MetricsSnapshot Snapshot;
  Snapshot.Engine = Core_->counters();
  Snapshot.ConfigurationVersion = Core_->configuration().version();
  Snapshot.Ready = notReadyReason().empty();
  Snapshot.CallerConnections = Server_->connections();
  Snapshot.DatabaseConnections = Databases_.connections();
  Snapshot.RequestsInProgress = Callers_.inProgress();
  Snapshot.ForwardedInProgress = Peers_.inProgress();
  const HttpServerCounters &Counters = Server_->counters();
  Snapshot.ConnectionsAccepted = Counters.Accepted;
  Snapshot.ConnectionsRefused = Counters.Refused;
  Snapshot.RequestsMalformed = Counters.Malformed;
  Snapshot.RequestsTimedOut = Counters.TimedOut;
  Snapshot.CallersGone = Counters.CallersGone;
  for (const auto &[Id, Group] : Core_->tables().Groups)
    Snapshot.Groups.push_back({Id, Group.Term, Group.Primary.has_value(),
                               Group.Active, Core_->waitingIn(Group)});
  for (const auto &[Id, Database] : Core_->tables().Databases)
    if (Database.StatusSentAt)
      Snapshot.Databases.push_back(
          {Id, Database.Status.Age, isReachable(Database)});
  HttpResponse Response;
  Response.Status = 200;
  Response.Headers.emplace_back("Content-Type",
                                "text/plain; version=0.0.4; charset=utf-8");
  Response.Body = Metrics_.serialize(Snapshot);
  return Response;
}

std::function<void()> Daemon::State::serve(const HttpServerRequest &Request,
                                           HttpServer::Respond Respond) {
  std::string_view Target = Request.Target;
  if (Target != "/livez" && Target != "/readyz" && Target != "/metrics" &&
      Target != "/v1/status")
    return Callers_.serve(Request, std::move(Respond));
  HttpResponse Response;
  Response.Status = 200;
  if (Request.Method != "GET") {
    Response =
        makeProblemResponse({ErrorCode::BadRequest, Outcome::NotRun,
                             "only GET is allowed here", Milliseconds(0), 405});
  } else if (Target == "/livez") {
    Response.Headers.emplace_back("Content-Type", "text/plain");
    Response.Body = "alive\n";
  } else if (Target == "/readyz") {
    Response = makeReadinessResponse();
  } else if (Target == "/metrics") {
    Response = makeMetricsResponse();
  } else {
    Response.Headers.emplace_back("Content-Type", "application/json");
    Response.Body = makeStatusPage(
        *Core_, {notReadyReason(), RefusedReason_, Callers_.errors()},
        currentTime());
  }
  Respond(std::move(Response));
  return {};
}

void Daemon::State::scheduleTick() {
  if (std::exchange(TickScheduled_, true))
    return;
  // Runs after the handlers that are ready now, so that one tick processes
  // their input together.
  asio::post(Io_, [this] {
    TickScheduled_ = false;
    Core_->tick(currentTime());
  });
}

void Daemon::State::startTimer() {
  Timer_.expires_after(TickInterval);
  Timer_.async_wait([this](error_code Cancelled) {
    if (Cancelled)
      return;
    // Restarted first, so that an unexpected error below does not end the
    // ticks.
    startTimer();
    TimePoint Now = currentTime();
    Core_->tick(Now);
    Platform_.tick(Now);
    if (!NextStateLog_ || Now >= *NextStateLog_) {
      NextStateLog_ = Now + StateLogInterval;
      logStateChanges(Now);
    }
    checkDrain(Now);
  });
}

void Daemon::State::logStateChanges(TimePoint /*Now*/) {
  std::string Reason = notReadyReason();
  if (Reason != LoggedReason_) {
    if (Reason.empty())
      logEvent(
          LogEvent::HostReady,
          {{"configuration", std::int64_t(Core_->configuration().version())}});
    else
      logEvent(LogEvent::HostNotReady, {{"reason", Reason}});
    LoggedReason_ = std::move(Reason);
  }
  for (const auto &[Id, Group] : Core_->tables().Groups) {
    auto &[Term, Primary] = LoggedPrimaries_[Id];
    if (!Group.Primary || (Term == Group.Term && Primary == *Group.Primary))
      continue;
    Term = Group.Term;
    Primary = *Group.Primary;
    logEvent(
        LogEvent::PrimaryChanged,
        {{"group", Id}, {"primary", Primary}, {"term", std::int64_t(Term)}});
  }
  for (const auto &[Id, Database] : Core_->tables().Databases) {
    if (!Database.StatusSentAt && !Database.FailingSince)
      continue;
    bool Reachable = isReachable(Database);
    auto [Logged, IsNew] = LoggedReachable_.try_emplace(Id, true);
    if (Logged->second == Reachable)
      continue;
    Logged->second = Reachable;
    logEvent(Reachable ? LogEvent::DatabaseReached
                       : LogEvent::DatabaseUnreachable,
             {{"database", Id}});
  }
}

void Daemon::State::beginDrain() {
  if (DrainStartedAt_)
    return;
  DrainStartedAt_ = currentTime();
  logEvent(LogEvent::DrainStarted,
           {{"requests",
             std::int64_t(Callers_.inProgress() + Peers_.inProgress())}});
  Server_->beginDrain();
  Core_->beginDrain(*DrainStartedAt_);
}

void Daemon::State::checkDrain(TimePoint Now) {
  if (!DrainStartedAt_ || Closing_)
    return;
  const Policy &Limits = Core_->policy();
  std::size_t Remaining = Callers_.inProgress() + Peers_.inProgress();
  if (!Core_->isIdle() || Remaining > 0)
    IdleSince_.reset();
  else if (!IdleSince_)
    IdleSince_ = Now;
  bool Finished = IdleSince_ && Now - *IdleSince_ >= DrainIdleTime &&
                  Now - *DrainStartedAt_ >= DrainHeartbeats * Limits.Heartbeat;
  if (Finished) {
    logEvent(LogEvent::DrainFinished, {});
  } else if (Now - *DrainStartedAt_ >= Limits.DrainTimeout) {
    logEvent(LogEvent::DrainTimedOut, {{"requests", std::int64_t(Remaining)}});
  } else {
    return;
  }
  close();
}

void Daemon::State::close() {
  Closing_ = true;
  Server_->stop([this] { Io_.stop(); });
  CloseTimer_.expires_after(CloseTimeout);
  CloseTimer_.async_wait([this](error_code Cancelled) {
    if (!Cancelled)
      Io_.stop();
  });
}

int Daemon::State::run() {
  auto PeerPort = Peers_.listen();
  if (const auto *Failed = std::get_if<PeerNetwork::Failure>(&PeerPort)) {
    logEvent(LogEvent::ListenFailed,
             {{"address", Settings_.PeerAddress}, {"error", Failed->Detail}});
    return ExitListenFailed;
  }
  PeerHeartbeat Self;
  Self.Host = Settings_.Name;
  Self.Incarnation = makeIdentifier();
  Self.Region = Settings_.Region;
  Self.Zone = Settings_.Zone;
  Self.PeerAddress = std::get<std::string>(PeerPort);
  Self.State = HostState::Starting;
  Core_ = std::make_unique<Engine>(Self, makeHooks());
  Context_.Core = Core_.get();
  for (const std::string &Seed : Settings_.Seeds)
    Core_->membership().addSeed(Seed);

  auto CallerPort = Server_->listen(Settings_.CallerAddress);
  if (const auto *Failed = std::get_if<HttpServer::Failure>(&CallerPort)) {
    logEvent(LogEvent::ListenFailed,
             {{"address", Settings_.CallerAddress}, {"error", Failed->Detail}});
    return ExitListenFailed;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Signals_.async_wait([this](error_code Cancelled, int /*Signal*/) {
    if (!Cancelled)
      beginDrain();
  });
  logEvent(LogEvent::HostStarted,
           {{"host", Settings_.Name},
            {"incarnation", Self.Incarnation},
            {"version", std::string_view(NUTMEGLOOM_VERSION)},
            {"callers", std::get<std::string>(CallerPort)},
            {"peers", Self.PeerAddress}});
  startTimer();
  bool Stopped = runEventLoop(Io_, currentTime, [](std::string_view Detail) {
    logEvent(LogEvent::UnexpectedError, {{"detail", Detail}});
  });
  return Stopped ? 0 : 1;
}

Daemon::Daemon(HostSettings Settings)
    : State_(std::make_unique<State>(std::move(Settings))) {}

Daemon::~Daemon() = default;

int Daemon::run() { return State_->run(); }

} // namespace nutmegloom
