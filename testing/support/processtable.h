#ifndef NUTMEGLOOM_TESTING_SUPPORT_PROCESSTABLE_H
#define NUTMEGLOOM_TESTING_SUPPORT_PROCESSTABLE_H

#include <sys/types.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegloom::testing {

/// Child processes of a test, by name. Those that still run are killed by the
/// destructor, or by the kernel when the thread that started them ends.
/// Functions that take a name throw std::runtime_error if no process was
/// started under it.
class ProcessTable {
public:
  /// Standard output is written to Folder/NAME.out, which each start truncates;
  /// standard error is appended to Folder/NAME.log.
  explicit ProcessTable(std::string Folder) : Folder_(std::move(Folder)) {}
  ~ProcessTable();
  ProcessTable(const ProcessTable &) = delete;
  ProcessTable &operator=(const ProcessTable &) = delete;

  /// Starts the program at the path Program. Throws std::runtime_error if a
  /// process of this name is running or fork fails. If the program can't be
  /// executed, the process ends with exit code 127.
  void start(const std::string &Name, const std::string &Program,
             const std::vector<std::string> &Arguments);
  /// Throws std::runtime_error if the process has ended.
  void sendSignal(const std::string &Name, int Signal);
  /// Exit code, or 128 plus the number of the signal that ended the process;
  /// empty while the process runs.
  std::optional<int> exitCode(const std::string &Name);
  /// User and system time of the process so far. Throws std::runtime_error if
  /// the process has ended and been reaped.
  double cpuMilliseconds(const std::string &Name);
  /// Path of the file with the standard output; Name need not be started.
  std::string outputPath(const std::string &Name) const;
  /// Path of the file with the standard error; Name need not be started.
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
