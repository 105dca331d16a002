// A service with SyncReplicas 1: a primary crashes while one replica drains and
// the other one receives nothing. A promotion of a database that lacks an
// acknowledged commit breaks LOST.
#include "deployment.h"

#include <csignal>

using namespace review;

namespace {

constexpr Milliseconds SettleWindow{4500};
constexpr Milliseconds StatementTimeout{1500};
constexpr Milliseconds PauseBetweenWrites{20};
/// Longest times that the pages and the site file name: a crash takes 7 s, and
/// a replica receives nothing for 6.5 s.
constexpr Milliseconds DeafTime{6500};
constexpr Milliseconds DeafBeforeCrash{1500};
constexpr Milliseconds CrashTime{7000};

struct Writes {
  /// Ids of the writes that were acknowledged.
  std::vector<std::string> Acknowledged;
  bool Stops = false;
  bool Running = true;
};

} // namespace

static boost::asio::awaitable<void>
write(Deployment &Run, Deployment::Machine &At, Writes &Made) {
  Client Desk(Run.io(), Run.record(), "desk");
  std::size_t Number = 0;
  while (!Made.Stops) {
    if (!Desk.isOpen() && !co_await Desk.open(At.Front, "bookings-primary")) {
      co_await pause(Milliseconds{100});
      continue;
    }
    std::string Id = "w" + std::to_string(++Number);
    Answer Got =
        co_await Desk.query(Id, "WRITE room" + Id + " taken", StatementTimeout);
    if (Got.succeeded() && Got.Signature != "-")
      Made.Acknowledged.push_back(Id);
    co_await pause(PauseBetweenWrites);
  }
  Desk.close();
  Made.Running = false;
}

static boost::asio::awaitable<void> hear(DatabaseGroup &Group, std::string Id) {
  co_await pause(DeafTime);
  Group.setDeaf(Id, false);
}

static boost::asio::awaitable<void> recover(DatabaseGroup &Group,
                                            std::string Id) {
  co_await pause(CrashTime);
  Group.restart(Id);
}

static boost::asio::awaitable<Verdict> run(Deployment &Run, bool Trouble) {
  DatabaseGroup::Settings Options;
  Options.Service = "bookings";
  Options.SyncReplicas = 1;
  DatabaseGroup &Group = Run.addGroup(Options);
  Group.add("i-a1", "z1");
  Group.add("i-b2", "z2");
  Group.add("i-c3", "z3");
  Run.putConfiguration();
  Deployment::Machine &First = Run.addMachine("front-z1-1", "z1");
  Run.addMachine("front-z2-1", "z2");

  std::vector<std::string> Lost;
  Writes Made;
  Group.Promoted = [&](const std::string &Id, std::uint64_t) {
    for (const std::string &Write : Made.Acknowledged)
      if (!Group.holds(Id, Write))
        Lost.push_back(Write);
    Run.record().add(std::to_string(Lost.size()) + " of " +
                     std::to_string(Made.Acknowledged.size()) +
                     " acknowledged commits are not in the log of " + Id);
  };
  co_await Run.waitUntilReady();
  co_await pause(SettleWindow);
  start(Run.io(), write(Run, First, Made));
  co_await pause(Milliseconds{2000});

  // Planned: i-b2 is replaced by i-d4, which starts first.
  Group.add("i-d4", "z2");
  co_await pause(Milliseconds{1000});
  Group.drain("i-b2");
  if (Trouble) {
    co_await pause(Milliseconds{1000});
    Group.setDeaf("i-c3", true);
    Group.setDeaf("i-d4", true);
    start(Run.io(), hear(Group, "i-c3"));
    start(Run.io(), hear(Group, "i-d4"));
    co_await pause(DeafBeforeCrash);
    Group.crash("i-a1");
    start(Run.io(), recover(Group, "i-a1"));
  }
  co_await pause(Milliseconds{9000});
  Made.Stops = true;
  while (Made.Running)
    co_await pause(Milliseconds{50});
  if (Made.Acknowledged.empty())
    throw CannotRun{"no write was acknowledged"};
  co_return Lost.empty() ? Verdict::Held : Verdict::Broken;
}

int main(int Count, char **Arguments) { return runCase(Count, Arguments, run); }
