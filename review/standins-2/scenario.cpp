#include "scenario.h"

#include <unistd.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace review {

static constexpr Milliseconds ReadyPollInterval{50};

Scenario::Scenario(Settings Given)
    : Given_(std::move(Given)), Record_(Given_.RecordFile),
      Network_("127." + std::to_string(64 + ::getpid() % 128) + "." +
               std::to_string(1 + ::getpid() / 128 % 250)),
      Databases_(Store_, {}, [this] { return seconds(); }) {}

double Scenario::seconds() const {
  return std::chrono::duration<double>(Clock::now() - Start_).count();
}

void Scenario::note(const std::string &Text) {
  std::ostringstream Line;
  Line << std::fixed << std::setprecision(3) << std::setw(8) << seconds()
       << "  " << Text << "\n";
  std::lock_guard Lock(RecordMutex_);
  Record_ << Line.str() << std::flush;
  std::cout << Line.str() << std::flush;
}

void Scenario::wait(Milliseconds Time) { std::this_thread::sleep_for(Time); }

Host &
Scenario::addHost(const std::string &Name, const std::string &Zone,
                  const std::map<std::string, std::string> &RegionsOfZones) {
  Host::Settings Settings;
  Settings.Name = Name;
  Settings.Ip = Network_ + "." + std::to_string(Hosts_.size() + 1);
  Settings.Zone = Zone;
  Settings.RegionsOfZones = RegionsOfZones;
  Settings.Program = Given_.Program;
  Settings.Folder = Given_.Folder;
  Hosts_.push_back(std::make_unique<Host>(Store_, Databases_, Settings));
  Hosts_.back()->start();
  note("started the process of machine " + Name + " in zone " + Zone);
  return *Hosts_.back();
}

bool Scenario::waitUntilReady(Milliseconds Timeout) {
  Clock::time_point Until = Clock::now() + Timeout;
  auto IsReady = [](const auto &Known) { return Known->readiness() == 200; };
  while (!std::all_of(Hosts_.begin(), Hosts_.end(), IsReady)) {
    if (Clock::now() >= Until)
      return false;
    wait(ReadyPollInterval);
  }
  note("all machines are ready");
  return true;
}

void Scenario::writeConfiguration(const std::vector<std::string> &Routes) {
  json Content;
  Version_ += 3;
  Content["Version"] = Version_;
  Content["Routes"] = json::array();
  std::string Names;
  for (const std::string &Route : Routes) {
    Names += " " + Route;
    Content["Routes"].push_back({{"Host", Route},
                                 {"Service", Databases_.service()},
                                 {"Kind", "primary"},
                                 {"TimeoutMs", 2000},
                                 {"TargetLatencyMs", 400},
                                 {"MaxStalenessMs", 0},
                                 {"Priority", 1}});
  }
  Content["Services"] = {{{"Name", Databases_.service()},
                          {"MaxConnections", 34},
                          {"SyncReplicas", 0}}};
  Content["Limits"] = {{"TransactionIdleMs", 3000}};
  Configuration_ = Content;
  Store_.put("config", "main", Content);
  note("the store acknowledged configuration " + std::to_string(Version_) +
       " with the routes" + Names + ", revision " +
       std::to_string(Store_.revision()));
}

void Scenario::rewriteConfiguration() {
  Store_.put("config", "main", Configuration_);
}

} // namespace review
