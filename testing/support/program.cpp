#include "testing/support/program.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <popt.h>

#include <charconv>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace nutmegloom::testing {

static constexpr int UsageError = 2;

void parseOptions(int Argc, char **Argv,
                  const std::vector<ProgramOption> &Options) {
  std::vector<poptOption> Table;
  Table.reserve(Options.size() + 2);
  int Number = 0;
  for (const ProgramOption &Option : Options)
    Table.push_back({Option.Name, '\0', POPT_ARG_STRING, nullptr, ++Number,
                     Option.Help, "VALUE"});
  Table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE, poptHelpOptions, 0,
                   "Help options:", nullptr});
  Table.push_back({nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
  poptContext Context = poptGetContext(
      nullptr, Argc, const_cast<const char **>(Argv), Table.data(), 0);
  int Found = 0;
  while ((Found = poptGetNextOpt(Context)) > 0) {
    char *Text = poptGetOptArg(Context);
    *Options[static_cast<std::size_t>(Found) - 1].Value = Text ? Text : "";
    std::free(Text);
  }
  if (Found < -1 || poptPeekArg(Context)) {
    std::cerr << Argv[0] << ": "
              << (Found < -1 ? poptBadOption(Context, 0) : poptPeekArg(Context))
              << ": "
              << (Found < -1 ? poptStrerror(Found) : "unexpected argument")
              << "\n";
    std::exit(UsageError);
  }
  poptFreeContext(Context);
}

std::uint64_t parseNumberOrExit(const std::string &Value) {
  std::uint64_t Number = 0;
  const char *End = Value.data() + Value.size();
  const auto Parsed = std::from_chars(Value.data(), End, Number);
  if (Parsed.ec != std::errc() || Parsed.ptr != End) {
    std::cerr << "expected an unsigned number, got \"" << Value << "\"\n";
    std::exit(UsageError);
  }
  return Number;
}

void runUntilSignal(boost::asio::io_context &Io, const std::string &ReadyLine) {
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait(
      [&Io](const boost::system::error_code &, int) { Io.stop(); });
  std::cout << ReadyLine << std::endl;
  Io.run();
  // Destructors are skipped: durable state is written as it changes, and the
  // kernel closes the open connections.
  std::quick_exit(0);
}

} // namespace nutmegloom::testing
