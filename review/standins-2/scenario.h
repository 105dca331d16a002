#ifndef NUTMEGLOOM_REVIEW_SCENARIO_H
#define NUTMEGLOOM_REVIEW_SCENARIO_H

#include "hosts.h"

#include <fstream>

namespace review {

/// Exit codes of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// A small deployment with its platform, and the record of a case.
class Scenario {
public:
  struct Settings {
    std::string Program;
    /// Folder for the settings and logs of the processes.
    std::string Folder;
    std::string RecordFile;
    /// False: the disruption is left out.
    bool Trouble = true;
  };

  explicit Scenario(Settings Given);

  /// Seconds since the start of the case.
  double seconds() const;
  void note(const std::string &Text);
  static void wait(Milliseconds Time);
  /// Adds a machine of the system and starts its process.
  Host &addHost(const std::string &Name, const std::string &Zone,
                const std::map<std::string, std::string> &RegionsOfZones);
  /// Waits until all processes are ready; false: they are not.
  bool waitUntilReady(Milliseconds Timeout);
  /// Writes a configuration with one primary route for each name, and returns
  /// when the store has acknowledged it.
  void writeConfiguration(const std::vector<std::string> &Routes);
  /// Writes the latest configuration again, as after the return of the store.
  void rewriteConfiguration();

  Store &store() { return Store_; }
  Databases &databases() { return Databases_; }
  std::vector<std::unique_ptr<Host>> &hosts() { return Hosts_; }
  bool hasTrouble() const { return Given_.Trouble; }

private:
  Settings Given_;
  Clock::time_point Start_ = Clock::now();
  std::mutex RecordMutex_;
  std::ofstream Record_;
  std::string Network_;
  Store Store_;
  Databases Databases_;
  std::uint64_t Version_ = 0;
  json Configuration_;
  std::vector<std::unique_ptr<Host>> Hosts_;
};

Verdict runRestoredConfiguration(Scenario &Case);
Verdict runRestoredLeadership(Scenario &Case);
Verdict runRestoredToken(Scenario &Case);
Verdict runCutMembers(Scenario &Case);
Verdict runSentAhead(Scenario &Case);
Verdict runLatePromotion(Scenario &Case);
Verdict runCrowd(Scenario &Case);

} // namespace review

#endif // NUTMEGLOOM_REVIEW_SCENARIO_H
