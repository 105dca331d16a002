#include "testing/history/caller.h"
#include "testing/support/program.h"

#include <boost/asio/io_context.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

using namespace nutmegloom::testing;

int main(int Argc, char **Argv) {
  std::string Hosts, Service = "salas-db", Groups = "1", Callers = "8";
  std::string Operations = "100", Lists = "5", Seed = "1", Pause = "0";
  std::string Output, Timeout = "5000", TransactionPercent = "10";
  parseOptions(
      Argc, Argv,
      {{"hosts", &Hosts, "caller addresses of the hosts, separated by commas"},
       {"service", &Service, "name of the service"},
       {"groups", &Groups, "number of groups"},
       {"callers", &Callers, "concurrent callers"},
       {"operations", &Operations, "operations per caller"},
       {"lists", &Lists, "lists per group, at least 2"},
       {"seed", &Seed, "seed of the random operations"},
       {"pause-ms", &Pause, "pause after each operation"},
       {"timeout-ms", &Timeout, "deadline of each request"},
       {"transaction-percent", &TransactionPercent,
        "percentage of operations that are transactions"},
       {"output", &Output, "history file"}});
  CallerOptions Options;
  std::istringstream Input(Hosts);
  for (std::string Host; std::getline(Input, Host, ',');)
    Options.Hosts.push_back(Host);
  Options.Service = Service;
  Options.Groups = parseNumberOrExit(Groups);
  Options.Lists = parseNumberOrExit(Lists);
  Options.Operations = parseNumberOrExit(Operations);
  Options.Pause = nutmegloom::Milliseconds(parseNumberOrExit(Pause));
  Options.TimeoutMs = parseNumberOrExit(Timeout);
  Options.TransactionShare =
      static_cast<double>(parseNumberOrExit(TransactionPercent)) / 100;
  std::ofstream File(Output);
  if (Options.Hosts.empty() || !File || Options.Lists < 2 ||
      Options.Groups == 0) {
    std::cerr << Argv[0]
              << ": --hosts, --output, a group and two lists are required\n";
    return 2;
  }

  boost::asio::io_context Io(1);
  std::uint64_t Running = parseNumberOrExit(Callers);
  std::shared_ptr<HistoryCaller> Final;
  std::vector<std::shared_ptr<HistoryCaller>> AllCallers;
  const std::uint64_t Count = Running;
  for (std::uint64_t Number = 1; Number <= Count; ++Number) {
    Options.Seed = parseNumberOrExit(Seed) * 1000 + Number;
    AllCallers.push_back(std::make_shared<HistoryCaller>(
        Io, Options, "c" + std::to_string(Number), File, [&] {
          if (--Running > 0)
            return;
          Final = std::make_shared<HistoryCaller>(Io, Options, "final", File,
                                                  [&Io] { Io.stop(); });
          Final->startFinalReads();
        }));
    AllCallers.back()->start();
  }
  Io.run();
  File.close();
  std::quick_exit(0);
}
