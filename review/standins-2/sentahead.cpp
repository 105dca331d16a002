#include "scenario.h"

#include <csignal>

namespace review {

namespace {

constexpr Milliseconds ReadyTimeout{15000};
constexpr Milliseconds WarmUp{3000};
constexpr Milliseconds AnswerTimeout{5000};
/// The machine freezes for this long.
constexpr Milliseconds FreezeTime{1000};
/// The write is at the database when the machine freezes.
constexpr Milliseconds OnItsWay{10};
constexpr Milliseconds WorkTime{40};
constexpr int Rounds = 5;
const std::map<std::string, std::string> Zones{{"z1", "r"}};

std::string lineOf(Socket &Connection) {
  auto Line = Connection.readUntil("\r\n", AnswerTimeout);
  return Line ? *Line : "no answer";
}

} // namespace

/// Rules PINNED and UNASKED: a client rolls back a transaction. It has sent its
/// messages ahead of the answers, and the machine freezes meanwhile.
Verdict runSentAhead(Scenario &Case) {
  Case.databases().setWork(WorkTime);
  Case.writeConfiguration({"steady"});
  Host &Where = Case.addHost("front-z1-1", "z1", Zones);
  if (!Case.waitUntilReady(ReadyTimeout))
    return Verdict::NotRun;
  Case.wait(WarmUp);
  bool Broken = false;
  for (int Round = 1; Round <= Rounds; ++Round) {
    std::string Prefix = "QUERY r" + std::to_string(Round);
    std::string First = "item" + std::to_string(Round) + "a";
    std::string Second = "item" + std::to_string(Round) + "b";
    auto Connection =
        Socket::connect(Where.ip(), Where.callerPort(), Milliseconds{2000});
    if (!Connection)
      return Verdict::NotRun;
    Connection->send("START steady client\r\n");
    lineOf(*Connection);
    Case.note("sent: BEGIN, WRITE " + First + ", WRITE " + Second);
    Connection->send(Prefix + "b BEGIN\r\n" + Prefix + "1 WRITE " + First +
                     " kept\r\n" + Prefix + "2 WRITE " + Second + " kept\r\n");
    Case.wait(OnItsWay);
    if (Case.hasTrouble())
      Where.sendSignal(SIGSTOP);
    Case.wait(FreezeTime / 2);
    Case.note("sent: ROLLBACK");
    Connection->send(Prefix + "r ROLLBACK\r\n");
    Case.wait(FreezeTime / 2);
    if (Case.hasTrouble())
      Where.sendSignal(SIGCONT);
    for (int Answer = 1; Answer <= 4; ++Answer) {
      std::string Result = lineOf(*Connection);
      Case.note("answer " + std::to_string(Answer) + ": " + Result + " / " +
                lineOf(*Connection));
    }
    Case.wait(Milliseconds{200});
    std::string Kept = Case.databases().committed(Second);
    Broken |= !Kept.empty();
    Case.note("committed value of " + Second + ": " +
              (Kept.empty() ? "none" : Kept + "  <- was rolled back"));
  }
  for (const ReceivedStatement &Known : Case.databases().received())
    Case.note("run at " + Known.Database + ", connection " +
              std::to_string(Known.Connection) + ", " +
              (Known.InTransaction ? "in a transaction" : "alone") + ": " +
              Known.Id + " " + Known.Text);
  return Broken ? Verdict::Broken : Verdict::Held;
}

} // namespace review
