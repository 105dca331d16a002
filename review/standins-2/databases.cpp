#include "databases.h"

#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr Milliseconds StartTimeout{10000};
constexpr Milliseconds SessionTimeout{120000};
constexpr Milliseconds PromotionTime{600};
/// The former primary learns of the new one after this time.
constexpr Milliseconds DemotionTime{1000};

std::string takeWord(std::string &Rest) {
  std::size_t End = std::min(Rest.find(' '), Rest.size());
  std::string Word = Rest.substr(0, End);
  Rest.erase(0, End + 1);
  return Word;
}

} // namespace

Databases::Databases(Store &Registry, Settings Given,
                     std::function<double()> Seconds)
    : Registry_(Registry), Given_(std::move(Given)),
      Seconds_(std::move(Seconds)) {
  std::lock_guard Lock(Mutex_);
  for (const std::string &Id : Given_.Ids) {
    Member &Created = Members_[Id];
    Created.Leads = Id == Given_.Ids.front();
    Created.Log.push_back({1, 1, "first", "data"});
    Created.Port = std::make_unique<Listener>(
        Given_.Ip, [this, Id](const std::shared_ptr<Socket> &Connection) {
          serve(Id, Connection);
        });
  }
  writeEntries();
}

void Databases::writeEntries() {
  std::lock_guard Lock(Mutex_);
  for (const std::string &Id : Given_.Ids)
    if (Members_[Id].Up)
      writeEntry(Id);
}

void Databases::writeEntry(const std::string &Id) {
  const Member &Known = Members_[Id];
  Registry_.put("servers", Id,
                {{"Service", Given_.Service},
                 {"Address", Known.Port->address()},
                 {"Zone", Given_.Zone},
                 {"Version", "1"},
                 {"Slots", Given_.Slots},
                 {"State", Known.Draining ? "draining" : "ready"},
                 {"ColdRemainingMs", 0},
                 {"DatabaseRole", Known.Leads ? "primary" : "replica"},
                 {"born", 1700000000000}});
}

std::string Databases::positionOf(const Member &Known) const {
  const Entry &Last = Known.Log.back();
  return std::to_string(Last.Term) + "." + std::to_string(Last.Index);
}

std::string Databases::primary() {
  std::lock_guard Lock(Mutex_);
  const std::string *Newest = nullptr;
  for (const auto &[Id, Known] : Members_)
    if (Known.Leads && Known.Up &&
        (!Newest || Members_[*Newest].Term < Known.Term))
      Newest = &Id;
  return Newest ? *Newest : "";
}

std::string Databases::committed(const std::string &Item) {
  std::lock_guard Lock(Mutex_);
  std::string Data;
  for (const Entry &Logged : Members_[primary()].Log)
    if (Logged.Item == Item)
      Data = Logged.Data;
  return Data;
}

std::string Databases::replica() {
  std::lock_guard Lock(Mutex_);
  for (const auto &[Id, Known] : Members_)
    if (!Known.Leads && Known.Up && !Known.Draining)
      return Id;
  return "";
}

std::vector<ReceivedStatement> Databases::received() {
  std::lock_guard Lock(Mutex_);
  return Received_;
}

std::vector<PromotionCall> Databases::promotions() {
  std::lock_guard Lock(Mutex_);
  return Promotions_;
}

void Databases::drain(const std::string &Id) {
  std::lock_guard Lock(Mutex_);
  Members_[Id].Draining = true;
  writeEntry(Id);
}

void Databases::stop(const std::string &Id) {
  std::lock_guard Lock(Mutex_);
  Member &Stopped = Members_[Id];
  Stopped.Up = false;
  Stopped.Port->close();
  for (const auto &Connection : Stopped.Connections)
    Connection->shutdown();
  Registry_.erase("servers", Id);
}

void Databases::serve(const std::string &Id,
                      const std::shared_ptr<Socket> &Connection) {
  std::optional<std::string> First =
      Connection->readUntil("\r\n", StartTimeout);
  if (!First)
    return;
  std::string Rest = *First;
  takeWord(Rest);
  std::string Service = takeWord(Rest);
  takeWord(Rest);
  if (Service != Given_.Service || (!Rest.empty() && Rest != Id)) {
    Connection->send("ERROR WRONGNODE " + Id + "\r\n");
    return;
  }
  std::string Ready;
  {
    std::lock_guard Lock(Mutex_);
    Members_[Id].Connections.push_back(Connection);
    Ready = "READY I " + positionOf(Members_[Id]) + "\r\n";
  }
  if (!Connection->send(Ready))
    return;
  Session Caller;
  Caller.Number = ++Sessions_;
  while (auto Line = Connection->readUntil("\r\n", SessionTimeout)) {
    std::string Text = *Line;
    if (takeWord(Text) != "QUERY")
      break;
    std::string Statement = takeWord(Text);
    std::string Answer = answer(Id, Caller, Statement, Text);
    if (!Connection->send(Answer))
      break;
  }
  std::lock_guard Lock(Mutex_);
  std::erase(Members_[Id].Connections, Connection);
}

std::string Databases::answer(const std::string &Id, Session &Caller,
                              const std::string &Statement, std::string Text) {
  bool IsClients = Statement != "-";
  if (IsClients) {
    std::lock_guard Lock(Mutex_);
    Received_.push_back(
        {Seconds_(), Id, Statement, Text, Caller.Number, Caller.State == "T"});
  }
  if (IsClients)
    std::this_thread::sleep_for(Given_.Work);
  std::lock_guard Lock(Mutex_);
  std::string Result = runStatement(Id, Caller, std::move(Text));
  return Result + "READY " + Caller.State + " " + positionOf(Members_[Id]) +
         "\r\n";
}

std::string Databases::status(const std::string &Id) {
  const Member &Known = Members_[Id];
  return "DATAROW " + std::string(Known.Leads ? "primary " : "replica ") +
         std::to_string(Known.Term) + " " + positionOf(Known) + " " +
         std::to_string(Known.PausedTerm) + " 0 " + std::to_string(Known.Busy) +
         " " + std::to_string(Known.Connections.size()) + "\r\nCOMPLETE -\r\n";
}

std::string Databases::runControl(const std::string &Id, Session &Caller,
                                  const std::string &Text) {
  Member &Known = Members_[Id];
  std::string Rest = Text;
  std::string Word = takeWord(Rest);
  if (Word == "STATUS")
    return status(Id);
  if (Word == "PAUSE") {
    if (!Known.Leads && std::stoull(Rest) > Known.Term)
      Known.PausedTerm = std::stoull(Rest);
    return status(Id);
  }
  if (Word == "RESUME") {
    Known.PausedTerm = 0;
    return status(Id);
  }
  if (Word == "STEPDOWN") {
    if (Known.Leads && Known.Term < std::stoull(Rest)) {
      Known.Leads = false;
      writeEntry(Id);
    }
    return status(Id);
  }
  if (Word == "BEGIN") {
    Caller.ReadOnly = Rest == "READ";
    if (!Caller.ReadOnly && !Known.Leads)
      return "ERROR READONLY " + Id + "\r\n";
    Caller.State = "T";
    Caller.BegunTerm = Known.Term;
    Caller.Writes.clear();
  }
  if (Word == "ROLLBACK") {
    Caller.State = "I";
    Caller.Writes.clear();
  }
  if (Word == "RESET")
    Caller.Prepared.clear();
  if (Word == "PREPARE") {
    std::string Name = takeWord(Rest);
    std::string Access = takeWord(Rest);
    Caller.Prepared[Name] = {Access == "WRITE", Rest};
  }
  return "COMPLETE -\r\n";
}

void Databases::commit(const std::string &Id, Session &Caller) {
  Member &Leader = Members_[Id];
  for (const auto &[Item, Data] : Caller.Writes) {
    Entry Next{Leader.Term, Leader.Log.back().Index + 1, Item, Data};
    Leader.Log.push_back(Next);
    for (auto &[Other, Known] : Members_)
      if (Other != Id && Known.Up && !Known.Leads && Known.PausedTerm == 0 &&
          Known.Term <= Leader.Term)
        Known.Log.push_back(Next);
  }
  Caller.Writes.clear();
}

std::string Databases::runStatement(const std::string &Id, Session &Caller,
                                    std::string Text) {
  Member &Known = Members_[Id];
  if (Text.starts_with("WAITFOR ")) {
    takeWord(Text);
    std::string Position = takeWord(Text);
    std::uint64_t Term = std::stoull(Position);
    std::uint64_t Index = std::stoull(Position.substr(Position.find('.') + 1));
    const Entry &Last = Known.Log.back();
    if (std::pair(Last.Term, Last.Index) < std::pair(Term, Index))
      return "ERROR LAGGING " + Id + "\r\n";
  }
  std::string Rest = Text;
  std::string Word = takeWord(Rest);
  bool Writes = Word == "WRITE";
  bool Reads = Word == "READ";
  if (Word == "EXECUTE") {
    std::string Name = takeWord(Rest);
    auto Found = Caller.Prepared.find(Name);
    if (Found == Caller.Prepared.end())
      return "ERROR NOSUCHNAME " + Name + "\r\n";
    Writes = Found->second.first;
    Reads = !Writes;
  }
  if (!Writes && !Reads && Word != "COMMIT")
    return runControl(Id, Caller, Text);
  bool HasLost = Caller.State == "T" && !Caller.ReadOnly &&
                 (!Known.Leads || Known.Term != Caller.BegunTerm);
  if ((Writes && !Known.Leads) || HasLost) {
    Caller.State = Caller.State == "T" && Word != "COMMIT" ? "E" : "I";
    Caller.Writes.clear();
    return "ERROR READONLY " + Id + "\r\n";
  }
  std::string Item = takeWord(Rest);
  std::string Rows;
  if (Writes)
    Caller.Writes.emplace_back(Item, Rest);
  if (Reads) {
    std::string Data;
    for (const Entry &Logged : Known.Log)
      if (Logged.Item == Item)
        Data = Logged.Data;
    Rows = "DATAROW " + (Data.empty() ? "none" : Data) + "\r\n";
  }
  if (Word == "COMMIT" || (Writes && Caller.State == "I"))
    commit(Id, Caller);
  if (Word == "COMMIT")
    Caller.State = "I";
  return Rows + "COMPLETE " + Id + "." + std::to_string(++Signatures_) + "\r\n";
}

std::shared_ptr<Store::Entrance>
Databases::openPromotions(const std::string &Ip) {
  auto Opened = std::make_shared<Store::Entrance>();
  Opened->Port = std::make_unique<Listener>(
      Ip, [this, Opened](const std::shared_ptr<Socket> &Connection) {
        serveHttp(
            Connection,
            [this](const HttpRequest &Request) { return promote(Request); },
            [Opened] { return Opened->Cut.load(); },
            [] { return std::string(); },
            [this](const HttpRequest &Request) {
              if (OnRequest_)
                OnRequest_(Request);
            });
      });
  return Opened;
}

HttpResponse Databases::promote(const HttpRequest &Request) {
  json Body = json::parse(Request.Body);
  std::string Id = Body["Id"];
  std::lock_guard Lock(Mutex_);
  Promotions_.push_back({Seconds_(), Request.Headers.at("lease-holder"),
                         std::stoull(Request.Headers.at("fencing-token")),
                         Body["Service"], Id});
  auto Found = Members_.find(Id);
  if (Found == Members_.end() || !Found->second.Up)
    return {409, "{}"};
  if (primary() != Id)
    std::thread([this, Id] { takeOver(Id); }).detach();
  return {};
}

void Databases::takeOver(const std::string &Id) {
  std::this_thread::sleep_for(PromotionTime);
  {
    std::lock_guard Lock(Mutex_);
    Member &Next = Members_[Id];
    if (!Next.Up || Next.Leads)
      return;
    std::uint64_t Newest = 0;
    for (const auto &[Other, Known] : Members_)
      Newest = std::max(Newest, Known.Term);
    Next.Term = Newest + 1;
    Next.Leads = true;
    Next.PausedTerm = 0;
    Next.Log.push_back({Next.Term, Next.Log.back().Index + 1, "-", "-"});
    for (auto &[Other, Known] : Members_)
      if (Other != Id && !Known.Leads) {
        Known.Term = Next.Term;
        Known.Log = Next.Log;
        Known.PausedTerm = 0;
      }
    writeEntry(Id);
  }
  std::this_thread::sleep_for(DemotionTime);
  std::lock_guard Lock(Mutex_);
  for (auto &[Other, Known] : Members_) {
    if (Other == Id || !Known.Leads || Known.Term >= Members_[Id].Term)
      continue;
    Known.Leads = false;
    Known.Term = Members_[Id].Term;
    Known.Log = Members_[Id].Log;
    if (Known.Up)
      writeEntry(Other);
  }
}

} // namespace review
