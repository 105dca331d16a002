#include "scenario.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr Milliseconds ReadyTimeout{15000};
constexpr Milliseconds WarmUp{8000};
/// Longest cut of single machines in the site files.
constexpr double CutSeconds = 12;
/// Pause between the replacements of two databases.
constexpr Milliseconds ReleaseGap{1000};
const std::map<std::string, std::string> Zones{{"z1", "r"}};

/// Writes an item every few milliseconds through machines that are not cut off,
/// and notes which writes were acknowledged.
void writeUntil(const std::atomic<bool> &Ended, Scenario &Case,
                std::vector<std::string> &Acknowledged) {
  std::size_t Number = 0;
  while (!Ended) {
    for (const auto &Where : Case.hosts()) {
      std::string Refusal;
      std::unique_ptr<Client> Session;
      if (!Where->promotions().Cut)
        Session = Client::open(*Where, "steady", Refusal);
      std::string Item = "w" + std::to_string(++Number);
      if (Session &&
          Session->run("WRITE " + Item + " kept").starts_with("COMPLETE"))
        Acknowledged.push_back(Item);
    }
    Case.wait(Milliseconds{20});
  }
}

} // namespace

/// Rule ONE: where the platform does not check fences, no holder sends a lower
/// token than the platform has seen.
Verdict runLatePromotion(Scenario &Case) {
  Case.writeConfiguration({"steady"});
  for (int At = 1; At <= 3; ++At)
    Case.addHost("front-z1-" + std::to_string(At), "z1", Zones);
  if (!Case.waitUntilReady(ReadyTimeout))
    return Verdict::NotRun;
  Case.wait(WarmUp);
  std::atomic<bool> Done{!Case.hasTrouble()};
  Case.databases().setOnRequest([&](const HttpRequest &Request) {
    std::string Holder = Request.Headers.at("lease-holder");
    Case.note("promotion request of " + Holder + ", token " +
              Request.Headers.at("fencing-token") + ", is on its way");
    if (Done.exchange(true))
      return;
    for (const auto &Where : Case.hosts())
      if (Where->name() == Holder) {
        Where->cutFromStore(true);
        Where->promotions().Cut = true;
      }
    Case.note(Holder + " is partitioned from the platform");
  });
  std::atomic<bool> Ended{false};
  std::vector<std::string> Acknowledged;
  std::thread Writer([&] { writeUntil(Ended, Case, Acknowledged); });
  double BeganAt = Case.seconds();
  for (int Step = 0; Step < 2; ++Step) {
    std::string Leaving = Case.databases().primary();
    Case.databases().drain(Leaving);
    Case.note("primary " + Leaving + " is to be replaced, reports draining");
    while (Case.databases().primary() == Leaving &&
           Case.seconds() < BeganAt + CutSeconds)
      Case.wait(Milliseconds{50});
    Case.note("primary is " + Case.databases().primary());
    Case.wait(ReleaseGap);
  }
  double Left = BeganAt + CutSeconds - Case.seconds();
  Case.wait(Milliseconds{static_cast<int>(std::max(0.0, Left) * 1000)});
  for (const auto &Where : Case.hosts()) {
    Where->cutFromStore(false);
    Where->promotions().Cut = false;
  }
  Case.note("the partition is over");
  Case.wait(Milliseconds{5000});
  Ended = true;
  Writer.join();
  Case.note("primary is " + Case.databases().primary());
  std::uint64_t Newest = 0;
  bool Broken = false;
  for (const PromotionCall &Call : Case.databases().promotions()) {
    bool IsLower = Call.Token < Newest;
    Broken |= IsLower;
    Newest = std::max(Newest, Call.Token);
    Case.note("the platform received at " + std::to_string(Call.At) +
              ": promotion of " + Call.Database + " by " + Call.Holder +
              ", token " + std::to_string(Call.Token) +
              (IsLower ? "  <- lower than one that it has seen" : ""));
  }
  std::size_t Lost = 0;
  for (const std::string &Item : Acknowledged)
    Lost += Case.databases().committed(Item).empty() ? 1 : 0;
  Case.note(std::to_string(Acknowledged.size()) +
            " writes were acknowledged by machines that were not cut off; " +
            std::to_string(Lost) + " of them are in no log of the primary");
  return Broken || Lost > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace review
