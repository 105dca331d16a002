#ifndef NUTMEGLOOM_TESTING_SUPPORT_PROGRAM_H
#define NUTMEGLOOM_TESTING_SUPPORT_PROGRAM_H

#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom::testing {

/// A command line option with a value.
struct ProgramOption {
  const char *Name;
  std::string *Value;
  const char *Help;
};

/// Reads the command line into the options' values. Ends the program with
/// exit code 2 and a message for an unknown option or a stray argument.
void parseOptions(int Argc, char **Argv,
                  const std::vector<ProgramOption> &Options);

/// The value as a number. Ends the program with exit code 2 if it isn't one.
std::uint64_t parseNumberOrExit(const std::string &Value);

/// Prints the line that tells that the program is ready, runs until SIGTERM
/// or SIGINT and ends the process with exit code 0.
[[noreturn]] void runUntilSignal(boost::asio::io_context &Io,
                                 const std::string &ReadyLine);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SUPPORT_PROGRAM_H
