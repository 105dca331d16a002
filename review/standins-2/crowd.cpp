#include "scenario.h"

#include <algorithm>
#include <csignal>

namespace review {

namespace {

constexpr Milliseconds ReadyTimeout{15000};
constexpr Milliseconds WarmUp{3000};
constexpr Milliseconds PollInterval{50};
constexpr Milliseconds RestartDelay{500};
/// Time in which a crowd has an effect, or none.
constexpr Milliseconds CrowdTime{8000};
/// Memory of a machine in `sites/`.
constexpr std::size_t MemoryMegabytes = 260;
constexpr std::size_t Callers = 400;
/// A message of legal size, which is 1 MiB at most.
constexpr std::size_t MessageBytes = 1000000;
/// Rule Fault: ends of a process in a day, on at least two machines.
constexpr int EndsOfAFault = 3;
const std::map<std::string, std::string> Zones{{"z1", "r"}};

using Crowd = std::vector<std::unique_ptr<Socket>>;

/// Opens the sessions of a crowd. Each caller sends a part of a message and
/// stops.
Crowd gather(const Host &Where) {
  std::string Part =
      "QUERY 5c0e7a21d94b36f8 WRITE 1a4 " + std::string(MessageBytes, 'x');
  Crowd Gathered;
  while (Gathered.size() < Callers) {
    auto Caller =
        Socket::connect(Where.ip(), Where.callerPort(), Milliseconds{2000});
    if (!Caller)
      break;
    Caller->send("START steady crowd\r\n");
    if (Caller->readUntil("\r\n", Milliseconds{2000}))
      Caller->send(Part);
    Gathered.push_back(std::move(Caller));
  }
  return Gathered;
}

/// Highest resident memory of the process until it exceeds that of the machine,
/// or for some time.
std::size_t watchMemory(const Host &Where) {
  std::size_t Most = 0;
  Clock::time_point Until = Clock::now() + CrowdTime;
  while (Most <= MemoryMegabytes && Clock::now() < Until) {
    Most = std::max(Most, Where.residentMegabytes());
    Scenario::wait(PollInterval);
  }
  return Most;
}

/// Lets a crowd come to the machine again and again. The platform kills a
/// process that exceeds the memory of its machine, and starts it again. Returns
/// the number of these ends.
int countEnds(Scenario &Case, Host &Where) {
  int Ends = 0;
  for (int Round = 0; Round < EndsOfAFault; ++Round) {
    Crowd Gathered;
    if (Case.hasTrouble())
      Gathered = gather(Where);
    std::size_t Most = watchMemory(Where);
    Case.note(Where.name() + ": " + std::to_string(Gathered.size()) +
              " callers have each sent a part of a message; resident memory " +
              std::to_string(Most) + " MB");
    if (Most <= MemoryMegabytes)
      continue;
    ++Ends;
    Where.sendSignal(SIGKILL);
    Where.waitForEnd(Milliseconds{2000});
    Case.note(Where.name() + ": over its memory, the platform ends it");
    Case.wait(RestartDelay);
    Where.start();
    Clock::time_point Until = Clock::now() + ReadyTimeout;
    while (Where.readiness() != 200 && Clock::now() < Until)
      Case.wait(PollInterval);
  }
  return Ends;
}

} // namespace

/// Rule Fault, and NEWS.md: crowds that stop half-way in a message of legal
/// size; the process stays within the memory of its machine.
Verdict runCrowd(Scenario &Case) {
  Case.writeConfiguration({"steady"});
  Case.addHost("front-z1-1", "z1", Zones);
  Case.addHost("front-z1-2", "z1", Zones);
  if (!Case.waitUntilReady(ReadyTimeout))
    return Verdict::NotRun;
  Case.wait(WarmUp);
  for (const auto &Where : Case.hosts())
    Case.note(Where->name() + ": resident memory before: " +
              std::to_string(Where->residentMegabytes()) + " MB of " +
              std::to_string(MemoryMegabytes));
  std::vector<int> Ends;
  for (const auto &Where : Case.hosts())
    Ends.push_back(countEnds(Case, *Where));
  std::string Refusal;
  auto Session = Client::open(*Case.hosts()[0], "steady", Refusal);
  Case.note("an ordinary read afterwards: " +
            (Session ? Session->run("READ 1a4") : Refusal));
  bool Broken = std::all_of(Ends.begin(), Ends.end(),
                            [](int Count) { return Count >= EndsOfAFault; });
  return Broken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
