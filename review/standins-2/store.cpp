#include "store.h"

#include <strings.h>

#include <algorithm>
#include <thread>

namespace review {

namespace {

constexpr Milliseconds IdleTimeout{120000};
constexpr Milliseconds BodyTimeout{10000};
constexpr Milliseconds CutPollInterval{5};
const std::string ObjectsPath = "/v1/objects/";

std::string decodePercent(const std::string &Text) {
  std::string Decoded;
  for (std::size_t At = 0; At < Text.size(); ++At) {
    if (Text[At] != '%' || At + 2 >= Text.size()) {
      Decoded += Text[At];
      continue;
    }
    Decoded +=
        static_cast<char>(std::stoi(Text.substr(At + 1, 2), nullptr, 16));
    At += 2;
  }
  return Decoded;
}

void readTarget(const std::string &Target, HttpRequest &Request) {
  std::size_t Mark = Target.find('?');
  Request.Path = decodePercent(Target.substr(0, Mark));
  if (Mark == std::string::npos)
    return;
  std::string Rest = Target.substr(Mark + 1);
  while (!Rest.empty()) {
    std::size_t End = std::min(Rest.find('&'), Rest.size());
    std::string Part = Rest.substr(0, End);
    Rest.erase(0, End + 1);
    std::size_t Equals = std::min(Part.find('='), Part.size());
    Request.Query[Part.substr(0, Equals)] =
        Equals < Part.size() ? decodePercent(Part.substr(Equals + 1)) : "";
  }
}

std::optional<HttpRequest> readRequest(Socket &Connection) {
  std::optional<std::string> Head =
      Connection.readUntil("\r\n\r\n", IdleTimeout);
  if (!Head)
    return std::nullopt;
  HttpRequest Request;
  std::size_t LineEnd = std::min(Head->find("\r\n"), Head->size());
  std::string First = Head->substr(0, LineEnd);
  std::size_t Blank = First.find(' ');
  std::size_t Second = First.find(' ', Blank + 1);
  Request.Method = First.substr(0, Blank);
  readTarget(First.substr(Blank + 1, Second - Blank - 1), Request);
  while (LineEnd < Head->size()) {
    std::size_t Begin = LineEnd + 2;
    LineEnd = std::min(Head->find("\r\n", Begin), Head->size());
    std::string Line = Head->substr(Begin, LineEnd - Begin);
    std::size_t Colon = Line.find(':');
    if (Colon == std::string::npos)
      continue;
    std::string Name = Line.substr(0, Colon);
    std::transform(Name.begin(), Name.end(), Name.begin(), ::tolower);
    std::size_t Value = Line.find_first_not_of(' ', Colon + 1);
    Request.Headers[Name] =
        Value == std::string::npos ? "" : Line.substr(Value);
  }
  if (Request.Headers.contains("content-length")) {
    std::size_t Length = std::stoull(Request.Headers["content-length"]);
    std::optional<std::string> Body = Connection.readBytes(Length, BodyTimeout);
    if (!Body)
      return std::nullopt;
    Request.Body = *Body;
  }
  return Request;
}

void waitWhile(const std::function<bool()> &IsCut) {
  while (IsCut())
    std::this_thread::sleep_for(CutPollInterval);
}

} // namespace

void serveHttp(const std::shared_ptr<Socket> &Connection,
               const HttpHandler &Handler, const std::function<bool()> &IsCut,
               const std::function<std::string()> &Headers,
               const std::function<void(const HttpRequest &)> &OnRequest) {
  while (std::optional<HttpRequest> Request = readRequest(*Connection)) {
    if (OnRequest)
      OnRequest(*Request);
    waitWhile(IsCut);
    // The bytes of a connection that its sender has reset are lost.
    if (Connection->isReset())
      return;
    HttpResponse Response = Handler(*Request);
    waitWhile(IsCut);
    std::string Text =
        "HTTP/1.1 " + std::to_string(Response.Status) +
        " Status\r\nContent-Type: application/json\r\n" + Headers() +
        "Content-Length: " + std::to_string(Response.Body.size()) + "\r\n\r\n" +
        Response.Body;
    if (!Connection->send(Text))
      return;
  }
}

std::shared_ptr<Store::Entrance> Store::open(const std::string &Ip) {
  auto Opened = std::make_shared<Entrance>();
  Opened->Port = std::make_unique<Listener>(
      Ip, [this, Opened](const std::shared_ptr<Socket> &Connection) {
        serveHttp(
            Connection,
            [this](const HttpRequest &Request) { return handle(Request); },
            [Opened] { return Opened->Cut.load(); },
            [this] {
              std::lock_guard Lock(Mutex_);
              return "Store-Era: " + std::to_string(Era_) + "\r\n";
            });
      });
  return Opened;
}

json Store::encode(const std::string &Name, const Object &Stored) {
  return {{"meta",
           {{"Name", Name},
            {"Revision", Stored.Revision},
            {"Created", 1},
            {"Finalizers", Stored.Finalizers},
            {"Deleting", false}}},
          {"spec", Stored.Spec},
          {"status", nullptr}};
}

std::uint64_t Store::replace(const std::string &Kind, const std::string &Name,
                             const json &Spec, const json &Finalizers) {
  Object &Stored = Present_.Objects[Kind][Name];
  // A write that changes nothing does not increase the revision.
  if (Stored.Revision != 0 && Stored.Spec == Spec &&
      Stored.Finalizers == Finalizers)
    return Stored.Revision;
  Stored.Spec = Spec;
  Stored.Finalizers = Finalizers;
  Stored.Revision = ++Present_.Revision;
  Present_.History.push_back(
      {Stored.Revision,
       Kind,
       {{"Object", encode(Name, Stored)}, {"Deleted", false}}});
  Changed_.notify_all();
  return Stored.Revision;
}

void Store::remove(const std::string &Kind, const std::string &Name) {
  auto &OfKind = Present_.Objects[Kind];
  auto Found = OfKind.find(Name);
  if (Found == OfKind.end())
    return;
  Found->second.Revision = ++Present_.Revision;
  Present_.History.push_back(
      {Present_.Revision,
       Kind,
       {{"Object", encode(Name, Found->second)}, {"Deleted", true}}});
  OfKind.erase(Found);
  Changed_.notify_all();
}

std::uint64_t Store::put(const std::string &Kind, const std::string &Name,
                         const json &Spec) {
  std::lock_guard Lock(Mutex_);
  return replace(Kind, Name, Spec, json::array());
}

void Store::erase(const std::string &Kind, const std::string &Name) {
  std::lock_guard Lock(Mutex_);
  remove(Kind, Name);
}

json Store::find(const std::string &Kind, const std::string &Name) {
  std::lock_guard Lock(Mutex_);
  auto &OfKind = Present_.Objects[Kind];
  auto Found = OfKind.find(Name);
  return Found == OfKind.end() ? json() : Found->second.Spec;
}

std::uint64_t Store::revision() {
  std::lock_guard Lock(Mutex_);
  return Present_.Revision;
}

void Store::copy() {
  std::lock_guard Lock(Mutex_);
  Copy_ = Present_;
}

void Store::goAway() {
  std::lock_guard Lock(Mutex_);
  Away_ = true;
  Changed_.notify_all();
}

void Store::comeBackFromCopy() {
  std::lock_guard Lock(Mutex_);
  Present_ = Copy_;
  ++Era_;
  Away_ = false;
}

HttpResponse Store::list(const std::string &Kind) const {
  json Items = json::array();
  if (auto OfKind = Present_.Objects.find(Kind);
      OfKind != Present_.Objects.end())
    for (const auto &[Name, Stored] : OfKind->second)
      Items.push_back(encode(Name, Stored));
  json Body{{"items", Items}, {"More", false}, {"AsOf", Present_.Revision}};
  return {200, Body.dump()};
}

HttpResponse Store::watch(const std::string &Kind, const HttpRequest &Request,
                          std::unique_lock<std::mutex> &Lock) {
  std::uint64_t Since = std::stoull(Request.Query.at("Watch"));
  auto Wait = Request.Query.find("WaitMs");
  Milliseconds Limit{Wait == Request.Query.end() ? 30000
                                                 : std::stoll(Wait->second)};
  Clock::time_point Until = Clock::now() + Limit;
  std::uint64_t Era = Era_;
  json Events = json::array();
  while (true) {
    if (Away_ || Era_ != Era)
      return {503, "{}"};
    // A watch from a revision that the store does not have.
    if (Since > Present_.Revision)
      return {410, "{}"};
    for (const Event &Happened : Present_.History)
      if (Happened.Revision > Since && Happened.Kind == Kind)
        Events.push_back(Happened.Encoded);
    if (!Events.empty() || Clock::now() >= Until)
      break;
    Changed_.wait_until(Lock, Until);
  }
  json Body{{"events", Events}, {"AsOf", Present_.Revision}};
  return {200, Body.dump()};
}

HttpResponse Store::write(const std::string &Kind, const std::string &Path,
                          const HttpRequest &Request) {
  auto &OfKind = Present_.Objects[Kind];
  if (Request.Method == "DELETE") {
    remove(Kind, Path);
    return {};
  }
  json Body = json::parse(Request.Body);
  std::string Name =
      Request.Method == "POST" ? Body["meta"]["Name"].get<std::string>() : Path;
  auto Found = OfKind.find(Name);
  bool Exists = Found != OfKind.end();
  if (Request.Method == "PUT" && !Exists)
    return {404, "{}"};
  bool Differs = Exists && Body["meta"].contains("Revision") &&
                 Body["meta"]["Revision"] != Found->second.Revision;
  if ((Request.Method == "POST" && Exists) || Differs)
    return {409, encode(Name, Found->second).dump()};
  replace(Kind, Name, Body["spec"],
          Body["meta"].value("Finalizers", json::array()));
  return {200, encode(Name, OfKind.at(Name)).dump()};
}

HttpResponse Store::handle(const HttpRequest &Request) {
  std::unique_lock Lock(Mutex_);
  if (Away_)
    return {503, "{}"};
  if (!Request.Path.starts_with(ObjectsPath))
    return {404, "{}"};
  std::string Rest = Request.Path.substr(ObjectsPath.size());
  std::size_t Slash = std::min(Rest.find('/'), Rest.size());
  std::string Kind = Rest.substr(0, Slash);
  std::string Name = Slash < Rest.size() ? Rest.substr(Slash + 1) : "";
  if (Request.Method != "GET")
    return write(Kind, Name, Request);
  if (Request.Query.contains("Watch"))
    return watch(Kind, Request, Lock);
  if (Name.empty())
    return list(Kind);
  auto &OfKind = Present_.Objects[Kind];
  auto Found = OfKind.find(Name);
  if (Found == OfKind.end())
    return {404, "{}"};
  return {200, encode(Name, Found->second).dump()};
}

} // namespace review
