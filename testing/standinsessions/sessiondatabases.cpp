#include "testing/standinsessions/sessiondatabases.h"

#include <algorithm>
#include <sstream>

namespace nutmegloom::testing {

using boost::asio::ip::tcp;

SessionDatabases::SessionDatabases(boost::asio::io_context &Io,
                                   std::string Group,
                                   const std::vector<std::string> &Ids)
    : Group_(std::move(Group)), Primary_(Ids.front()) {
  for (const std::string &Id : Ids) {
    Members_[Id] = std::make_unique<Member>(Io);
    tcp::acceptor &Acceptor = Members_[Id]->Acceptor;
    Acceptor.open(tcp::v4());
    Acceptor.bind(tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    Acceptor.listen();
    accept(Id);
  }
}

std::string SessionDatabases::addressOf(const std::string &Id) const {
  auto Port = Members_.at(Id)->Acceptor.local_endpoint().port();
  return "127.0.0.1:" + std::to_string(Port);
}

void SessionDatabases::accept(const std::string &Id) {
  Members_[Id]->Acceptor.async_accept(
      [this, Id](auto Error, tcp::socket Socket) {
        if (Error)
          return;
        auto Of = std::make_shared<Session>();
        Of->Stream = MessageStream::create(std::move(Socket));
        Members_[Id]->Streams.push_back(Of->Stream);
        Of->Stream->start(
            {[this, Id, Of](std::string_view Line) { onLine(Id, *Of, Line); },
             [] {}});
        accept(Id);
      });
}

void SessionDatabases::crash(const std::string &Id) {
  Member &Crashed = *Members_.at(Id);
  Crashed.Up = false;
  Crashed.Acceptor.close();
  for (auto &Stream : Crashed.Streams)
    Stream->close();
}

void SessionDatabases::promote(const std::string &Id) {
  if (Id == Primary_)
    return;
  Primary_ = Id;
  ++Term_;
}

void SessionDatabases::onLine(const std::string &Id, Session &Of,
                              std::string_view Line) {
  std::istringstream Words{std::string(Line)};
  std::string Word;
  Words >> Word;
  if (Word == "START") {
    std::string Group;
    std::string Who;
    std::string Expected;
    Words >> Group >> Who >> Expected;
    if (Group != Group_ || Expected != Id) {
      Of.Stream->write("ERROR WRONGNODE " + Id + "\r\n");
      Of.Stream->close();
      return;
    }
    Of.Stream->write("READY I " + std::to_string(Term_) + "." +
                     std::to_string(Index_) + "\r\n");
    return;
  }
  std::string Query;
  Words >> Query >> std::ws;
  std::string Text;
  std::getline(Words, Text);
  std::string Result = answer(Id, Of, Text);
  Of.Stream->write(Result + "READY " + Of.State + " " + std::to_string(Term_) +
                   "." + std::to_string(Index_) + "\r\n");
}

std::string SessionDatabases::answer(const std::string &Id, Session &Of,
                                     std::string Text) {
  bool Leads = Id == Primary_;
  if (Text.starts_with("WAITFOR ")) {
    std::size_t Blank = Text.find(' ', 8);
    auto Floor = std::stoull(Text.substr(Text.find('.') + 1, Blank));
    if (Floor > Index_)
      return "ERROR LAGGING " + Id + "\r\n";
    Text = Text.substr(Blank + 1);
  }
  if (Text == "STATUS")
    return "DATAROW " + std::string(Leads ? "primary " : "replica ") +
           std::to_string(Term_) + " " + std::to_string(Term_) + "." +
           std::to_string(Index_) + " 0 0 0 1\r\nCOMPLETE -\r\n";
  if (Text == "BEGIN" || Text == "BEGIN READ") {
    Of.State = "T";
    return "COMPLETE -\r\n";
  }
  if (Text == "ROLLBACK") {
    Of.State = "I";
    Of.Writes = 0;
    return "COMPLETE -\r\n";
  }
  bool Writes = Text.starts_with("WRITE") || Text.starts_with("EXECUTE w_");
  bool Reads = Text.starts_with("READ") || Text.starts_with("EXECUTE r_");
  if (!Writes && !Reads && Text != "COMMIT")
    return "COMPLETE -\r\n";
  if (Writes && !Leads)
    return "ERROR READONLY " + Id + "\r\n";
  Executed_.emplace_back(Id, Text);
  if (Writes && Of.State == "T")
    ++Of.Writes;
  else if (Writes)
    ++Index_;
  if (Text == "COMMIT") {
    Index_ += Of.Writes;
    Of.Writes = 0;
    Of.State = "I";
  }
  std::string Rows = Reads ? "DATAROW row\r\n" : "";
  return Rows + "COMPLETE sig-" + Id + "\r\n";
}

} // namespace nutmegloom::testing
