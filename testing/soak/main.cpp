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
/// Time to recover after faults have stopped. It is long because a crashed
/// database may still be down and a host may still be shutting down.
constexpr milliseconds RecoveryTime{16000};
constexpr milliseconds LastAnswers{2000};
/// Long enough for some callers to connect to each host.
constexpr milliseconds ServiceCheck{4000};
constexpr milliseconds WatchInterval{100};
/// Time in which a lost primary must be replaced once the faults have ended.
constexpr milliseconds ReplacementTime{12000};
constexpr milliseconds ReplacementPollInterval{100};

/// One soak run: callers under faults, a recovery phase without faults, then
/// the checks.
class Soak {
public:
  Soak(std::uint32_t Seed, std::size_t Hosts, std::size_t Count,
       const std::string &Program, const std::string &Folder,
       const std::string &Network)
      : Deployment_(Io_, Program, Folder, Network, Hosts),
        Faults_(Io_, Deployment_, Seed), Random_(Seed + 1),
        Callers_(Io_, Seed + 2, Count, Deployment::routes(),
                 {[this] { return pickHost(); }}) {
    watch();
  }

  /// Runs with faults for the duration. Returns one line for each violation.
  std::vector<std::string> run(milliseconds Duration) {
    Io_.run_for(StartTime);
    Faults_.start();
    Io_.run_for(Duration);
    Faults_.stop();
    Io_.run_for(RecoveryTime);
    std::vector<std::string> Violations = findUnservedHosts();
    for (std::string &Line : findUnreplacedPrimary())
      Violations.push_back(std::move(Line));
    Callers_.stop();
    Io_.run_for(LastAnswers);
    for (std::string &Line :
         findViolations(Callers_, Deployment_.databases().runs()))
      Violations.push_back(std::move(Line));
    for (const std::string &Line : Deployment_.unexpectedExits())
      Violations.push_back(Line);
    std::cout << Callers_.sent().size() << " statements sent, "
              << Callers_.answered() << " answered, "
              << Deployment_.databases().runs().size() << " run, "
              << Deployment_.store().promotions() << " promotion calls\n";
    return Violations;
  }

private:
  std::string pickHost() {
    auto Last = static_cast<int>(Deployment_.size()) - 1;
    auto Host = std::uniform_int_distribution<>(0, Last)(Random_);
    return Deployment_.callerAddress(static_cast<std::size_t>(Host));
  }

  void watch() {
    Timer_.expires_after(WatchInterval);
    Timer_.async_wait([this](auto Cancelled) {
      if (Cancelled)
        return;
      Deployment_.checkProcesses();
      watch();
    });
  }

  /// Reports hosts at which no statement completes within ServiceCheck.
  std::vector<std::string> findUnservedHosts() {
    std::map<std::string, std::size_t> Before = Callers_.completedByHost();
    Io_.run_for(ServiceCheck);
    std::map<std::string, std::size_t> After = Callers_.completedByHost();
    std::vector<std::string> Violations;
    for (std::size_t Host = 0; Host < Deployment_.size(); ++Host) {
      std::string Address = Deployment_.callerAddress(Host);
      if (After[Address] <= Before[Address])
        Violations.push_back("host " + std::to_string(Host) +
                             " does not serve after the faults");
    }
    return Violations;
  }

  /// Crashes the primary and waits for another one. A group may be served and
  /// still not be able to replace its primary.
  std::vector<std::string> findUnreplacedPrimary() {
    std::string Lost = Deployment_.databases().primary();
    Deployment_.crash(Lost, ReplacementTime * 2);
    milliseconds Waited{0};
    while (Deployment_.databases().primary() == Lost &&
           Waited < ReplacementTime) {
      Io_.run_for(ReplacementPollInterval);
      Waited += ReplacementPollInterval;
    }
    if (Deployment_.databases().primary() != Lost)
      return {};
    return {"the lost primary " + Lost + " is not replaced after the faults"};
  }

  boost::asio::io_context Io_;
  boost::asio::steady_timer Timer_{Io_};
  Deployment Deployment_;
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
  parseOptions(
      Argc, Argv,
      {{"seed", &Seed, "seed of the faults"},
       {"seconds", &Seconds, "duration of the faults"},
       {"hosts", &Hosts, "number of nutmegloom-platform processes"},
       {"callers", &Count, "number of callers"},
       {"program", &Program, "path of nutmegloom-platform"},
       {"folder", &Folder, "folder for settings and output"},
       {"network", &Network, "first three numbers of the hosts' addresses"}});
  std::filesystem::create_directories(Folder);
  Soak Run(static_cast<std::uint32_t>(parseNumberOrExit(Seed)),
           parseNumberOrExit(Hosts), parseNumberOrExit(Count),
           std::filesystem::absolute(Program).string(),
           std::filesystem::absolute(Folder).string(), Network);
  std::vector<std::string> Violations =
      Run.run(std::chrono::seconds(parseNumberOrExit(Seconds)));
  for (const std::string &Line : Violations)
    std::cout << "broken: " << Line << "\n";
  std::cout << "seed " << Seed << ": "
            << (Violations.empty() ? "passed" : "failed") << "\n";
  return Violations.empty() ? 0 : 1;
}
