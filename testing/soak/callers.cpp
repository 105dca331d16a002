#include "testing/soak/callers.h"

#include <algorithm>
#include <array>

namespace nutmegloom::testing {

using std::chrono::milliseconds;

namespace {

/// A caller gives up a connection that answers nothing for this long.
constexpr milliseconds Patience{6000};
/// Longest pause between two statements.
constexpr int LongestPauseMs = 40;
/// Codes that promise that nothing of the attempt is kept.
constexpr std::array<std::string_view, 6> Promises{
    "BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "OVERLOADED"};

Told toldBy(const std::string &Error) {
  if (Error.empty())
    return Told::Done;
  std::string Code = Error.substr(0, Error.find(' '));
  bool Promised =
      std::find(Promises.begin(), Promises.end(), Code) != Promises.end();
  return Promised ? Told::NotKept : Told::Unknown;
}

} // namespace

Callers::Callers(boost::asio::io_context &Io, std::uint32_t Seed,
                 std::size_t Count, std::vector<std::string> Routes,
                 Hooks Functions)
    : Io_(Io), Random_(Seed), Routes_(std::move(Routes)),
      Functions_(std::move(Functions)) {
  for (std::size_t Number = 0; Number < Count; ++Number) {
    auto Made = std::make_shared<Caller>(Io_);
    Made->Number = Number;
    Callers_.push_back(Made);
    after(Made, milliseconds{pick(1, 200)}, [this, Made] { connect(Made); });
  }
}

int Callers::pick(int Least, int Greatest) {
  return std::uniform_int_distribution<>(Least, Greatest)(Random_);
}

void Callers::after(const std::shared_ptr<Caller> &Of, milliseconds Time,
                    std::function<void()> Call) {
  std::uint64_t Round = ++Of->Round;
  Of->Timer.expires_after(Time);
  Of->Timer.async_wait([Of, Round, Call = std::move(Call)](auto Cancelled) {
    if (!Cancelled && Round == Of->Round)
      Call();
  });
}

void Callers::connect(const std::shared_ptr<Caller> &Of) {
  if (Stopping_)
    return;
  Of->Host = Functions_.PickHost();
  Of->Accepted = false;
  Of->ValueSet = false;
  Of->Transaction = 0;
  Of->Pending.clear();
  Of->Error.clear();
  connectStream(
      Io_, Of->Host, Framing::Lines, {},
      [this, Of](auto Stream, ConnectResult) {
        if (!Stream) {
          after(Of, milliseconds{100}, [this, Of] { connect(Of); });
          return;
        }
        Of->Stream = Stream;
        Stream->start({[this, Of](std::string_view Line) { onLine(Of, Line); },
                       [this, Of] { onClosed(Of); }});
        const std::string &Route = Routes_[Of->Number % Routes_.size()];
        Stream->writeMessage("START " + Route + " soak");
        after(Of, Patience, [this, Of] { onClosed(Of); });
      });
}

void Callers::onClosed(const std::shared_ptr<Caller> &Of) {
  if (auto Ended = std::exchange(Of->Stream, nullptr))
    Ended->close();
  if (!Of->Pending.empty())
    note(*Of, Told::Unknown);
  after(Of, milliseconds{pick(20, 150)}, [this, Of] { connect(Of); });
}

void Callers::note(Caller &Of, Told Answer) {
  SentStatement &Statement = Sent_.at(std::exchange(Of.Pending, {}));
  Statement.Answer = Answer;
  if (Statement.Text == "COMMIT")
    Commits_[Statement.Transaction] = Answer;
}

void Callers::onLine(const std::shared_ptr<Caller> &Of, std::string_view Line) {
  if (Line.starts_with("ERROR ")) {
    Of->Error = Line.substr(6);
    return;
  }
  if (!Line.starts_with("READY "))
    return;
  if (!Of->Accepted) {
    Of->Accepted = true;
    next(Of);
    return;
  }
  ++Answered_;
  Told Answer = toldBy(std::exchange(Of->Error, {}));
  note(*Of, Answer);
  DoneByHost_[Of->Host] += Answer == Told::Done ? 1 : 0;
  if (Answer != Told::Done) {
    // As the platform's callers do, leave after an error.
    onClosed(Of);
    return;
  }
  if (Of->Transaction != 0 && --Of->Left < 0)
    Of->Transaction = 0;
  // Sessions move between hosts.
  if (Of->Transaction == 0 && pick(0, 30) == 0) {
    onClosed(Of);
    return;
  }
  after(Of, milliseconds{pick(1, LongestPauseMs)}, [this, Of] { next(Of); });
}

/// A transaction is BEGIN, a few statements and an end; Left counts down to the
/// end.
void Callers::next(const std::shared_ptr<Caller> &Of) {
  if (Stopping_ && Of->Transaction == 0) {
    onClosed(Of);
    return;
  }
  std::string Item = std::to_string(pick(1, 50));
  if (!Of->ValueSet) {
    Of->ValueSet = true;
    send(Of,
         std::string("SET ") + ValueName + " " + std::to_string(Of->Number));
    return;
  }
  if (Of->Transaction == 0 && pick(0, 3) == 0) {
    Of->Transaction = ++LastTransaction_;
    Of->Left = pick(2, 5);
    send(Of, "BEGIN");
    return;
  }
  if (Of->Transaction != 0 && Of->Left == 0) {
    send(Of, pick(0, 4) == 0 ? "ROLLBACK" : "COMMIT");
    return;
  }
  send(Of, pick(0, 1) == 0 ? "READ " + Item : "WRITE " + Item + " data");
}

void Callers::send(const std::shared_ptr<Caller> &Of, const std::string &Text) {
  std::string Id = std::to_string(++LastStatement_);
  Of->Pending = Id;
  Sent_[Id] = {Text, Of->Number, Of->Transaction, Told::Nothing};
  Of->Stream->writeMessage("QUERY " + Id + " " + Text);
  after(Of, Patience, [this, Of] { onClosed(Of); });
}

} // namespace nutmegloom::testing
