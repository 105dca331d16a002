#include "testing/soak/callers.h"

#include <algorithm>
#include <array>

namespace nutmegloom::testing {

using std::chrono::milliseconds;

namespace {

/// A caller closes its connection if there is no answer for this long.
constexpr milliseconds ResponseTimeout{6000};
/// Longest pause between two statements.
constexpr int LongestPauseMs = 40;
/// Error codes that guarantee that nothing of the attempt is kept.
constexpr std::array<std::string_view, 6> NotKeptCodes{
    "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOADED"};

ReportedOutcome outcomeOfError(const std::string &Error) {
  if (Error.empty())
    return ReportedOutcome::Done;
  std::string Code = Error.substr(0, Error.find(' '));
  bool Promised = std::find(NotKeptCodes.begin(), NotKeptCodes.end(), Code) !=
                  NotKeptCodes.end();
  return Promised ? ReportedOutcome::NotKept : ReportedOutcome::Unknown;
}

} // namespace

Callers::Callers(boost::asio::io_context &Io, std::uint32_t Seed,
                 std::size_t Count, std::vector<std::string> Routes,
                 Hooks Handlers)
    : Io_(Io), Random_(Seed), Routes_(std::move(Routes)),
      Handlers_(std::move(Handlers)) {
  for (std::size_t Number = 0; Number < Count; ++Number) {
    auto Created = std::make_shared<Caller>(Io_);
    Created->Number = Number;
    Callers_.push_back(Created);
    startTimer(Created, milliseconds{randomBetween(1, 200)},
               [this, Created] { connect(Created); });
  }
}

int Callers::randomBetween(int Least, int Greatest) {
  return std::uniform_int_distribution<>(Least, Greatest)(Random_);
}

void Callers::startTimer(const std::shared_ptr<Caller> &Client,
                         milliseconds Time, std::function<void()> Call) {
  std::uint64_t TimerGeneration = ++Client->TimerGeneration;
  Client->Timer.expires_after(Time);
  Client->Timer.async_wait(
      [Client, TimerGeneration, Call = std::move(Call)](auto Cancelled) {
        if (!Cancelled && TimerGeneration == Client->TimerGeneration)
          Call();
      });
}

void Callers::connect(const std::shared_ptr<Caller> &Client) {
  if (Stopping_)
    return;
  Client->Host = Handlers_.PickHost();
  Client->Accepted = false;
  Client->ValueSet = false;
  Client->Prepared.clear();
  Client->Transaction = 0;
  Client->Pending.clear();
  Client->Error.clear();
  connectStream(Io_, Client->Host, Framing::Lines, {},
                [this, Client](auto Stream, ConnectResult) {
                  if (!Stream) {
                    startTimer(Client, milliseconds{100},
                               [this, Client] { connect(Client); });
                    return;
                  }
                  Client->Stream = Stream;
                  Stream->start({[this, Client](std::string_view Line) {
                                   onLine(Client, Line);
                                 },
                                 [this, Client] { onClosed(Client); }});
                  const std::string &Route =
                      Routes_[Client->Number % Routes_.size()];
                  Stream->writeMessage("START " + Route + " soak");
                  startTimer(Client, ResponseTimeout,
                             [this, Client] { onClosed(Client); });
                });
}

void Callers::onClosed(const std::shared_ptr<Caller> &Client) {
  if (auto Ended = std::exchange(Client->Stream, nullptr))
    Ended->close();
  if (!Client->Pending.empty())
    recordOutcome(*Client, ReportedOutcome::Unknown);
  startTimer(Client, milliseconds{randomBetween(20, 150)},
             [this, Client] { connect(Client); });
}

void Callers::recordOutcome(Caller &Client, ReportedOutcome Answer) {
  SentStatement &Statement = Sent_.at(std::exchange(Client.Pending, {}));
  Statement.Answer = Answer;
  if (Statement.Text == "COMMIT")
    Commits_[Statement.Transaction] = Answer;
}

void Callers::onLine(const std::shared_ptr<Caller> &Client,
                     std::string_view Line) {
  if (Line.starts_with("ERROR ")) {
    Client->Error = Line.substr(6);
    return;
  }
  if (!Line.starts_with("READY "))
    return;
  if (!Client->Accepted) {
    Client->Accepted = true;
    next(Client);
    return;
  }
  ++Answered_;
  SentStatement &Answered = Sent_.at(Client->Pending);
  Answered.NameUnknown = Client->Error.starts_with("NOSUCHNAME");
  ReportedOutcome Answer = outcomeOfError(std::exchange(Client->Error, {}));
  recordOutcome(*Client, Answer);
  CompletedByHost_[Client->Host] += Answer == ReportedOutcome::Done ? 1 : 0;
  if (Answer != ReportedOutcome::Done) {
    // Closes the connection after an error, as the platform's callers do.
    onClosed(Client);
    return;
  }
  if (Client->Transaction != 0 && --Client->StatementsLeft < 0)
    Client->Transaction = 0;
  // Occasionally connects to another host.
  if (Client->Transaction == 0 && randomBetween(0, 30) == 0) {
    onClosed(Client);
    return;
  }
  startTimer(Client, milliseconds{randomBetween(1, LongestPauseMs)},
             [this, Client] { next(Client); });
}

/// Sends the caller's next statement. A transaction consists of BEGIN, a few
/// statements and COMMIT or ROLLBACK, which is sent when StatementsLeft is
/// zero.
void Callers::next(const std::shared_ptr<Caller> &Client) {
  if (Stopping_ && Client->Transaction == 0) {
    onClosed(Client);
    return;
  }
  std::string Item = std::to_string(randomBetween(1, 50));
  if (!Client->ValueSet) {
    Client->ValueSet = true;
    send(Client, std::string("SET ") + ValueName + " " +
                     std::to_string(Client->Number));
    return;
  }
  if (Client->Transaction == 0 && randomBetween(0, 3) == 0) {
    Client->Transaction = ++LastTransaction_;
    Client->StatementsLeft = randomBetween(2, 5);
    send(Client, "BEGIN");
    return;
  }
  if (Client->Transaction != 0 && Client->StatementsLeft == 0) {
    send(Client, randomBetween(0, 4) == 0 ? "ROLLBACK" : "COMMIT");
    return;
  }
  switch (randomBetween(0, 7)) {
  case 0:
    prepare(Client);
    return;
  case 1:
  case 2:
  case 3:
    execute(Client, Item);
    return;
  case 4:
  case 5:
    send(Client, "READ " + Item);
    return;
  default:
    send(Client, "WRITE " + Item + " data");
    return;
  }
}

std::string Callers::randomShape() {
  std::string Shape = "q" + std::to_string(randomBetween(1, 20));
  switch (randomBetween(0, 3)) {
  case 0:
    return Shape + " READ cnqcgjecvq";
  case 1:
    return Shape + " WRITE cnqcgjecvq  data";
  case 2:
    return Shape +
           std::string(static_cast<std::size_t>(randomBetween(1, 4000)), 'x');
  default:
    return Shape;
  }
}

/// All callers use the same few names for different statements.
void Callers::prepare(const std::shared_ptr<Caller> &Client) {
  std::string Name = "s" + std::to_string(randomBetween(1, 3));
  bool Writes = randomBetween(0, 1) == 0;
  std::string Shape = randomShape();
  Client->Prepared[Name] = {Writes, Shape};
  send(Client, "PREPARE " + Name + (Writes ? " WRITE " : " READ ") + Shape);
}

void Callers::execute(const std::shared_ptr<Caller> &Client,
                      const std::string &Item) {
  if (Client->Prepared.empty()) {
    prepare(Client);
    return;
  }
  int Last = static_cast<int>(Client->Prepared.size()) - 1;
  auto Chosen = std::next(Client->Prepared.begin(), randomBetween(0, Last));
  std::string Data = Chosen->second.Writes ? " data" : "";
  send(Client, "EXECUTE " + Chosen->first + " " + Item + Data);
  Sent_.at(Client->Pending).Prepared = Chosen->second;
}

void Callers::send(const std::shared_ptr<Caller> &Client,
                   const std::string &Text) {
  std::string Id = std::to_string(++LastStatement_);
  Client->Pending = Id;
  SentStatement &Sent = Sent_[Id];
  Sent.Text = Text;
  Sent.Caller = Client->Number;
  Sent.Transaction = Client->Transaction;
  Client->Stream->writeMessage("QUERY " + Id + " " + Text);
  startTimer(Client, ResponseTimeout, [this, Client] { onClosed(Client); });
}

} // namespace nutmegloom::testing
