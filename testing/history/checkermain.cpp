#include "testing/history/checker.h"
#include "testing/support/program.h"

#include <fstream>
#include <iostream>

using namespace nutmegloom::testing;

int main(int Argc, char **Argv) {
  std::string Path;
  parseOptions(Argc, Argv, {{"history", &Path, "history file"}});
  std::ifstream Input(Path);
  if (!Input) {
    std::cerr << Argv[0] << ": cannot read " << Path << "\n";
    return 2;
  }
  try {
    const auto Operations = readHistory(Input);
    const auto Violations = checkHistory(Operations);
    for (const Violation &Found : Violations)
      std::cout << nameOf(Found.Kind) << " " << Found.Operation << ": "
                << Found.Detail << "\n";
    std::cout << Operations.size() << " operations, " << Violations.size()
              << " violations\n";
    return Violations.empty() ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << Argv[0] << ": " << Error.what() << "\n";
    return 2;
  }
}
