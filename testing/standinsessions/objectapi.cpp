#include "testing/standinsessions/objectapi.h"

namespace nutmegloom::testing {

using nlohmann::json;

static HttpResponse withStatus(int Status, std::string Body = "{}") {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = std::move(Body);
  return Response;
}

ObjectApi::ObjectApi(boost::asio::io_context &Io,
                     std::function<bool(const std::string &)> Promote)
    : Promote_(std::move(Promote)) {
  Server_ = HttpServer::create(
      Io, {}, [this](const HttpServerRequest &Request, auto Respond) {
        return serve(Request, std::move(Respond));
      });
  Address_ = std::get<std::string>(Server_->listen("127.0.0.1:0"));
}

json ObjectApi::shown(const std::string &Name, const Object &Shown) const {
  json Body;
  Body["meta"] = {{"Name", Name},
                  {"Revision", Shown.Revision},
                  {"Created", 1},
                  {"Finalizers", json::array()},
                  {"Deleting", false}};
  Body["spec"] = Shown.Content;
  Body["status"] = nullptr;
  return Body;
}

void ObjectApi::changed(const std::string &Kind, const std::string &Name,
                        bool Deleted) {
  ChangedAt_[Kind] = Revision_;
  json Body;
  Body["AsOf"] = Revision_;
  Body["events"] = {
      {{"Deleted", Deleted}, {"Object", shown(Name, Objects_[Kind][Name])}}};
  std::vector<Watch> Kept;
  for (Watch &Waiting : Watches_) {
    if (Waiting.Kind == Kind)
      Waiting.Respond(withStatus(200, Body.dump()));
    else
      Kept.push_back(std::move(Waiting));
  }
  Watches_ = std::move(Kept);
}

void ObjectApi::put(const std::string &Kind, const std::string &Name,
                    json Content) {
  Objects_[Kind][Name] = {std::move(Content), ++Revision_};
  changed(Kind, Name, false);
}

void ObjectApi::erase(const std::string &Kind, const std::string &Name) {
  ++Revision_;
  changed(Kind, Name, true);
  Objects_[Kind].erase(Name);
}

std::optional<json> ObjectApi::find(const std::string &Kind,
                                    const std::string &Name) const {
  auto Of = Objects_.find(Kind);
  if (Of == Objects_.end() || !Of->second.contains(Name))
    return std::nullopt;
  return Of->second.at(Name).Content;
}

void ObjectApi::dropHistory() {
  for (Watch &Waiting : Watches_)
    Waiting.Respond(withStatus(410));
  Watches_.clear();
}

HttpResponse ObjectApi::list(const std::string &Kind) const {
  json Body;
  Body["items"] = json::array();
  Body["More"] = false;
  Body["AsOf"] = Revision_;
  if (auto Of = Objects_.find(Kind); Of != Objects_.end())
    for (const auto &[Name, Held] : Of->second)
      Body["items"].push_back(shown(Name, Held));
  return withStatus(200, Body.dump());
}

HttpResponse ObjectApi::write(const std::string &Kind, std::string Name,
                              const std::string &Method,
                              const std::string &Body) {
  if (Method == "DELETE") {
    erase(Kind, Name);
    return withStatus(200);
  }
  json Given = json::parse(Body);
  if (Method == "POST")
    Name = Given["meta"]["Name"].get<std::string>();
  auto &Of = Objects_[Kind];
  bool Exists = Of.contains(Name);
  if (Method == "PUT" && !Exists)
    return withStatus(404);
  bool Expects = Given["meta"].contains("Revision");
  bool Differs =
      Exists && Expects && Given["meta"]["Revision"] != Of[Name].Revision;
  if ((Method == "POST" && Exists) || Differs)
    return withStatus(409, shown(Name, Of[Name]).dump());
  put(Kind, Name, Given["spec"]);
  return withStatus(200, shown(Name, Of[Name]).dump());
}

HttpResponse ObjectApi::promote(const std::string &Body) {
  ++Promotions_;
  bool Runs = Promote_(json::parse(Body)["Id"].get<std::string>());
  return withStatus(Runs ? 200 : 409);
}

std::function<void()> ObjectApi::serve(const HttpServerRequest &Request,
                                       HttpServer::Respond Respond) {
  std::string Target(Request.Target);
  std::string Method(Request.Method);
  const std::string Prefix = "/v1/objects/";
  if (Down_) {
    Respond(withStatus(503));
    return {};
  }
  if (Target == "/promotion") {
    Respond(promote(std::string(Request.Body)));
    return {};
  }
  if (!Target.starts_with(Prefix)) {
    Respond(withStatus(404));
    return {};
  }
  std::string Path =
      Target.substr(Prefix.size(), Target.find('?') - Prefix.size());
  std::string Kind = Path.substr(0, Path.find('/'));
  std::string Name =
      Path.size() > Kind.size() ? Path.substr(Kind.size() + 1) : "";
  std::size_t Since = Target.find("Watch=");
  if (Since != std::string::npos) {
    // A change since then is not kept: the client lists again.
    if (std::stoull(Target.substr(Since + 6)) < ChangedAt_[Kind])
      Respond(withStatus(410));
    else
      Watches_.push_back({Kind, std::move(Respond)});
    return {};
  }
  if (Method == "GET")
    Respond(list(Kind));
  else {
    HttpResponse Written = write(Kind, Name, Method, std::string(Request.Body));
    // A connection whose answer is lost carries nothing further.
    if (std::uniform_real_distribution<>(0, 1)(Random_) >= LostWrites_)
      Respond(std::move(Written));
  }
  return {};
}

} // namespace nutmegloom::testing
