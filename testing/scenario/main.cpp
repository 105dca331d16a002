#include "testing/scenario/scenariorunner.h"
#include "testing/support/program.h"

#include <unistd.h>

#include <filesystem>
#include <iostream>

using namespace nutmegloom::testing;

int main(int Argc, char **Argv) {
  std::string Build, Sources, Script, Keep;
  parseOptions(Argc, Argv,
               {{"build", &Build, "folder of the programs"},
                {"sources", &Sources, "folder of the work tree"},
                {"script", &Script, "scenario to run"},
                {"keep", &Keep, "folder that keeps logs and data"}});
  const std::filesystem::path Folder =
      Keep.empty() ? std::filesystem::temp_directory_path() /
                         ("nutmegloom-scenario-" + std::to_string(getpid()))
                   : std::filesystem::path(Keep);
  std::filesystem::create_directories(Folder);
  std::string Error;
  {
    ScenarioRunner Runner(Build, Sources, Folder.string());
    Error = Runner.run(Script);
  }
  if (!Error.empty()) {
    std::cerr << "scenario " << Script << " failed:\n"
              << Error << "\nlogs and data: " << Folder.string() << "\n";
    return 1;
  }
  if (Keep.empty())
    std::filesystem::remove_all(Folder);
  return 0;
}
