#ifndef NUTMEGLOOM_TESTING_SUPPORT_PROCESSTABLE_H
#define NUTMEGLOOM_TESTING_SUPPORT_PROCESSTABLE_H

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegloom::testing {

/// Processes that a test starts, by name. All of them end with this object and
/// with the runner's process. Functions throw std::runtime_error.
class ProcessTable {
public:
  /// Output goes to NAME.out, errors are added to NAME.log in the folder.
  explicit ProcessTable(std::string Folder) : Folder_(std::move(Folder)) {}
  ~ProcessTable();
  ProcessTable(const ProcessTable &) = delete;
  ProcessTable &operator=(const ProcessTable &) = delete;

  /// Starts a program under a name that no running process has.
  void start(const std::string &Name, const std::string &Program,
             const std::vector<std::string> &Arguments);
  void sendSignal(const std::string &Name, int Signal);
  /// Exit code, 128 and the signal's number after a signal, nothing while the
  /// process runs.
  std::optional<int> exitCode(const std::string &Name);
  /// CPU time that the process has used.
  double cpuMilliseconds(const std::string &Name);
  std::string outputPath(const std::string &Name) const;
  std::string logPath(const std::string &Name) const;
  std::vector<std::string> names() const;

private:
  struct Process {
    pid_t Id = 0;
    std::optional<int> ExitCode;
  };

  Process &findProcess(const std::string &Name);

  std::string Folder_;
  std::map<std::string, Process> Processes_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SUPPORT_PROCESSTABLE_H
