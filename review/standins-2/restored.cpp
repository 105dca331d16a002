// Cases in which the store comes back from a copy some seconds old.

#include "scenario.h"

#include <csignal>

namespace review {

namespace {

constexpr Milliseconds ReadyTimeout{15000};
/// Traffic starts this long after the machines.
constexpr Milliseconds WarmUp{8000};
/// How long the store is away.
constexpr Milliseconds AwayTime{1000};
/// Databases have written their entries again by then.
constexpr Milliseconds RewriteTime{2000};
/// Time from the restart of all processes to the next planned work.
constexpr Milliseconds RestartDelay{1500};
/// Bounds of the deployments in `sites/`.
constexpr Milliseconds SettleWindow{4000};
constexpr Milliseconds ConfigurationApplyTime{3000};
constexpr Milliseconds DrainTime{7000};
const std::map<std::string, std::string> Zones{{"z1", "r"}};

bool startHosts(Scenario &Case) {
  Case.writeConfiguration({"steady", "dropped"});
  for (int At = 1; At <= 3; ++At)
    Case.addHost("front-z1-" + std::to_string(At), "z1", Zones);
  if (!Case.waitUntilReady(ReadyTimeout))
    return false;
  Case.wait(WarmUp);
  return true;
}

/// Stops and starts a machine in a planned way.
bool roll(Scenario &Case, Host &Where) {
  Where.sendSignal(SIGTERM);
  Case.note("SIGTERM to " + Where.name());
  if (!Where.waitForEnd(Milliseconds{7000}))
    return false;
  Where.start();
  Case.note("started " + Where.name() + " again");
  return Case.waitUntilReady(ReadyTimeout);
}

void restore(Scenario &Case) {
  Case.note("the store goes away at revision " +
            std::to_string(Case.store().revision()));
  Case.store().goAway();
  Case.wait(AwayTime);
  Case.store().comeBackFromCopy();
  Case.note("the store is back from its copy, revision " +
            std::to_string(Case.store().revision()));
  Case.rewriteConfiguration();
  Case.databases().writeEntries();
  Case.wait(RewriteTime);
  Case.note("the operator and the databases have written their objects again, "
            "revision " +
            std::to_string(Case.store().revision()));
}

/// Opens a session and reads once. Returns the refusal, or the answer.
std::string readOnce(const Host &Where, const std::string &Route) {
  std::string Refusal;
  auto Session = Client::open(Where, Route, Refusal);
  return Session ? Session->run("READ 1a4") : Refusal;
}

std::string writeOnce(const Host &Where, const std::string &Route) {
  std::string Refusal;
  auto Session = Client::open(Where, Route, Refusal);
  return Session ? Session->run("WRITE 1a4 xkqp") : Refusal;
}

} // namespace

/// Rule CONFIG: a configuration that is written after the store came back is
/// in force at machines in touch within ConfigApplyMs.
Verdict runRestoredConfiguration(Scenario &Case) {
  if (!startHosts(Case))
    return Verdict::NotRun;
  Case.store().copy();
  Case.note("copy of the store at revision " +
            std::to_string(Case.store().revision()));
  // What the system writes here is lost with the copy.
  if (!roll(Case, *Case.hosts()[2]))
    return Verdict::NotRun;
  Case.writeConfiguration({"steady", "dropped", "idle"});
  Case.wait(Milliseconds{500});
  if (Case.hasTrouble())
    restore(Case);
  Case.wait(SettleWindow * 2);
  for (const auto &Where : Case.hosts())
    if (!readOnce(*Where, "steady").starts_with("COMPLETE"))
      return Verdict::NotRun;
  Case.note("the core has been stable for twice SettleWindowMs, all machines "
            "serve");
  Case.writeConfiguration({"steady", "added"});
  Case.wait(ConfigurationApplyTime);
  bool Broken = false;
  for (int Round = 0; Round < 6; ++Round) {
    Case.wait(Milliseconds{1500});
    for (const auto &Where : Case.hosts()) {
      std::string Added = readOnce(*Where, "added");
      std::string Dropped = readOnce(*Where, "dropped");
      bool IsOld =
          Added.starts_with("ERROR NODATABASE") || Dropped.starts_with("COM");
      Broken |= IsOld;
      Case.note(Where->name() + ": added: " + Added + "; dropped: " + Dropped +
                (IsOld ? "  <- as only the older version allows" : ""));
    }
  }
  return Broken ? Verdict::Broken : Verdict::Held;
}

/// Rule DRAIN: no request reaches a database later than DrainMs after it was
/// acknowledged as draining.
Verdict runRestoredLeadership(Scenario &Case) {
  if (!startHosts(Case))
    return Verdict::NotRun;
  Case.store().copy();
  Case.note("copy of the store at revision " +
            std::to_string(Case.store().revision()));
  std::string First = Case.databases().primary();
  Case.databases().drain(First);
  Case.note("primary " + First + " is to be replaced and reports draining");
  Case.wait(Milliseconds{4000});
  if (Case.databases().primary() == First)
    return Verdict::NotRun;
  Case.note("primary is " + Case.databases().primary());
  if (Case.hasTrouble())
    restore(Case);
  Case.wait(SettleWindow * 2);
  // Changes that bring the revision above what it was before the return.
  for (int Change = 0; Change < 6; ++Change) {
    Case.writeConfiguration({"steady", "idle" + std::to_string(Change)});
    Case.wait(Milliseconds{300});
  }
  Case.wait(ConfigurationApplyTime);
  Case.databases().stop(First);
  Case.note(First + " has left");
  Case.wait(ConfigurationApplyTime);
  for (const auto &Where : Case.hosts())
    Case.note(Where->name() + ": write: " + writeOnce(*Where, "steady"));
  std::string Second = Case.databases().primary();
  Case.databases().drain(Second);
  double AcknowledgedAt = Case.seconds();
  Case.note("primary " + Second +
            " is to be replaced and reports draining, acknowledged");
  double Until = AcknowledgedAt + 15;
  std::size_t Served = 0;
  while (Case.seconds() < Until) {
    for (const auto &Where : Case.hosts())
      Served += writeOnce(*Where, "steady").starts_with("COMPLETE") ? 1 : 0;
    Case.wait(Milliseconds{250});
  }
  std::size_t Late = 0;
  double Bound = std::chrono::duration<double>(DrainTime).count();
  for (const ReceivedStatement &Known : Case.databases().received())
    Late += Known.Database == Second && Known.At > AcknowledgedAt + Bound;
  for (const PromotionCall &Call : Case.databases().promotions())
    Case.note("promotion at " + std::to_string(Call.At) + " by " + Call.Holder +
              ", token " + std::to_string(Call.Token) + ": " + Call.Database);
  Case.note(std::to_string(Served) + " writes were served meanwhile; " +
            std::to_string(Late) + " statements reached " + Second +
            " later than DrainMs after the acknowledgement");
  Case.databases().stop(Second);
  Case.note(Second + " has left");
  Case.wait(Milliseconds{6000});
  for (const auto &Where : Case.hosts())
    Case.note(Where->name() + ": write: " + writeOnce(*Where, "steady"));
  return Late > 0 ? Verdict::Broken : Verdict::Held;
}

/// Rule ONE: no two holders promote with the same fencing token, also when the
/// store comes back from a copy of before the first one.
Verdict runRestoredToken(Scenario &Case) {
  if (!startHosts(Case))
    return Verdict::NotRun;
  Case.store().copy();
  Case.note("copy of the store at revision " +
            std::to_string(Case.store().revision()));
  std::string First = Case.databases().primary();
  Case.databases().drain(First);
  Case.note("primary " + First + " is to be replaced and reports draining");
  Case.wait(Milliseconds{3000});
  std::vector<PromotionCall> Before = Case.databases().promotions();
  if (Before.empty())
    return Verdict::NotRun;
  Case.note("promotion by " + Before.front().Holder + ", token " +
            std::to_string(Before.front().Token));
  if (Case.hasTrouble())
    Case.store().goAway();
  for (const auto &Where : Case.hosts())
    Where->sendSignal(SIGKILL);
  Case.note("all processes are killed");
  for (const auto &Where : Case.hosts())
    Where->waitForEnd(Milliseconds{2000});
  Case.wait(AwayTime);
  if (Case.hasTrouble()) {
    Case.store().comeBackFromCopy();
    Case.rewriteConfiguration();
    Case.databases().writeEntries();
    Case.note("the store is back from its copy, revision " +
              std::to_string(Case.store().revision()));
  }
  for (const auto &Where : Case.hosts())
    if (Where->name() != Before.front().Holder)
      Where->start();
  Case.note("the other processes start again");
  Case.wait(RestartDelay);
  std::string Second = Case.databases().primary();
  Case.databases().drain(Second);
  Case.note("primary " + Second + " is to be replaced and reports draining");
  Case.wait(Milliseconds{6000});
  for (const auto &Where : Case.hosts())
    if (Where->name() == Before.front().Holder)
      Where->start();
  Case.wait(Milliseconds{2000});
  std::map<std::uint64_t, std::string> Holders;
  bool Broken = false;
  for (const PromotionCall &Call : Case.databases().promotions()) {
    std::string &Holder =
        Holders.emplace(Call.Token, Call.Holder).first->second;
    bool IsSecond = Holder != Call.Holder;
    Broken |= IsSecond;
    Case.note("the platform received at " + std::to_string(Call.At) +
              ": promotion of " + Call.Database + " by " + Call.Holder +
              ", token " + std::to_string(Call.Token) +
              (IsSecond ? "  <- token of another holder" : ""));
  }
  return Broken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
