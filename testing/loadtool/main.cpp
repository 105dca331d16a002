#include "testing/loadtool/loadrun.h"
#include "testing/support/program.h"

#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace nutmegloom::testing;

static std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Parts;
  std::istringstream Input(Text);
  for (std::string Part; std::getline(Input, Part, ',');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

static double toShare(const std::string &Text) {
  char *End = nullptr;
  const double Value = std::strtod(Text.c_str(), &End);
  if (Text.empty() || *End != '\0' || Value < 0) {
    std::cerr << "not a number of at least 0: " << Text << "\n";
    std::exit(2);
  }
  return Value;
}

int main(int Argc, char **Argv) {
  std::string Hosts, Service = "salas-db", Groups = "1", Rate = "0";
  std::string Connections = "16", Warmup = "500", Run = "5000";
  std::string Timeout = "5000", Seed = "1", Sessions = "50", Keys = "1000";
  std::string Writes = "0.2", StatedAge = "0", MaximumAge = "1000";
  std::string Moves = "0", Work = "0", Stragglers = "0", StragglerMs = "0";
  std::string Classes, DirectTerm, Output;
  parseOptions(
      Argc, Argv,
      {{"hosts", &Hosts, "callers' addresses, separated by commas"},
       {"direct-term", &DirectTerm,
        "load service ports of databases directly, under this term"},
       {"service", &Service, "name of the service"},
       {"groups", &Groups, "number of groups"},
       {"rate", &Rate, "requests per second (open loop); 0: closed loop"},
       {"connections", &Connections,
        "requests in progress (closed loop) or connections per host"},
       {"warmup-ms", &Warmup, "time before the measurement"},
       {"duration-ms", &Run, "measured time"},
       {"timeout-ms", &Timeout, "deadline of each request"},
       {"seed", &Seed, "seed of the requests and of their arrival"},
       {"sessions", &Sessions, "number of sessions"},
       {"keys", &Keys, "number of keys in each group"},
       {"writes", &Writes, "share of writes"},
       {"stated-age", &StatedAge, "share of reads with a greatest age"},
       {"max-age-ms", &MaximumAge, "greatest age that such reads state"},
       {"moves", &Moves, "share of requests before which a session moves"},
       {"work-ms", &Work, "time for which a statement holds a slot"},
       {"stragglers", &Stragglers, "share of long statements"},
       {"straggler-ms", &StragglerMs, "time of a long statement"},
       {"classes", &Classes, "classes of work, separated by commas"},
       {"output", &Output, "file for the JSON report; default: stdout"}});

  WorkloadOptions Mix;
  Mix.Seed = parseNumberOrExit(Seed);
  Mix.Groups = parseNumberOrExit(Groups);
  Mix.Sessions = parseNumberOrExit(Sessions);
  Mix.Keys = parseNumberOrExit(Keys);
  Mix.WriteShare = toShare(Writes);
  Mix.StatedAgeShare = toShare(StatedAge);
  Mix.MaximumAgeMs = parseNumberOrExit(MaximumAge);
  Mix.MoveShare = toShare(Moves);
  Mix.WorkMs = parseNumberOrExit(Work);
  Mix.StragglerShare = toShare(Stragglers);
  Mix.StragglerMs = parseNumberOrExit(StragglerMs);
  Mix.Classes = splitList(Classes);

  LoadOptions Options;
  Options.Hosts = splitList(Hosts);
  Options.Rate = toShare(Rate);
  Options.Connections = parseNumberOrExit(Connections);
  Options.Warmup = nutmegloom::Milliseconds(parseNumberOrExit(Warmup));
  Options.Duration = nutmegloom::Milliseconds(parseNumberOrExit(Run));
  // The connection waits longer than the deadline that the server was given.
  Options.Timeout = nutmegloom::Milliseconds(parseNumberOrExit(Timeout) + 2000);
  if (Options.Hosts.empty() || Mix.Groups == 0 || Mix.Sessions == 0 ||
      Mix.Keys == 0) {
    std::cerr << Argv[0]
              << ": --hosts, and at least one group, session and key are "
                 "required\n";
    return 2;
  }

  boost::asio::io_context Io(1);
  Workload Requests(Mix);
  const auto Target =
      DirectTerm.empty() ? makeCallerTarget(Service, parseNumberOrExit(Timeout))
                         : makeDatabaseTarget(parseNumberOrExit(DirectTerm));
  LoadReport Report;
  LoadRun Load(Io, Options, Requests, *Target, Mix.Sessions, Report);
  Load.start();
  Io.run();
  const std::string Text = Report.toJson(
      Mix.Seed, std::chrono::duration<double>(Options.Duration).count());
  if (Output.empty())
    std::cout << Text << std::endl;
  else
    std::ofstream(Output) << Text << "\n";
  std::quick_exit(0);
}
