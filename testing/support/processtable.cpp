#include "testing/support/processtable.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace nutmegloom::testing {

static constexpr int ExecFailed = 127;
static constexpr int SignalExitBase = 128;

ProcessTable::~ProcessTable() {
  for (auto &[Name, Entry] : Processes_) {
    if (Entry.ExitCode)
      continue;
    kill(Entry.Id, SIGKILL);
    waitpid(Entry.Id, nullptr, 0);
  }
}

std::string ProcessTable::outputPath(const std::string &Name) const {
  return Folder_ + "/" + Name + ".out";
}

std::string ProcessTable::logPath(const std::string &Name) const {
  return Folder_ + "/" + Name + ".log";
}

/// Redirects the output and replaces the child by the program. Between fork and
/// exec only async-signal-safe functions may be called.
[[noreturn]] static void execProgram(const char *Output, const char *Log,
                                     char *const *Arguments) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int Out = open(Output, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  const int Error = open(Log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  // The child would otherwise inherit the parent's sockets and keep them open.
  close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
  dup2(Out, STDOUT_FILENO);
  dup2(Error, STDERR_FILENO);
  execv(Arguments[0], Arguments);
  _exit(ExecFailed);
}

void ProcessTable::start(const std::string &Name, const std::string &Program,
                         const std::vector<std::string> &Arguments) {
  const auto Found = Processes_.find(Name);
  if (Found != Processes_.end() && !exitCode(Name))
    throw std::runtime_error(Name + " is already running");
  const std::string Output = outputPath(Name);
  const std::string Log = logPath(Name);
  std::vector<char *> ArgumentPointers;
  ArgumentPointers.push_back(const_cast<char *>(Program.c_str()));
  for (const std::string &Argument : Arguments)
    ArgumentPointers.push_back(const_cast<char *>(Argument.c_str()));
  ArgumentPointers.push_back(nullptr);
  // Truncates the output before fork, so that a reader does not take the output
  // of an earlier run for that of this one.
  std::ofstream(Output, std::ios::trunc).close();
  const pid_t Id = fork();
  if (Id < 0)
    throw std::runtime_error(std::string("fork: ") + std::strerror(errno));
  if (Id == 0)
    execProgram(Output.c_str(), Log.c_str(), ArgumentPointers.data());
  Processes_[Name] = {Id, std::nullopt};
}

ProcessTable::Process &ProcessTable::findProcess(const std::string &Name) {
  const auto Found = Processes_.find(Name);
  if (Found == Processes_.end())
    throw std::runtime_error("no process was started under the name " + Name);
  return Found->second;
}

void ProcessTable::sendSignal(const std::string &Name, int Signal) {
  const Process &Entry = findProcess(Name);
  if (exitCode(Name))
    throw std::runtime_error(Name + " has ended and can't be signalled");
  kill(Entry.Id, Signal);
}

std::optional<int> ProcessTable::exitCode(const std::string &Name) {
  Process &Entry = findProcess(Name);
  int Status = 0;
  if (!Entry.ExitCode && waitpid(Entry.Id, &Status, WNOHANG) == Entry.Id)
    Entry.ExitCode = WIFSIGNALED(Status) ? SignalExitBase + WTERMSIG(Status)
                                         : WEXITSTATUS(Status);
  return Entry.ExitCode;
}

double ProcessTable::cpuMilliseconds(const std::string &Name) {
  std::ifstream File("/proc/" + std::to_string(findProcess(Name).Id) + "/stat");
  std::string Text;
  std::getline(File, Text);
  // The command name in parentheses may contain spaces, so fields are counted
  // from the closing parenthesis: user and system time are the 12th and 13th.
  const std::size_t End = Text.rfind(')');
  if (End == std::string::npos)
    throw std::runtime_error("cannot read from /proc the CPU time of " + Name);
  std::istringstream Fields(Text.substr(End + 1));
  std::string Field;
  for (int Skipped = 0; Skipped < 11; ++Skipped)
    Fields >> Field;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::vector<std::string> ProcessTable::names() const {
  std::vector<std::string> Names;
  for (const auto &[Name, Entry] : Processes_)
    Names.push_back(Name);
  return Names;
}

} // namespace nutmegloom::testing
