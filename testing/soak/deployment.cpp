#include "testing/soak/deployment.h"

#include <csignal>
#include <fstream>

namespace nutmegloom::testing {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// The process that reads the settings' path from its environment.
constexpr const char *Environment = "/usr/bin/env";
constexpr std::uint16_t CallerPort = 18784;
constexpr std::uint16_t ReadinessPort = 18785;
constexpr std::uint16_t PeerPort = 17440;
constexpr std::uint16_t MetricsPort = 17455;
constexpr milliseconds EndPoll{50};
/// Entries of a database that is silent lapse after this time.
constexpr milliseconds EntryLife{2500};
/// Few slots in each of six zones, so that some hosts of the two that are used
/// relay.
const std::vector<std::string> Zones{"z1", "z2", "z3", "z4", "z5", "z6"};
constexpr std::size_t UsedZones = 2;
const std::vector<std::string> Ids{"a", "b", "c"};

} // namespace

const std::vector<std::string> &Deployment::routes() {
  static const std::vector<std::string> Routes{"primary", "bounded", "own"};
  return Routes;
}

Deployment::Deployment(boost::asio::io_context &Io, std::string Program,
                       std::string Folder, const std::string &Network,
                       std::size_t Hosts)
    : Io_(Io), Program_(std::move(Program)), Folder_(std::move(Folder)),
      Databases_(Io, "g", Ids), Store_(Io,
                                       [this](const std::string &Id) {
                                         if (!Databases_.isUp(Id))
                                           return false;
                                         Databases_.promote(Id);
                                         for (const std::string &Member : Ids)
                                           if (Databases_.isUp(Member))
                                             list(Member);
                                         return true;
                                       }),
      Processes_(Folder_) {
  for (const std::string &Id : Ids) {
    Proxies_[Id] = std::make_unique<FaultProxy>(Io_, Databases_.addressOf(Id));
    list(Id);
  }
  configure();
  for (std::size_t At = 0; At < Hosts; ++At) {
    Host Made;
    Made.Name = "host-" + std::to_string(At);
    Made.Address = Network + "." + std::to_string(At + 1);
    Made.Zone = Zones[At % UsedZones];
    Made.Store = std::make_unique<FaultProxy>(Io_, Store_.address());
    Hosts_.push_back(std::move(Made));
    writeSettings(Hosts_.back());
    start(At);
  }
}

std::string Deployment::callerAddress(std::size_t At) const {
  return Hosts_[At].Address + ":" + std::to_string(CallerPort);
}

void Deployment::writeSettings(const Host &Of) {
  json Settings;
  auto At = [&](std::uint16_t Port) {
    return Of.Address + ":" + std::to_string(Port);
  };
  Settings["host"] = Of.Name;
  Settings["address"] = Of.Address;
  Settings["availabilityZone"] = Of.Zone;
  Settings["region"] = "r";
  for (const std::string &Zone : Zones)
    Settings["regionsOfZones"][Zone] = "r";
  Settings["callerAddress"] = At(CallerPort);
  Settings["readinessAddress"] = At(ReadinessPort);
  Settings["peerPort"] = PeerPort;
  Settings["metricsPort"] = MetricsPort;
  Settings["storeAddress"] = Of.Store->address();
  Settings["promotionAddress"] = Of.Store->address();
  Settings["cores"] = 1;
  Settings["linkMbitPerSecond"] = 1000;
  Settings["stopGraceSeconds"] = 6;
  std::ofstream(Folder_ + "/" + Of.Name + ".json") << Settings.dump(2);
}

void Deployment::list(const std::string &Id) {
  bool Leads = Databases_.primary() == Id;
  Store_.put("servers", Id,
             {{"Service", "g"},
              {"Address", Proxies_.at(Id)->address()},
              {"Zone", Zones.front()},
              {"Slots", 5},
              {"State", "ready"},
              {"DatabaseRole", Leads ? "primary" : "replica"}});
}

void Deployment::configure() {
  json Content;
  Content["Version"] = ++Version_;
  Content["Routes"] = json::array();
  for (const std::string &Route : routes()) {
    bool NeedsPrimary = Route == routes().front();
    const char *Bounded =
        Route == "bounded" ? "bounded_staleness" : "read_your_writes";
    Content["Routes"].push_back({{"Host", Route},
                                 {"Service", "g"},
                                 {"Kind", NeedsPrimary ? "primary" : Bounded},
                                 {"TimeoutMs", 1000},
                                 {"MaxStalenessMs", 1500},
                                 {"Priority", 1}});
  }
  // Later versions add routes that nobody uses.
  Content["Routes"].push_back({{"Host", "idle" + std::to_string(Version_)},
                               {"Service", "g"},
                               {"Kind", "primary"},
                               {"TimeoutMs", 1000},
                               {"Priority", 1}});
  Content["Services"] = {{{"Name", "g"}, {"MaxConnections", 34}}};
  Store_.put("config", "main", Content);
}

void Deployment::later(milliseconds Time, std::function<void()> Call) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Time);
  Timer->async_wait([Timer, Call = std::move(Call)](auto Cancelled) {
    if (!Cancelled)
      Call();
  });
}

void Deployment::start(std::size_t At) {
  Host &Of = Hosts_[At];
  Of.Up = true;
  Of.Killed = false;
  Processes_.start(Of.Name, Environment,
                   {Environment,
                    "NUTMEGLOOM_BOOT=" + Folder_ + "/" + Of.Name + ".json",
                    Program_});
}

void Deployment::signal(std::size_t At, int Signal) {
  if (!Processes_.exitCode(Hosts_[At].Name))
    Processes_.sendSignal(Hosts_[At].Name, Signal);
}

void Deployment::restart(std::size_t At, bool Gracefully, milliseconds Pause) {
  Host &Of = Hosts_[At];
  Of.Up = false;
  Of.Killed |= !Gracefully;
  // A stopped process acts on a signal only when it goes on.
  signal(At, SIGCONT);
  signal(At, Gracefully ? SIGTERM : SIGKILL);
  later(Pause, [this, At] {
    if (!Processes_.exitCode(Hosts_[At].Name)) {
      restart(At, !Hosts_[At].Killed, EndPoll);
      return;
    }
    start(At);
  });
}

/// A process that ends by itself, or with an error after a graceful stop.
void Deployment::watchProcesses() {
  for (std::size_t At = 0; At < Hosts_.size(); ++At) {
    Host &Of = Hosts_[At];
    std::optional<int> Code = Processes_.exitCode(Of.Name);
    if (!Code || !Of.Up)
      continue;
    Ends_.push_back(Of.Name + " ended by itself with " + std::to_string(*Code));
    start(At);
  }
}

void Deployment::crash(const std::string &Id, milliseconds Down) {
  if (!Databases_.isUp(Id))
    return;
  Databases_.crash(Id);
  later(EntryLife, [this, Id] {
    if (!Databases_.isUp(Id))
      Store_.erase("servers", Id);
  });
  later(Down, [this, Id] {
    Databases_.restart(Id);
    list(Id);
  });
}

void Deployment::healProxies() {
  for (Host &Of : Hosts_)
    Of.Store->heal();
  for (auto &[Id, Proxy] : Proxies_)
    Proxy->heal();
}

} // namespace nutmegloom::testing
