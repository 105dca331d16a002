#include "scenario.h"

namespace review {

namespace {

constexpr Milliseconds ReadyTimeout{15000};
constexpr Milliseconds WarmUp{8000};
/// ConfigApplyMs of the deployments with six zones.
constexpr Milliseconds ConfigurationApplyTime{5000};
/// The cut begins this long before the configuration changes.
constexpr Milliseconds CutBefore{200};
/// Longest cut of two machines in the site files.
constexpr Milliseconds CutTime{5960};
constexpr Milliseconds RequestInterval{100};
/// Six zones, as in the larger deployments; the machines stand in one.
const std::map<std::string, std::string> Zones{{"z1", "r"}, {"z2", "r"},
                                               {"z3", "r"}, {"z4", "r"},
                                               {"z5", "r"}, {"z6", "r"}};

std::string readAdded(const Host &Where) {
  std::string Refusal;
  auto Session = Client::open(Where, "added", Refusal);
  return Session ? Session->run("READ 1a4") : Refusal;
}

} // namespace

/// Rule CONFIG: a machine in touch uses a configuration within ConfigApplyMs,
/// also while other machines are partitioned from the store.
Verdict runCutMembers(Scenario &Case) {
  Case.writeConfiguration({"steady"});
  Case.addHost("front-z1-1", "z1", Zones);
  Case.addHost("front-z1-2", "z1", Zones);
  if (!Case.waitUntilReady(ReadyTimeout))
    return Verdict::NotRun;
  Host &InTouch = Case.addHost("front-z1-3", "z1", Zones);
  if (!Case.waitUntilReady(ReadyTimeout))
    return Verdict::NotRun;
  Case.wait(WarmUp);
  double CutAt = Case.seconds();
  if (Case.hasTrouble()) {
    Case.hosts()[0]->cutFromStore(true);
    Case.hosts()[1]->cutFromStore(true);
    Case.note("front-z1-1 and front-z1-2 are partitioned from the store");
  }
  Case.wait(CutBefore);
  Case.writeConfiguration({"steady", "added"});
  Case.wait(ConfigurationApplyTime);
  bool Broken = false;
  double HealedAt = CutAt + std::chrono::duration<double>(CutTime).count();
  // front-z1-3 has been in touch all the while.
  while (Case.seconds() < HealedAt) {
    Case.wait(RequestInterval);
    std::string Answer = readAdded(InTouch);
    bool IsOld = Answer.starts_with("ERROR NODATABASE");
    Broken |= IsOld;
    Case.note("front-z1-3: added: " + Answer +
              (IsOld ? "  <- refused though the route is there" : ""));
  }
  Case.hosts()[0]->cutFromStore(false);
  Case.hosts()[1]->cutFromStore(false);
  Case.note("the partition is over");
  Case.wait(Milliseconds{3000});
  Case.note("front-z1-3: added: " + readAdded(InTouch));
  return Broken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
