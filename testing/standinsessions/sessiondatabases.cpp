#include "testing/standinsessions/sessiondatabases.h"

#include <algorithm>
#include <utility>

namespace nutmegloom::testing {

using boost::asio::ip::tcp;

/// Not 127.0.0.1, where outgoing connections get their local ports: one of them
/// could take the port of a database while it is down.
static constexpr const char *ListenIp = "127.0.2.1";

/// Returns the text before the next blank and removes both from Rest. Two
/// blanks enclose an empty field, as in the protocol.
static std::string takeWord(std::string &Rest) {
  std::size_t End = std::min(Rest.find(' '), Rest.size());
  std::string Word = Rest.substr(0, End);
  Rest.erase(0, End + 1);
  return Word;
}

SessionDatabases::SessionDatabases(boost::asio::io_context &Io,
                                   std::string Group,
                                   const std::vector<std::string> &Ids)
    : Group_(std::move(Group)), Primary_(Ids.front()) {
  for (const std::string &Id : Ids) {
    Members_[Id] = std::make_unique<Member>(Io);
    listen(Id, 0);
  }
}

void SessionDatabases::listen(const std::string &Id, std::uint16_t Port) {
  tcp::acceptor &Acceptor = Members_[Id]->Acceptor;
  Acceptor.open(tcp::v4());
  Acceptor.set_option(tcp::acceptor::reuse_address(true));
  Acceptor.bind(tcp::endpoint(boost::asio::ip::make_address(ListenIp), Port));
  Acceptor.listen();
  Members_[Id]->Port = Acceptor.local_endpoint().port();
  accept(Id);
}

void SessionDatabases::restart(const std::string &Id) {
  Members_.at(Id)->Up = true;
  listen(Id, Members_.at(Id)->Port);
}

std::string SessionDatabases::addressOf(const std::string &Id) const {
  return std::string(ListenIp) + ":" + std::to_string(Members_.at(Id)->Port);
}

void SessionDatabases::accept(const std::string &Id) {
  Members_[Id]->Acceptor.async_accept(
      [this, Id](auto Error, tcp::socket Socket) {
        if (Error)
          return;
        auto Client = std::make_shared<Session>();
        Client->Stream = MessageStream::create(std::move(Socket));
        Members_[Id]->Streams.push_back(Client->Stream);
        Client->Stream->start({[this, Id, Client](std::string_view Line) {
                                 onLine(Id, *Client, Line);
                               },
                               [] {}});
        accept(Id);
      });
}

void SessionDatabases::crash(const std::string &Id) {
  Member &Crashed = *Members_.at(Id);
  Crashed.Up = false;
  Crashed.PausedTerm = 0;
  Crashed.Acceptor.close();
  for (auto &Stream : Crashed.Streams)
    Stream->close();
  Crashed.Streams.clear();
}

void SessionDatabases::promote(const std::string &Id) {
  if (Id == Primary_)
    return;
  Primary_ = Id;
  ++Term_;
  for (auto &[Name, Known] : Members_)
    Known->PausedTerm = 0;
}

void SessionDatabases::onLine(const std::string &Id, Session &Client,
                              std::string_view Line) {
  if (Members_.at(Id)->Silent)
    return;
  std::string Rest(Line);
  if (takeWord(Rest) == "START") {
    std::string Group = takeWord(Rest);
    Client.Account = takeWord(Rest);
    if (Group != Group_ || Rest != Id) {
      Client.Stream->write("ERROR WRONGNODE " + Id + "\r\n");
      Client.Stream->close();
      return;
    }
    Client.Stream->write("READY I " + std::to_string(Term_) + "." +
                         std::to_string(Index_) + "\r\n");
    return;
  }
  std::string Statement = takeWord(Rest);
  std::string Result = runStatement(Id, Client, Statement, Rest);
  Client.Stream->write(Result + "READY " + Client.State + " " +
                       std::to_string(Term_) + "." + std::to_string(Index_) +
                       "\r\n");
}

bool SessionDatabases::prepare(Session &Client, const std::string &Text) {
  std::string Shape = Text;
  takeWord(Shape);
  std::string Name = takeWord(Shape);
  std::string Access = takeWord(Shape);
  bool IsAccess = Access == "READ" || Access == "WRITE";
  if (Name.empty() || !IsAccess || Shape.empty())
    return false;
  Client.Prepared[Name] = {Access == "WRITE", Shape};
  return true;
}

std::optional<SessionDatabases::PreparedStatement>
SessionDatabases::preparedFor(const Session &Client, const std::string &Text) {
  std::string Rest = Text;
  takeWord(Rest);
  auto Found = Client.Prepared.find(takeWord(Rest));
  if (Found == Client.Prepared.end())
    return std::nullopt;
  return Found->second;
}

/// Runs statements that do not change data: status, begin, rollback, reset,
/// set and prepare. Others are ignored.
std::string SessionDatabases::runControlStatement(const std::string &Id,
                                                  Session &Client,
                                                  const std::string &Text) {
  std::uint64_t &PausedTerm = Members_.at(Id)->PausedTerm;
  if (Text.starts_with("PAUSE ")) {
    std::uint64_t Term = std::stoull(Text.substr(6));
    if (Id != Primary_ && Term > std::max(Term_, PausedTerm))
      PausedTerm = Term;
  }
  if (Text == "RESUME")
    PausedTerm = 0;
  if (Text == "STATUS" || Text == "RESUME" || Text.starts_with("PAUSE "))
    return "DATAROW " + std::string(Id == Primary_ ? "primary " : "replica ") +
           std::to_string(Term_) + " " + std::to_string(Term_) + "." +
           std::to_string(Index_) + " " + std::to_string(PausedTerm) +
           " 0 0 1\r\n";
  if (Text.starts_with("BEGIN")) {
    Client.State = "T";
    Client.Transaction = ++LastTransaction_;
    Client.BegunTerm = Term_;
    Client.OpenRuns.clear();
  }
  if (Text == "ROLLBACK") {
    Client.State = "I";
    Client.Writes = 0;
    Client.Transaction = 0;
  }
  if (Text == "RESET") {
    Client.Values.clear();
    Client.Prepared.clear();
  }
  if (Text.starts_with("SET ")) {
    std::size_t Space = Text.find(' ', 4);
    Client.Values[Text.substr(4, Space - 4)] = Text.substr(Space + 1);
  }
  return {};
}

std::string SessionDatabases::runStatement(const std::string &Id,
                                           Session &Client,
                                           const std::string &Statement,
                                           std::string Text) {
  bool IsPrimary = Id == Primary_;
  if (Text.starts_with("WAITFOR ")) {
    std::size_t Space = Text.find(' ', 8);
    auto Floor = std::stoull(Text.substr(Text.find('.') + 1, Space));
    if (Floor > Index_)
      return "ERROR LAGGING " + Id + "\r\n";
    Text = Text.substr(Space + 1);
  }
  if (Text.starts_with("PREPARE ") && !prepare(Client, Text)) {
    Client.State = Client.State == "T" ? "E" : Client.State;
    return "ERROR MALFORMED -\r\n";
  }
  std::optional<PreparedStatement> Prepared;
  bool Executes = Text.starts_with("EXECUTE ");
  if (Executes) {
    Prepared = preparedFor(Client, Text);
    if (!Prepared) {
      Client.State = Client.State == "T" ? "E" : Client.State;
      return "ERROR NOSUCHNAME -\r\n";
    }
  }
  bool Writes = Executes ? Prepared->Writes : Text.starts_with("WRITE");
  bool Reads = Executes ? !Prepared->Writes : Text.starts_with("READ");
  bool Commits = Text == "COMMIT";
  if (!Writes && !Reads && !Commits)
    return runControlStatement(Id, Client, Text) + "COMPLETE -\r\n";
  bool LostPrimaryRole = Client.State == "T" && Client.BegunTerm != Term_ &&
                         (Writes || (Commits && Client.Writes > 0));
  if ((Writes && !IsPrimary) || LostPrimaryRole) {
    Client.State = Client.State == "T" && !Commits ? "E" : "I";
    return "ERROR READONLY " + Id + "\r\n";
  }
  Executed_.emplace_back(Id, Text);
  Runs_.push_back({Statement, Text, Client.Account, Prepared, Id, Client.Values,
                   Client.Transaction, Writes && Client.State == "I"});
  if (Writes && Client.State == "T")
    ++Client.Writes;
  else if (Writes)
    ++Index_;
  if (Client.State == "T")
    Client.OpenRuns.push_back(Runs_.size() - 1);
  if (Commits) {
    for (std::size_t At : std::exchange(Client.OpenRuns, {}))
      Runs_[At].Committed = true;
    Index_ += Client.Writes;
    Client.Writes = 0;
    Client.State = "I";
    Client.Transaction = 0;
  }
  std::string Rows = Reads ? "DATAROW row\r\n" : "";
  return Rows + "COMPLETE sig-" + Id + "\r\n";
}

} // namespace nutmegloom::testing
