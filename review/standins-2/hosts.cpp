#include "hosts.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace review {

namespace {

constexpr Milliseconds ConnectTimeout{1000};
constexpr Milliseconds ReadinessTimeout{500};
/// Clients give up a session that is not accepted within this time.
constexpr Milliseconds StartTimeout{2000};
constexpr Milliseconds AnswerTimeout{5000};
constexpr Milliseconds EndPollInterval{20};

} // namespace

Host::Host(Store &Registry, Databases &Served, Settings Given)
    : Given_(std::move(Given)), Entrance_(Registry.open("127.0.1.1")),
      Promotions_(Served.openPromotions("127.0.1.1")) {
  CallerPort_ = freePort(Given_.Ip);
  ReadinessPort_ = freePort(Given_.Ip);
  std::uint16_t PeerPort = freePort(Given_.Ip);
  std::uint16_t MetricsPort = freePort(Given_.Ip);
  auto At = [&](std::uint16_t Port) {
    return Given_.Ip + ":" + std::to_string(Port);
  };
  json Settings{{"host", Given_.Name},
                {"address", Given_.Ip},
                {"availabilityZone", Given_.Zone},
                {"region", Given_.RegionsOfZones.at(Given_.Zone)},
                {"regionsOfZones", Given_.RegionsOfZones},
                {"callerAddress", At(CallerPort_)},
                {"readinessAddress", At(ReadinessPort_)},
                {"peerPort", PeerPort},
                {"metricsPort", MetricsPort},
                {"storeAddress", Entrance_->Port->address()},
                {"promotionAddress", Promotions_->Port->address()},
                {"cores", Given_.Cores},
                {"linkMbitPerSecond", Given_.LinkMbitPerSecond},
                {"stopGraceSeconds", Given_.GraceSeconds}};
  SettingsFile_ = Given_.Folder + "/" + Given_.Name + ".json";
  std::ofstream(SettingsFile_) << Settings.dump(2) << "\n";
}

Host::~Host() {
  if (Process_ == 0)
    return;
  sendSignal(SIGKILL);
  waitForEnd(Milliseconds{5000});
}

void Host::start() {
  std::string Log = Given_.Folder + "/" + Given_.Name + ".log";
  Process_ = ::fork();
  if (Process_ != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::setenv("NUTMEGLOOM_BOOT", SettingsFile_.c_str(), 1);
  int Output = ::open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execl(Given_.Program.c_str(), Given_.Program.c_str(), nullptr);
  ::_exit(127);
}

void Host::sendSignal(int Signal) const { ::kill(Process_, Signal); }

bool Host::isRunning() {
  if (Process_ == 0)
    return false;
  int Status = 0;
  if (::waitpid(Process_, &Status, WNOHANG) != Process_)
    return true;
  Process_ = 0;
  return false;
}

bool Host::waitForEnd(Milliseconds Timeout) {
  Clock::time_point Until = Clock::now() + Timeout;
  while (isRunning()) {
    if (Clock::now() >= Until)
      return false;
    std::this_thread::sleep_for(EndPollInterval);
  }
  return true;
}

int Host::readiness() const {
  auto Connection =
      Socket::connect(Given_.Ip, ReadinessPort_, ReadinessTimeout);
  if (!Connection ||
      !Connection->send("GET /v1/readiness HTTP/1.1\r\nHost: host\r\n\r\n"))
    return 0;
  auto Line = Connection->readUntil("\r\n", ReadinessTimeout);
  return Line && Line->size() > 12 ? std::stoi(Line->substr(9, 3)) : 0;
}

std::size_t Host::residentMegabytes() const {
  std::ifstream Status("/proc/" + std::to_string(Process_) + "/status");
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.starts_with("VmRSS:"))
      return std::stoull(Line.substr(Line.find_first_of("0123456789"))) / 1024;
  return 0;
}

std::unique_ptr<Client> Client::open(const Host &Where,
                                     const std::string &Route,
                                     std::string &Refusal) {
  auto Opened = std::make_unique<Client>();
  Opened->Connection_ =
      Socket::connect(Where.ip(), Where.callerPort(), ConnectTimeout);
  Refusal = "no connection";
  if (!Opened->Connection_)
    return nullptr;
  Opened->Connection_->send("START " + Route + " client\r\n");
  auto Line = Opened->Connection_->readUntil("\r\n", StartTimeout);
  Refusal = Line ? *Line : "no answer";
  return Line && Line->starts_with("READY") ? std::move(Opened) : nullptr;
}

std::string Client::run(const std::string &Text) {
  static std::atomic<std::uint64_t> Number{0};
  std::ostringstream Id;
  Id << std::hex << "5c0e" << ++Number;
  LastId_ = Id.str();
  Connection_->send("QUERY " + LastId_ + " " + Text + "\r\n");
  std::string Last = "no answer";
  while (auto Line = Connection_->readUntil("\r\n", AnswerTimeout)) {
    if (Line->starts_with("READY"))
      return Last;
    Last = *Line;
  }
  return "no answer";
}

} // namespace review
