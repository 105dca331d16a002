#include "testing/soak/deployment.h"

#include <csignal>
#include <fstream>

namespace nutmegloom::testing {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// env(1), which sets the variable with the path of the settings.
constexpr const char *Environment = "/usr/bin/env";
constexpr std::uint16_t CallerPort = 18784;
constexpr std::uint16_t ReadinessPort = 18785;
constexpr std::uint16_t PeerPort = 17440;
constexpr std::uint16_t MetricsPort = 17455;
constexpr milliseconds ExitPollInterval{50};
/// Time after which the list entry of a crashed database is removed.
constexpr milliseconds ListEntryLifetime{2500};
/// Time after which the operator and the databases write their objects again.
constexpr milliseconds RewriteDelay{700};
/// The slots of a database are divided among six zones of which two have hosts,
/// so that zones have few slots and some hosts relay statements.
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
                                             putDatabaseEntry(Member);
                                         return true;
                                       }),
      Processes_(Folder_) {
  for (const std::string &Id : Ids) {
    Proxies_[Id] = std::make_unique<FaultProxy>(Io_, Databases_.addressOf(Id));
    putDatabaseEntry(Id);
  }
  putNextConfiguration();
  for (std::size_t At = 0; At < Hosts; ++At) {
    Host Created;
    Created.Name = "host-" + std::to_string(At);
    Created.Address = Network + "." + std::to_string(At + 1);
    Created.Zone = Zones[At % UsedZones];
    Created.Store = std::make_unique<FaultProxy>(Io_, Store_.address());
    Hosts_.push_back(std::move(Created));
    writeSettings(Hosts_.back());
    start(At);
  }
}

std::string Deployment::callerAddress(std::size_t At) const {
  return Hosts_[At].Address + ":" + std::to_string(CallerPort);
}

void Deployment::writeSettings(const Host &Entry) {
  json Settings;
  auto At = [&](std::uint16_t Port) {
    return Entry.Address + ":" + std::to_string(Port);
  };
  Settings["host"] = Entry.Name;
  Settings["address"] = Entry.Address;
  Settings["availabilityZone"] = Entry.Zone;
  Settings["region"] = "r";
  for (const std::string &Zone : Zones)
    Settings["regionsOfZones"][Zone] = "r";
  Settings["callerAddress"] = At(CallerPort);
  Settings["readinessAddress"] = At(ReadinessPort);
  Settings["peerPort"] = PeerPort;
  Settings["metricsPort"] = MetricsPort;
  Settings["storeAddress"] = Entry.Store->address();
  Settings["promotionAddress"] = Entry.Store->address();
  Settings["cores"] = 1;
  Settings["linkMbitPerSecond"] = 1000;
  Settings["stopGraceSeconds"] = 6;
  std::ofstream(Folder_ + "/" + Entry.Name + ".json") << Settings.dump(2);
}

void Deployment::putDatabaseEntry(const std::string &Id) {
  if (Id != Replaced_)
    putDatabaseEntry(Id, "ready");
}

void Deployment::putDatabaseEntry(const std::string &Id, const char *State) {
  bool Leads = Databases_.primary() == Id;
  Store_.put("servers", Id,
             {{"Service", "g"},
              {"Address", Proxies_.at(Id)->address()},
              {"Zone", Zones.front()},
              {"Slots", 5},
              {"State", State},
              {"DatabaseRole", Leads ? "primary" : "replica"},
              {"born", Starts_[Id]}});
}

void Deployment::putNextConfiguration() {
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
  // An unused route whose name differs in each version.
  Content["Routes"].push_back({{"Host", "idle" + std::to_string(Version_)},
                               {"Service", "g"},
                               {"Kind", "primary"},
                               {"TimeoutMs", 1000},
                               {"Priority", 1}});
  Content["Services"] = {{{"Name", "g"}, {"MaxConnections", 34}}};
  Configuration_ = std::move(Content);
  Store_.put("config", "main", Configuration_);
}

void Deployment::restoreStore() {
  Store_.restore();
  schedule(RewriteDelay, [this] {
    Store_.put("config", "main", Configuration_);
    for (const auto &[Id, Proxy] : Proxies_) {
      if (!Databases_.isUp(Id))
        Store_.erase("servers", Id);
      else
        putDatabaseEntry(Id, Id == Replaced_ ? "draining" : "ready");
    }
  });
}

void Deployment::schedule(milliseconds Time, std::function<void()> Action) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Time);
  Timer->async_wait([Timer, Action = std::move(Action)](auto Cancelled) {
    if (!Cancelled)
      Action();
  });
}

void Deployment::start(std::size_t At) {
  Host &Entry = Hosts_[At];
  Entry.Up = true;
  Entry.Killed = false;
  Processes_.start(Entry.Name, Environment,
                   {Environment,
                    "NUTMEGLOOM_BOOT=" + Folder_ + "/" + Entry.Name + ".json",
                    Program_});
}

void Deployment::signal(std::size_t At, int Signal) {
  if (!Processes_.exitCode(Hosts_[At].Name))
    Processes_.sendSignal(Hosts_[At].Name, Signal);
}

void Deployment::restart(std::size_t At, bool Gracefully, milliseconds Pause) {
  Host &Entry = Hosts_[At];
  Entry.Up = false;
  Entry.Killed |= !Gracefully;
  // A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
  signal(At, SIGCONT);
  signal(At, Gracefully ? SIGTERM : SIGKILL);
  schedule(Pause, [this, At] {
    if (!Processes_.exitCode(Hosts_[At].Name)) {
      restart(At, !Hosts_[At].Killed, ExitPollInterval);
      return;
    }
    start(At);
  });
}

/// Processes that restart() is ending are not reported.
void Deployment::checkProcesses() {
  for (std::size_t At = 0; At < Hosts_.size(); ++At) {
    Host &Entry = Hosts_[At];
    std::optional<int> Code = Processes_.exitCode(Entry.Name);
    if (!Code || !Entry.Up)
      continue;
    UnexpectedExits_.push_back(Entry.Name + " ended by itself with " +
                               std::to_string(*Code));
    start(At);
  }
}

void Deployment::crash(const std::string &Id, milliseconds Down) {
  if (!Databases_.isUp(Id))
    return;
  Databases_.crash(Id);
  schedule(ListEntryLifetime, [this, Id] {
    if (!Databases_.isUp(Id))
      Store_.erase("servers", Id);
  });
  schedule(Down, [this, Id] {
    Databases_.restart(Id);
    putDatabaseEntry(Id);
  });
}

void Deployment::replaceDatabase(const std::string &Id, milliseconds Duration) {
  if (!Replaced_.empty() || !Databases_.isUp(Id))
    return;
  Replaced_ = Id;
  putDatabaseEntry(Id, "draining");
  schedule(Duration / 2, [this, Id] { Store_.erase("servers", Id); });
  schedule(Duration, [this, Id] {
    Replaced_.clear();
    ++Starts_[Id];
    if (Databases_.isUp(Id))
      putDatabaseEntry(Id);
  });
}

void Deployment::putOddEntry(std::string Content, milliseconds Duration) {
  std::string Name = "odd-" + std::to_string(++OddEntries_);
  Store_.putText("servers", Name, std::move(Content));
  schedule(Duration, [this, Name] { Store_.erase("servers", Name); });
}

void Deployment::healProxies() {
  for (Host &Entry : Hosts_)
    Entry.Store->heal();
  for (auto &[Id, Proxy] : Proxies_)
    Proxy->heal();
}

} // namespace nutmegloom::testing
