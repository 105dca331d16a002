#include "testing/soak/checks.h"
#include "testing/soak/faults.h"
#include "testing/support/program.h"

#include <filesystem>
#include <iostream>

using namespace nutmegloom;
using namespace nutmegloom::testing;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds StartTime{2500};
/// Time in which service must be back once the last fault has ended: a crashed
/// database may still be down, and a host may still be stopping.
constexpr milliseconds RecoveryTime{16000};
constexpr milliseconds LastAnswers{2000};
/// Long enough for some callers to come to each host.
constexpr milliseconds ServiceCheck{4000};
constexpr milliseconds WatchInterval{100};

/// One run of the soak: faults and callers for a while, then recovery, then the
/// checks.
class Soak {
public:
  Soak(std::uint32_t Seed, std::size_t Hosts, std::size_t Count,
       const std::string &Program, const std::string &Folder,
       const std::string &Network)
      : Deployed_(Io_, Program, Folder, Network, Hosts),
        Faults_(Io_, Deployed_, Seed), Random_(Seed + 1),
        Callers_(Io_, Seed + 2, Count, Deployment::routes(),
                 {[this] { return pickHost(); }}) {
    watch();
  }

  /// Returns what was broken, one line each.
  std::vector<std::string> run(milliseconds Span) {
    Io_.run_for(StartTime);
    Faults_.start();
    Io_.run_for(Span);
    Faults_.stop();
    Io_.run_for(RecoveryTime);
    std::vector<std::string> Broken = unservedHosts();
    Callers_.stop();
    Io_.run_for(LastAnswers);
    for (std::string &Line :
         brokenPromises(Callers_, Deployed_.databases().runs()))
      Broken.push_back(std::move(Line));
    for (const std::string &Line : Deployed_.unexpectedEnds())
      Broken.push_back(Line);
    std::cout << Callers_.sent().size() << " statements sent, "
              << Callers_.answered() << " answered, "
              << Deployed_.databases().runs().size() << " run, "
              << Deployed_.store().promotions() << " promotion calls\n";
    return Broken;
  }

private:
  std::string pickHost() {
    auto Last = static_cast<int>(Deployed_.size()) - 1;
    auto Host = std::uniform_int_distribution<>(0, Last)(Random_);
    return Deployed_.callerAddress(static_cast<std::size_t>(Host));
  }

  void watch() {
    Timer_.expires_after(WatchInterval);
    Timer_.async_wait([this](auto Cancelled) {
      if (Cancelled)
        return;
      Deployed_.watchProcesses();
      watch();
    });
  }

  /// Hosts at which callers get nothing done any more.
  std::vector<std::string> unservedHosts() {
    std::map<std::string, std::size_t> Before = Callers_.doneByHost();
    Io_.run_for(ServiceCheck);
    std::map<std::string, std::size_t> After = Callers_.doneByHost();
    std::vector<std::string> Broken;
    for (std::size_t Host = 0; Host < Deployed_.size(); ++Host) {
      std::string Address = Deployed_.callerAddress(Host);
      if (After[Address] <= Before[Address])
        Broken.push_back("host " + std::to_string(Host) +
                         " does not serve after the faults");
    }
    return Broken;
  }

  boost::asio::io_context Io_;
  boost::asio::steady_timer Timer_{Io_};
  Deployment Deployed_;
  Faults Faults_;
  std::mt19937 Random_;
  Callers Callers_;
};

} // namespace

int main(int Argc, char **Argv) {
  std::string Seed = "1";
  std::string Seconds = "20";
  std::string Hosts = "6";
  std::string Count = "24";
  std::string Program;
  std::string Folder;
  std::string Network = "127.0.1";
  parseOptions(Argc, Argv,
               {{"seed", &Seed, "seed of the faults"},
                {"seconds", &Seconds, "time with faults"},
                {"hosts", &Hosts, "processes of nutmegloom-platform"},
                {"callers", &Count, "callers' connections"},
                {"program", &Program, "path of nutmegloom-platform"},
                {"folder", &Folder, "folder for settings and output"},
                {"network", &Network, "start of the hosts' addresses"}});
  std::filesystem::create_directories(Folder);
  Soak Run(static_cast<std::uint32_t>(parseNumberOrExit(Seed)),
           parseNumberOrExit(Hosts), parseNumberOrExit(Count),
           std::filesystem::absolute(Program).string(),
           std::filesystem::absolute(Folder).string(), Network);
  std::vector<std::string> Broken =
      Run.run(std::chrono::seconds(parseNumberOrExit(Seconds)));
  for (const std::string &Line : Broken)
    std::cout << "broken: " << Line << "\n";
  std::cout << "seed " << Seed << ": " << (Broken.empty() ? "passed" : "failed")
            << "\n";
  return Broken.empty() ? 0 : 1;
}
