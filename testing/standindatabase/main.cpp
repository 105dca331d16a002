#include "testing/standindatabase/database.h"
#include "testing/support/program.h"

#include <boost/asio/io_context.hpp>

#include <iostream>

using namespace nutmegloom::testing;

int main(int Argc, char **Argv) {
  DatabaseOptions Options;
  Options.ServiceAddress = "127.0.0.1:0";
  Options.ControlAddress = "127.0.0.1:0";
  Options.InitialPrimary = "self";
  std::string Slots = "5";
  std::string Cap = "35";
  std::string Cost = "0";
  parseOptions(
      Argc, Argv,
      {{"id", &Options.Id, "name of the database"},
       {"group", &Options.Group, "service/number"},
       {"service", &Options.ServiceAddress, "IP:port for statements"},
       {"control", &Options.ControlAddress, "IP:port for status and commands"},
       {"slots", &Slots, "statements executed at the same time"},
       {"connection-cap", &Cap, "most connections served on the service port"},
       {"connection-cost-ms", &Cost,
        "delay before a new service connection is served"},
       {"data", &Options.DataFolder, "folder of the journal"},
       {"initial-primary", &Options.InitialPrimary,
        "\"self\" or the control address of the primary of term 1"}});
  if (Options.Id.empty() || Options.DataFolder.empty()) {
    std::cerr << Argv[0] << ": --id and --data are required\n";
    return 2;
  }
  Options.Slots = parseNumberOrExit(Slots);
  Options.ConnectionCap = parseNumberOrExit(Cap);
  Options.ConnectionCost = std::chrono::milliseconds(parseNumberOrExit(Cost));
  try {
    boost::asio::io_context Io(1);
    Database Node(Io, Options);
    Node.start();
    runUntilSignal(Io, "ready service=" + Node.serviceAddress() +
                           " control=" + Node.controlAddress());
  } catch (const std::exception &Error) {
    std::cerr << Argv[0] << ": " << Error.what() << "\n";
    return 1;
  }
}
