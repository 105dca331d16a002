#include "scenario.h"

#include <thread>

namespace review {

namespace {

constexpr Milliseconds ReadyTimeout{15000};
constexpr Milliseconds WarmUp{3000};
/// Memory of a machine in `sites/`.
constexpr std::size_t MemoryMegabytes = 260;
constexpr std::size_t Callers = 400;
/// A message of legal size, which is 1 MiB at most.
constexpr std::size_t MessageBytes = 1000000;
const std::map<std::string, std::string> Zones{{"z1", "r"}};

} // namespace

/// NEWS.md: crowds that stop half-way in a message of legal size; the process
/// stays within the memory of its machine.
Verdict runCrowd(Scenario &Case) {
  Case.writeConfiguration({"steady"});
  Host &Where = Case.addHost("front-z1-1", "z1", Zones);
  if (!Case.waitUntilReady(ReadyTimeout))
    return Verdict::NotRun;
  Case.wait(WarmUp);
  Case.note("resident memory before: " +
            std::to_string(Where.residentMegabytes()) + " MB");
  std::string Part =
      "QUERY 5c0e7a21d94b36f8 WRITE 1a4 " + std::string(MessageBytes, 'x');
  std::vector<std::unique_ptr<Socket>> Crowd;
  std::size_t Most = 0;
  for (std::size_t At = 0; Case.hasTrouble() && At < Callers; ++At) {
    auto Caller =
        Socket::connect(Where.ip(), Where.callerPort(), Milliseconds{2000});
    if (!Caller)
      break;
    Caller->send("START steady crowd\r\n");
    if (Caller->readUntil("\r\n", Milliseconds{2000}))
      Caller->send(Part);
    Crowd.push_back(std::move(Caller));
    Most = std::max(Most, Where.residentMegabytes());
  }
  Case.note(std::to_string(Crowd.size()) +
            " callers have each sent a part of a message and stopped");
  for (int Round = 0; Round < 20; ++Round) {
    Most = std::max(Most, Where.residentMegabytes());
    Case.wait(Milliseconds{500});
  }
  std::string Refusal;
  auto Session = Client::open(Where, "steady", Refusal);
  Case.note("an ordinary read: " +
            (Session ? Session->run("READ 1a4") : Refusal));
  Case.note("resident memory at most " + std::to_string(Most) +
            " MB, the machine has " + std::to_string(MemoryMegabytes) + " MB");
  return Most > MemoryMegabytes || !Where.isRunning() ? Verdict::Broken
                                                      : Verdict::Held;
}

} // namespace review
