#include "databases.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <sstream>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

namespace {

constexpr std::uint64_t FirstTerm = 3;
/// Time after which an old primary that reaches the new one becomes a replica.
constexpr Milliseconds StepDownDelay{1000};
/// Heartbeats without which an entry lapses.
constexpr int LapseHeartbeats = 3;

std::int64_t unixMilliseconds() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string consumeWord(std::string &Text) {
  std::size_t Space = Text.find(' ');
  std::string Word = Text.substr(0, Space);
  Text = Space == std::string::npos ? "" : Text.substr(Space + 1);
  return Word;
}

} // namespace

std::string textOf(const LogPosition &Position) {
  return std::to_string(Position.Term) + "." + std::to_string(Position.Number);
}

DatabaseGroup::DatabaseGroup(asio::io_context &Io, Store &Listing, Record &Log,
                             std::string Ip, Settings Options)
    : Io_(Io), Listing_(Listing), Record_(Log), Ip_(std::move(Ip)),
      Options_(std::move(Options)),
      Received_(Io, asio::steady_timer::time_point::max()) {}

LogPosition DatabaseGroup::endOf(const std::vector<Commit> &Log) {
  return Log.empty() ? LogPosition{FirstTerm, 0} : Log.back().Position;
}

LogPosition DatabaseGroup::appliedPosition(const Member &Serving) const {
  return Serving.Applied == 0 ? LogPosition{FirstTerm, 0}
                              : Serving.Log[Serving.Applied - 1].Position;
}

void DatabaseGroup::listen(Member &Listening) {
  tcp::acceptor &Acceptor = Listening.Acceptor;
  Acceptor.open(tcp::v4());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind({asio::ip::make_address(Ip_), Listening.Port});
  Acceptor.listen();
  Listening.Port = Acceptor.local_endpoint().port();
  start(Io_, accept(Listening.Id));
}

void DatabaseGroup::add(const std::string &Id, const std::string &Zone) {
  auto Added = std::make_unique<Member>(Io_);
  Added->Id = Id;
  Added->Zone = Zone;
  Added->Born = unixMilliseconds();
  if (Primary_.empty()) {
    Added->Primary = true;
    Primary_ = Id;
  } else {
    const Member &Leading = member(Primary_);
    Added->Log = Leading.Log;
    Added->Applied = Leading.Log.size();
    Added->Term = Leading.Term;
  }
  Member &Started = *Added;
  Members_[Id] = std::move(Added);
  listen(Started);
  report(Started);
  start(Io_, heartbeats(Id, Started.Born));
}

void DatabaseGroup::report(Member &Reporting) {
  Listing_.put("servers", Reporting.Id,
               {{"Service", Options_.Service},
                {"Address", addressOf(Reporting.Id)},
                {"Zone", Reporting.Zone},
                {"Version", "v1"},
                {"Slots", Options_.Slots},
                {"State", Reporting.Draining ? "draining" : "ready"},
                {"ColdRemainingMs", 0},
                {"DatabaseRole", Reporting.Primary ? "primary" : "replica"},
                {"born", Reporting.Born},
                {"Sequence", ++Reporting.Sequence}});
}

asio::awaitable<void> DatabaseGroup::heartbeats(std::string Id,
                                                std::int64_t Born) {
  int Missed = 0;
  while (true) {
    co_await pause(Options_.Heartbeat);
    auto Found = Members_.find(Id);
    if (Found == Members_.end() || Found->second->Born != Born)
      co_return;
    if (Found->second->Up) {
      Missed = 0;
      report(*Found->second);
    } else if (++Missed == LapseHeartbeats) {
      Listing_.erase("servers", Id);
      Record_.add("entry of " + Id + " lapses");
    }
  }
}

void DatabaseGroup::drain(const std::string &Id) {
  member(Id).Draining = true;
  report(member(Id));
  Record_.add(Id + " reports draining, the store has accepted it");
}

void DatabaseGroup::crash(const std::string &Id) {
  Member &Crashed = member(Id);
  Crashed.Up = false;
  boost::system::error_code Ignored;
  Crashed.Acceptor.close(Ignored);
  for (const auto &Socket : Crashed.Sockets)
    Socket->close(Ignored);
  Crashed.Sockets.clear();
  Record_.add(Id + " ends, log " + textOf(endOf(Crashed.Log)));
}

void DatabaseGroup::stop(const std::string &Id) {
  crash(Id);
  Listing_.erase("servers", Id);
}

void DatabaseGroup::restart(const std::string &Id) {
  Member &Started = member(Id);
  Started.Up = true;
  Started.PausedTerm = 0;
  Started.Primary = Primary_ == Id;
  listen(Started);
  report(Started);
  if (!Started.Primary)
    start(Io_, replicate(Id));
  Record_.add(Id + " starts again");
}

void DatabaseGroup::setDeaf(const std::string &Id, bool Deaf) {
  member(Id).Deaf = Deaf;
  Record_.add(Id +
              (Deaf ? " receives nothing from now on" : " receives again") +
              ", log " + textOf(endOf(member(Id).Log)));
  if (!Deaf)
    start(Io_, replicate(Id));
}

void DatabaseGroup::fill(const std::string &Item, const std::string &Value) {
  LogPosition Next{FirstTerm, endOf(member(Primary_).Log).Number + 1};
  for (auto &[Id, Filled] : Members_) {
    Filled->Log.push_back({Next, "-", {{Item, Value}}});
    Filled->Applied = Filled->Log.size();
  }
}

bool DatabaseGroup::holds(const std::string &Id,
                          const std::string &Statement) const {
  const std::vector<Commit> &Log = Members_.at(Id)->Log;
  return std::any_of(Log.begin(), Log.end(), [&](const Commit &Made) {
    return Made.Statement == Statement;
  });
}

LogPosition DatabaseGroup::received(const std::string &Id) const {
  return endOf(Members_.at(Id)->Log);
}

std::string DatabaseGroup::addressOf(const std::string &Id) const {
  return Ip_ + ":" + std::to_string(Members_.at(Id)->Port);
}

bool DatabaseGroup::promote(const std::string &Id) {
  if (!Members_.contains(Id) || !member(Id).Up)
    return false;
  if (Id != Primary_)
    start(Io_, becomePrimary(Id));
  return true;
}

asio::awaitable<void> DatabaseGroup::becomePrimary(std::string Id) {
  co_await pause(Options_.PromoteTime);
  if (!member(Id).Up || Id == Primary_)
    co_return;
  Member &Next = member(Id);
  std::string Old = Primary_;
  std::uint64_t Term = 0;
  for (const auto &[Name, Known] : Members_)
    Term = std::max(Term, Known->Term);
  Next.Term = Term + 1;
  Next.Primary = true;
  Next.PausedTerm = 0;
  Next.Applied = Next.Log.size();
  Primary_ = Id;
  report(Next);
  Record_.add(Id + " leads term " + std::to_string(Next.Term) + " with log " +
              textOf(endOf(Next.Log)));
  if (Promoted)
    Promoted(Id, Next.Term);
  for (auto &[Name, Following] : Members_)
    if (Name != Id && Name != Old && Following->Up) {
      Following->PausedTerm = 0;
      start(Io_, replicate(Name));
    }
  co_await pause(StepDownDelay);
  Member &Former = member(Old);
  if (!Former.Up || Primary_ == Old)
    co_return;
  Former.Primary = false;
  report(Former);
  start(Io_, replicate(Old));
}

/// Brings the replica's log to that of the primary, unless it is deaf or
/// paused. Commits that the primary does not have are rolled back.
asio::awaitable<void> DatabaseGroup::replicate(std::string Id) {
  std::string Source = Primary_;
  if (!member(Source).Up)
    co_return;
  std::vector<Commit> Sent = member(Source).Log;
  std::uint64_t Term = member(Source).Term;
  co_await pause(Options_.NetworkDelay);
  Member &Replica = member(Id);
  if (!Replica.Up || Replica.Deaf || Replica.PausedTerm > 0 ||
      Source != Primary_ || Replica.Primary)
    co_return;
  std::size_t Common = 0;
  while (Common < Sent.size() && Common < Replica.Log.size() &&
         Sent[Common].Position == Replica.Log[Common].Position)
    ++Common;
  bool Shorter = Common == Sent.size() && Term == Replica.Term;
  Replica.Term = Term;
  if (Shorter)
    co_return;
  Replica.Log = std::move(Sent);
  Replica.Applied = std::min(Replica.Applied, Common);
  Received_.cancel();
  start(Io_, applyLater(Id));
}

asio::awaitable<void> DatabaseGroup::applyLater(std::string Id) {
  std::size_t Length = member(Id).Log.size();
  co_await pause(Options_.ApplyDelay);
  Member &Replica = member(Id);
  Replica.Applied =
      std::max(Replica.Applied, std::min(Length, Replica.Log.size()));
}

asio::awaitable<bool>
DatabaseGroup::commit(std::string Id, std::string Statement,
                      std::map<std::string, std::string> Writes) {
  Member &Leading = member(Id);
  LogPosition At{Leading.Term, endOf(Leading.Log).Number + 1};
  Leading.Log.push_back({At, Statement, std::move(Writes)});
  Leading.Applied = Leading.Log.size();
  Runs_.push_back({Record_.seconds(), Id, Statement, "commit " + textOf(At)});
  Record_.add(Id + " commits " + Statement + " at " + textOf(At));
  if (Id == Primary_)
    for (const auto &[Name, Replica] : Members_)
      if (Name != Id)
        start(Io_, replicate(Name));
  auto HasReplica = [&] {
    return std::any_of(
        Members_.begin(), Members_.end(), [&](const auto &Entry) {
          const Member &Replica = *Entry.second;
          return Replica.Id != Id && Replica.Up &&
                 std::any_of(Replica.Log.begin(), Replica.Log.end(),
                             [&](const Commit &Made) {
                               return Made.Position == At &&
                                      Made.Statement == Statement;
                             });
        });
  };
  while (Options_.SyncReplicas > 0 && !HasReplica()) {
    boost::system::error_code Ignored;
    co_await Received_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    if (!member(Id).Up)
      co_return false;
  }
  co_return true;
}

asio::awaitable<void> DatabaseGroup::accept(std::string Id) {
  while (true) {
    boost::system::error_code Error;
    auto Socket = std::make_shared<tcp::socket>(Io_);
    co_await member(Id).Acceptor.async_accept(
        *Socket, asio::redirect_error(asio::use_awaitable, Error));
    if (Error)
      co_return;
    Socket->set_option(tcp::no_delay(true));
    member(Id).Sockets.insert(Socket);
    start(Io_, serve(Id, Socket));
  }
}

asio::awaitable<void>
DatabaseGroup::serve(std::string Id, std::shared_ptr<tcp::socket> Socket) {
  Session Client;
  std::string Input;
  bool Started = false;
  try {
    while (true) {
      std::size_t Size = co_await asio::async_read_until(
          *Socket, asio::dynamic_buffer(Input), "\r\n", asio::use_awaitable);
      std::string Line = Input.substr(0, Size - 2);
      Input.erase(0, Size);
      std::string Word = consumeWord(Line);
      std::string Answer;
      if (Word == "TERMINATE")
        break;
      if (!Started) {
        std::string Service = consumeWord(Line);
        consumeWord(Line);
        bool Right = Word == "START" && Service == Options_.Service &&
                     (Line.empty() || Line == Id);
        Started = Right;
        Answer = Right ? "" : "ERROR WRONGNODE " + Id + "\r\n";
        if (!Right) {
          co_await asio::async_write(*Socket, asio::buffer(Answer),
                                     asio::use_awaitable);
          break;
        }
      } else {
        std::string Statement = consumeWord(Line);
        Answer = co_await run(Id, Client, Statement, Line);
      }
      Answer += "READY " + Client.State + " " +
                textOf(appliedPosition(member(Id))) + "\r\n";
      co_await asio::async_write(*Socket, asio::buffer(Answer),
                                 asio::use_awaitable);
    }
  } catch (const boost::system::system_error &) {
    // The client has left, or the database has ended.
  }
  boost::system::error_code Ignored;
  Socket->close(Ignored);
  member(Id).Sockets.erase(Socket);
}

/// Runs statements that occupy no slot; nothing: the statement needs one.
std::optional<std::string> DatabaseGroup::control(Member &Serving,
                                                  Session &Client,
                                                  const std::string &Text) {
  std::string Rest = Text;
  std::string Word = consumeWord(Rest);
  std::string Row =
      "DATAROW " + std::string(Serving.Primary ? "primary " : "replica ") +
      std::to_string(Serving.Term) + " " + textOf(endOf(Serving.Log)) + " ";
  std::string Tail = " 0 " + std::to_string(Serving.Busy) + " " +
                     std::to_string(Serving.Sockets.size()) +
                     "\r\nCOMPLETE -\r\n";
  if (Word == "STATUS")
    return Row + std::to_string(Serving.PausedTerm) + Tail;
  if (Word == "PAUSE") {
    if (!Serving.Primary && std::stoull(Rest) > Serving.Term)
      Serving.PausedTerm = std::stoull(Rest);
    return Row + std::to_string(Serving.PausedTerm) + Tail;
  }
  if (Word == "RESUME") {
    Serving.PausedTerm = 0;
    start(Io_, replicate(Serving.Id));
    return Row + "0" + Tail;
  }
  if (Word == "ROLLBACK") {
    Client.State = "I";
    Client.Writes.clear();
    return "COMPLETE -\r\n";
  }
  if (Client.State == "E" && Word != "COMMIT")
    return "ERROR MALFORMED -\r\n";
  if (Word == "RESET") {
    Client.Values.clear();
    Client.Prepared.clear();
    return "COMPLETE -\r\n";
  }
  if (Word == "SET") {
    std::string Name = consumeWord(Rest);
    Client.Values[Name] = Rest;
    return "COMPLETE -\r\n";
  }
  if (Word == "PREPARE") {
    std::string Name = consumeWord(Rest);
    std::string Access = consumeWord(Rest);
    Client.Prepared[Name] = {Access == "WRITE", Rest};
    return "COMPLETE -\r\n";
  }
  if (Word == "DEALLOCATE")
    return Client.Prepared.erase(Rest) > 0
               ? "COMPLETE -\r\n"
               : "ERROR NOSUCHNAME " + Rest + "\r\n";
  return std::nullopt;
}

asio::awaitable<std::string> DatabaseGroup::run(std::string Id, Session &Client,
                                                std::string Statement,
                                                std::string Text) {
  if (auto Answer = control(member(Id), Client, Text))
    co_return *Answer;
  std::string Rest = Text;
  if (Rest.starts_with("WAITFOR ")) {
    consumeWord(Rest);
    std::string Wanted = consumeWord(Rest);
    std::size_t Dot = Wanted.find('.');
    LogPosition Floor{std::stoull(Wanted.substr(0, Dot)),
                      std::stoull(Wanted.substr(Dot + 1))};
    if (appliedPosition(member(Id)) < Floor)
      co_return "ERROR LAGGING " + Id + "\r\n";
  }
  if (Rest == "BEGIN" || Rest == "BEGIN READ") {
    Member &Serving = member(Id);
    if (Rest == "BEGIN" && !Serving.Primary)
      co_return "ERROR READONLY " + Id + "\r\n";
    Client.State = "T";
    Client.ReadOnly = Rest == "BEGIN READ";
    Client.Term = Serving.Term;
    Client.Writes.clear();
    Client.Used = false;
    co_return "COMPLETE -\r\n";
  }
  if (Client.State == "I" || !Client.Used)
    Arrivals_.push_back({Record_.seconds(), Id, Statement, Rest});
  Client.Used = true;
  Record_.add(Statement + " reaches " + Id + ": " + Rest.substr(0, 60));
  ++member(Id).Busy;
  co_await pause(Options_.WorkTime);
  --member(Id).Busy;
  co_return co_await work(Id, Client, Statement, Rest);
}

asio::awaitable<std::string> DatabaseGroup::work(std::string Id,
                                                 Session &Client,
                                                 std::string Statement,
                                                 std::string Text) {
  Member &Serving = member(Id);
  std::string Rest = Text;
  std::string Word = consumeWord(Rest);
  bool InTransaction = Client.State == "T";
  bool Writes = Word == "WRITE";
  if (Word == "EXECUTE") {
    std::string Name = consumeWord(Rest);
    if (!Client.Prepared.contains(Name)) {
      Client.State = InTransaction ? "E" : "I";
      co_return "ERROR NOSUCHNAME " + Name + "\r\n";
    }
    Writes = Client.Prepared[Name].first;
  }
  std::string Item = consumeWord(Rest);
  bool LostLead = InTransaction && !Client.ReadOnly &&
                  (!Serving.Primary || Serving.Term != Client.Term) &&
                  !(Word == "COMMIT" && Client.Writes.empty());
  if (LostLead || (Writes && !Serving.Primary)) {
    Client.State = InTransaction && Word != "COMMIT" ? "E" : "I";
    co_return "ERROR READONLY " + Id + "\r\n";
  }
  Runs_.push_back({Record_.seconds(), Id, Statement, Text.substr(0, 60)});
  std::string Rows;
  if (Word == "COMMIT") {
    auto Changed = std::move(Client.Writes);
    Client.Writes.clear();
    Client.State = "I";
    if (!Changed.empty() && !co_await commit(Id, Statement, Changed))
      throw boost::system::system_error(asio::error::connection_reset);
  } else if (Writes && InTransaction) {
    Client.Writes[Item] = Rest;
  } else if (Writes) {
    std::map<std::string, std::string> One{{Item, Rest}};
    if (!co_await commit(Id, Statement, std::move(One)))
      throw boost::system::system_error(asio::error::connection_reset);
  } else {
    const std::vector<Commit> &Log = Serving.Log;
    for (std::size_t At = Serving.Applied; At > 0; --At)
      if (auto Found = Log[At - 1].Writes.find(Item);
          Found != Log[At - 1].Writes.end()) {
        std::istringstream Lines(Found->second);
        for (std::string Row; std::getline(Lines, Row);)
          Rows += "DATAROW " + Row + "\r\n";
        break;
      }
  }
  co_return Rows + "COMPLETE 7." + Id + "." + Statement + "\r\n";
}

} // namespace review
