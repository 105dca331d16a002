#include "deployment.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

namespace {

/// The run command of deploy/system.toml, from the root of the repository.
constexpr const char *Program = "target/platform/nutmegloom-platform";
constexpr Milliseconds TimeLimit{110000};
constexpr Milliseconds ReadyTimeout{15000};
const std::vector<std::string> Zones{"z1", "z2", "z3"};

/// True if the port is free at the address for TCP and UDP.
bool isFree(const std::string &Ip, std::uint16_t Port) {
  asio::io_context Io;
  boost::system::error_code Error;
  auto Address = asio::ip::make_address(Ip);
  tcp::acceptor Acceptor(Io);
  Acceptor.open(tcp::v4(), Error);
  Acceptor.bind({Address, Port}, Error);
  if (Error)
    return false;
  asio::ip::udp::socket Socket(Io);
  Socket.open(asio::ip::udp::v4(), Error);
  Socket.bind({Address, Port}, Error);
  return !Error;
}

std::uint16_t freePort(const std::string &Ip, std::uint16_t From) {
  for (std::uint16_t Port = From; Port < From + 500; ++Port)
    if (isFree(Ip, Port))
      return Port;
  throw CannotRun{"no free port at " + Ip};
}

/// Has the kernel end this process when the case ends, also if that is killed.
void endWithParent() { prctl(PR_SET_PDEATHSIG, SIGKILL); }

std::string variable(const char *Name, const char *Default) {
  const char *Value = std::getenv(Name);
  return Value ? Value : Default;
}

} // namespace

Deployment::Deployment(asio::io_context &Io, const std::string &RecordPath)
    : Io_(Io), Record_(RecordPath),
      Network_("127." + std::to_string(64 + getpid() % 64) + "." +
               std::to_string(getpid() / 64 % 256) + ".") {
  std::string Pattern =
      std::filesystem::temp_directory_path().string() + "/review-XXXXXX";
  if (!mkdtemp(Pattern.data()))
    throw CannotRun{"no temporary folder"};
  Temporary_ = Pattern;
  if (access(Program, X_OK) != 0)
    throw CannotRun{std::string(Program) + " is not built"};
  auto Loopback = [this] {
    return tcp::endpoint(asio::ip::make_address(nextIp()), 0);
  };
  Store_ = std::make_unique<Store>(Io_, Loopback());
  PromotionServer_ = std::make_unique<HttpServer>(
      Io_, Loopback(),
      [this](HttpRequest Request) { return promote(std::move(Request)); });
}

Deployment::~Deployment() {
  for (auto &Ended : Machines_) {
    if (Ended->Process > 0) {
      kill(Ended->Process, SIGKILL);
      waitpid(Ended->Process, nullptr, 0);
    }
  }
  if (LogReader_ > 0) {
    kill(LogReader_, SIGKILL);
    waitpid(LogReader_, nullptr, 0);
    close(LogPipe_);
  }
  std::error_code Ignored;
  std::filesystem::remove_all(Temporary_, Ignored);
}

std::string Deployment::nextIp() {
  return Network_ + std::to_string(NextIp_++);
}

DatabaseGroup &Deployment::addGroup(DatabaseGroup::Settings Options) {
  GroupSettings_.push_back(Options);
  Groups_.push_back(std::make_unique<DatabaseGroup>(
      Io_, *Store_, Record_, nextIp(), std::move(Options)));
  return *Groups_.back();
}

void Deployment::putConfiguration() {
  json Spec{{"Version", Version_},
            {"Routes", json::array()},
            {"Services", json::array()},
            {"Limits",
             {{"MaxHeaderBytes", 16384},
              {"MaxBodyBytes", 262144},
              {"HeaderTimeoutMs", 3000},
              {"IdleTimeoutMs", 15000},
              {"TransactionIdleMs", 3000}}}};
  auto AddRoute = [&](const std::string &Service, const char *Suffix,
                      const char *Kind, int Timeout, int Staleness) {
    if (DroppedRoutes_.contains(Service + Suffix))
      return;
    json Route{{"Name", "r-" + Service + Suffix},
               {"Host", Service + Suffix},
               {"PathPrefix", "/"},
               {"Kind", Kind},
               {"TimeoutMs", Timeout},
               {"TargetLatencyMs", 800},
               {"Priority", 1},
               {"Service", Service},
               {"MaxAttempts", 2}};
    if (Staleness > 0)
      Route["MaxStalenessMs"] = Staleness;
    Spec["Routes"].push_back(Route);
  };
  for (const DatabaseGroup::Settings &Group : GroupSettings_) {
    AddRoute(Group.Service, "-primary", "primary", 1000, 0);
    AddRoute(Group.Service, "-bounded", "bounded_staleness", 3000, 1500);
    AddRoute(Group.Service, "-own", "read_your_writes", 1000, 2500);
    Spec["Services"].push_back({{"Name", Group.Service},
                                {"HealthPath", "/health"},
                                {"MaxConnections", 34},
                                {"Protocol", "h1"},
                                {"Tls", false},
                                {"SyncReplicas", Group.SyncReplicas}});
  }
  Store_->put("config", "main", Spec);
  Record_.add("configuration " + std::to_string(Version_) + " acknowledged");
  Version_ += 3;
}

Deployment::Machine &Deployment::addMachine(const std::string &Name,
                                            const std::string &Zone) {
  auto Added = std::make_unique<Machine>();
  Added->Output = LogPipe_;
  std::string Ip = nextIp();
  auto Address = asio::ip::make_address(Ip);
  Added->Name = Name;
  Added->Zone = Zone;
  Added->Front = {Address, freePort(Ip, 8784)};
  Added->Ready = {Address, freePort(Ip, 9385)};
  Added->StoreLink =
      std::make_unique<Link>(Io_, tcp::endpoint(Address, 0), Store_->address());
  Added->PromotionLink = std::make_unique<Link>(Io_, tcp::endpoint(Address, 0),
                                                PromotionServer_->address());
  json Settings{{"host", Name},
                {"address", Ip},
                {"availabilityZone", Zone},
                {"region", "r1"},
                {"callerAddress", textOf(Added->Front)},
                {"readinessAddress", textOf(Added->Ready)},
                {"peerPort", freePort(Ip, 7440)},
                {"metricsPort", freePort(Ip, 7990)},
                {"storeAddress", textOf(Added->StoreLink->address())},
                {"promotionAddress", textOf(Added->PromotionLink->address())},
                {"cores", 0.25},
                {"linkMbitPerSecond", 1000.0},
                {"stopGraceSeconds", 6}};
  for (const std::string &Known : Zones)
    Settings["regionsOfZones"][Known] = "r1";
  Added->Settings = Temporary_ + "/" + Name + ".json";
  std::ofstream(Added->Settings) << Settings.dump(2);
  Machines_.push_back(std::move(Added));
  startProcess(*Machines_.back());
  return *Machines_.back();
}

pid_t Deployment::startLogReader() {
  int Ends[2];
  if (pipe2(Ends, O_CLOEXEC) != 0)
    throw CannotRun{"no pipe"};
  LogPipe_ = Ends[1];
  LogReader_ = fork();
  if (LogReader_ == 0) {
    endWithParent();
    dup2(Ends[0], STDIN_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    char Buffer[4096];
    while (read(STDIN_FILENO, Buffer, sizeof Buffer) > 0)
      continue;
    _exit(0);
  }
  close(Ends[0]);
  return LogReader_;
}

void Deployment::startProcess(Machine &On) {
  std::string Path = "NUTMEGLOOM_BOOT=" + On.Settings;
  std::string Search = "PATH=" + variable("PATH", "/usr/bin:/bin");
  std::string Home = "HOME=" + variable("HOME", "/");
  std::string Language = "LANG=" + variable("LANG", "C.UTF-8");
  char *Environment[] = {Path.data(), Search.data(), Home.data(),
                         Language.data(), nullptr};
  std::string Name = Program;
  char *Words[] = {Name.data(), nullptr};
  int Output = On.Output >= 0
                   ? On.Output
                   : open((Temporary_ + "/" + On.Name + ".log").c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  On.Process = fork();
  if (On.Process == 0) {
    endWithParent();
    dup2(Output, STDOUT_FILENO);
    // The sockets of the stand-ins must not stay open in other processes.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execve(Program, Words, Environment);
    _exit(127);
  }
  if (On.Output < 0)
    close(Output);
  if (On.Process < 0)
    throw CannotRun{"no process can be started"};
  Record_.add("process of " + On.Name + " starts");
}

void Deployment::signal(Machine &To, int Signal) {
  if (To.Process > 0)
    kill(To.Process, Signal);
  Record_.add(std::string("SIG") + sigabbrev_np(Signal) + " to " + To.Name);
}

bool Deployment::hasEnded(Machine &On) {
  if (On.Process <= 0)
    return true;
  int Status = 0;
  if (waitpid(On.Process, &Status, WNOHANG) != On.Process)
    return false;
  Record_.add("process of " + On.Name + " has ended, " +
              (WIFSIGNALED(Status)
                   ? "signal " + std::to_string(WTERMSIG(Status))
                   : "code " + std::to_string(WEXITSTATUS(Status))));
  On.Process = 0;
  return true;
}

asio::awaitable<void> Deployment::waitUntilReady() {
  auto End = std::chrono::steady_clock::now() + ReadyTimeout;
  for (auto &Started : Machines_)
    while (co_await getStatus(Started->Ready, "/v1/readiness") != 200) {
      if (std::chrono::steady_clock::now() > End)
        throw CannotRun{Started->Name + " does not become ready"};
      co_await pause(Milliseconds{200});
    }
  Record_.add("all machines are ready");
}

asio::awaitable<std::optional<HttpReply>>
Deployment::promote(HttpRequest Request) {
  json Body = json::parse(Request.Body);
  Promotion Call;
  Call.At = Record_.seconds();
  Call.Holder = Request.Headers["lease-holder"];
  Call.Token = std::stoull(Request.Headers["fencing-token"]);
  Call.Service = Body["Service"].get<std::string>();
  Call.Database = Body["Id"].get<std::string>();
  Call.Status = RefusalStatus_;
  if (Call.Status == 0) {
    Call.Status = 409;
    for (std::size_t At = 0; At < Groups_.size(); ++At)
      if (GroupSettings_[At].Service == Call.Service &&
          Groups_[At]->promote(Call.Database))
        Call.Status = 200;
  }
  Promotions_.push_back(Call);
  Record_.add("POST /promotion of " + Call.Database + " by " + Call.Holder +
              " with token " + std::to_string(Call.Token) + ": " +
              std::to_string(Call.Status));
  co_return HttpReply{Call.Status, "{}"};
}

int runCase(int Count, char **Arguments, const Case &Body) {
  std::signal(SIGPIPE, SIG_IGN);
  auto Result = Verdict::CouldNotRun;
  try {
    if (Count != 2)
      throw CannotRun{"usage: PROGRAM RECORD-FILE"};
    asio::io_context Io;
    Deployment Run(Io, Arguments[1]);
    bool Trouble = variable("TROUBLE", "1") != "0";
    bool Finished = false;
    asio::co_spawn(Io, Body(Run, Trouble),
                   [&](std::exception_ptr Error, Verdict Given) {
                     if (Error)
                       std::rethrow_exception(Error);
                     Result = Given;
                     Finished = true;
                     Io.stop();
                   });
    asio::steady_timer Limit(Io, TimeLimit);
    Limit.async_wait([&](auto) { Io.stop(); });
    Io.run();
    if (!Finished)
      throw CannotRun{"the case took too long"};
    Run.record().add(Result == Verdict::Broken ? "the rule was broken"
                                               : "the rule held");
  } catch (const CannotRun &Error) {
    std::cerr << "can't run: " << Error.Detail << "\n";
    Result = Verdict::CouldNotRun;
  } catch (const std::exception &Error) {
    std::cerr << "can't run: " << Error.what() << "\n";
    Result = Verdict::CouldNotRun;
  }
  return static_cast<int>(Result);
}

} // namespace review
