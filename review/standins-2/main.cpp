#include "scenario.h"

#include <unistd.h>

#include <cstdlib>
#include <iostream>

using namespace review;

namespace {

struct NamedCase {
  const char *Name;
  Verdict (*Run)(Scenario &);
};
constexpr NamedCase Cases[] = {
    {"restored-configuration", runRestoredConfiguration},
    {"restored-leadership", runRestoredLeadership},
    {"cut-members", runCutMembers},
    {"restored-token", runRestoredToken},
    {"crowd", runCrowd},
    {"late-promotion", runLatePromotion},
    {"sent-ahead", runSentAhead},
};

} // namespace

/// Arguments: the name of the case, the program of the system, a temporary
/// folder and the file of the record.
int main(int Count, char **Arguments) {
  if (Count != 5) {
    std::cerr << "usage: standins-2 CASE PROGRAM FOLDER RECORD\n";
    return 2;
  }
  const char *Trouble = std::getenv("TROUBLE");
  Scenario::Settings Settings;
  Settings.Program = Arguments[2];
  Settings.Folder = Arguments[3];
  Settings.RecordFile = Arguments[4];
  Settings.Trouble = !Trouble || std::string(Trouble) != "0";
  for (const NamedCase &Known : Cases) {
    if (std::string(Known.Name) != Arguments[1])
      continue;
    Verdict Result = Verdict::NotRun;
    try {
      Scenario Case(Settings);
      Result = Known.Run(Case);
      Case.note(Result == Verdict::Broken ? "the rule was broken"
                : Result == Verdict::Held ? "the rule held"
                                          : "the case could not run");
      Case.hosts().clear();
      // Threads of the stand-ins may still use the scenario.
      ::_exit(static_cast<int>(Result));
    } catch (const std::exception &Error) {
      std::cerr << Error.what() << "\n";
      return 2;
    }
  }
  std::cerr << "no such case\n";
  return 2;
}
