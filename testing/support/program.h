#ifndef NUTMEGLOOM_TESTING_SUPPORT_PROGRAM_H
#define NUTMEGLOOM_TESTING_SUPPORT_PROGRAM_H

#include <string>
#include <vector>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace nutmegloom::testing {

/// A command line option "--Name VALUE" and the string that receives its value.
struct ProgramOption {
  const char *Name;
  std::string *Value;
  const char *Help;
};

/// Parses the command line and stores the values of the options that it has;
/// other values keep their defaults. For an unknown option or a positional
/// argument, prints a message and exits with code 2.
void parseOptions(int Argc, char **Argv,
                  const std::vector<ProgramOption> &Options);

/// Parses an unsigned decimal number. If the value is not one, prints a message
/// and exits with code 2.
std::uint64_t parseNumberOrExit(const std::string &Value);

/// Prints ReadyLine, which tests wait for, runs the io_context until SIGTERM or
/// SIGINT and ends the process with exit code 0.
[[noreturn]] void runUntilSignal(boost::asio::io_context &Io,
                                 const std::string &ReadyLine);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_SUPPORT_PROGRAM_H
