#include "testing/standinsessions/objectapi.h"

namespace nutmegloom::testing {

using nlohmann::json;

static HttpResponse makeResponse(int Status, std::string Body = "{}") {
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

std::string ObjectApi::encodeObject(const std::string &Name,
                                    const Object &Encoded) {
  json Meta = {{"Name", Name},
               {"Revision", Encoded.Revision},
               {"Created", 1},
               {"Finalizers", json::array()},
               {"Deleting", false}};
  return R"({"meta":)" + Meta.dump() + R"(,"spec":)" + Encoded.Content +
         R"(,"status":null})";
}

void ObjectApi::notifyWatches(const std::string &Kind, const std::string &Name,
                              bool Deleted) {
  LastChanges_[Kind] = Revision_;
  std::string Body = R"({"AsOf":)" + std::to_string(Revision_) +
                     R"(,"events":[{"Deleted":)" +
                     (Deleted ? "true" : "false") + R"(,"Object":)" +
                     encodeObject(Name, Objects_[Kind][Name]) + "}]}";
  std::vector<Watch> Kept;
  for (Watch &Pending : Watches_) {
    if (Pending.Kind == Kind)
      Pending.Respond(makeResponse(200, Body));
    else
      Kept.push_back(std::move(Pending));
  }
  Watches_ = std::move(Kept);
}

void ObjectApi::put(const std::string &Kind, const std::string &Name,
                    const json &Content) {
  putText(Kind, Name, Content.dump());
}

void ObjectApi::putText(const std::string &Kind, const std::string &Name,
                        std::string Content) {
  Objects_[Kind][Name] = {std::move(Content), ++Revision_};
  notifyWatches(Kind, Name, false);
}

void ObjectApi::erase(const std::string &Kind, const std::string &Name) {
  ++Revision_;
  notifyWatches(Kind, Name, true);
  Objects_[Kind].erase(Name);
}

std::optional<json> ObjectApi::find(const std::string &Kind,
                                    const std::string &Name) const {
  auto ObjectsOfKind = Objects_.find(Kind);
  if (ObjectsOfKind == Objects_.end() || !ObjectsOfKind->second.contains(Name))
    return std::nullopt;
  return json::parse(ObjectsOfKind->second.at(Name).Content);
}

void ObjectApi::dropHistory() {
  for (Watch &Pending : Watches_)
    Pending.Respond(makeResponse(410));
  Watches_.clear();
}

HttpResponse ObjectApi::list(const std::string &Kind) const {
  std::string Items;
  if (auto ObjectsOfKind = Objects_.find(Kind); ObjectsOfKind != Objects_.end())
    for (const auto &[Name, Stored] : ObjectsOfKind->second)
      Items += (Items.empty() ? "" : ",") + encodeObject(Name, Stored);
  return makeResponse(200, R"({"AsOf":)" + std::to_string(Revision_) +
                               R"(,"More":false,"items":[)" + Items + "]}");
}

HttpResponse ObjectApi::write(const std::string &Kind, std::string Name,
                              const std::string &Method,
                              const std::string &Body) {
  if (Method == "DELETE") {
    erase(Kind, Name);
    return makeResponse(200);
  }
  json Received = json::parse(Body);
  if (Method == "POST")
    Name = Received["meta"]["Name"].get<std::string>();
  auto &ObjectsOfKind = Objects_[Kind];
  bool Exists = ObjectsOfKind.contains(Name);
  if (Method == "PUT" && !Exists)
    return makeResponse(404);
  bool HasExpectedRevision = Received["meta"].contains("Revision");
  bool IsConflict =
      Exists && HasExpectedRevision &&
      Received["meta"]["Revision"] != ObjectsOfKind[Name].Revision;
  if ((Method == "POST" && Exists) || IsConflict)
    return makeResponse(409, encodeObject(Name, ObjectsOfKind[Name]));
  put(Kind, Name, Received["spec"]);
  return makeResponse(200, encodeObject(Name, ObjectsOfKind[Name]));
}

HttpResponse ObjectApi::promote(const std::string &Body) {
  ++Promotions_;
  bool Succeeded = Promote_(json::parse(Body)["Id"].get<std::string>());
  return makeResponse(Succeeded ? 200 : 409);
}

std::function<void()> ObjectApi::serve(const HttpServerRequest &Request,
                                       HttpServer::Respond Respond) {
  std::string Target(Request.Target);
  std::string Method(Request.Method);
  const std::string Prefix = "/v1/objects/";
  if (Down_) {
    Respond(makeResponse(503));
    return {};
  }
  if (Target == "/promotion") {
    Respond(promote(std::string(Request.Body)));
    return {};
  }
  if (!Target.starts_with(Prefix)) {
    Respond(makeResponse(404));
    return {};
  }
  std::string Path =
      Target.substr(Prefix.size(), Target.find('?') - Prefix.size());
  std::string Kind = Path.substr(0, Path.find('/'));
  std::string Name =
      Path.size() > Kind.size() ? Path.substr(Kind.size() + 1) : "";
  std::size_t Since = Target.find("Watch=");
  if (Since != std::string::npos) {
    // No history is kept, so a client that missed a change has to list again.
    if (std::stoull(Target.substr(Since + 6)) < LastChanges_[Kind])
      Respond(makeResponse(410));
    else
      Watches_.push_back({Kind, std::move(Respond)});
    return {};
  }
  if (Method == "GET")
    Respond(list(Kind));
  else {
    HttpResponse Written = write(Kind, Name, Method, std::string(Request.Body));
    // Without the response, the connection carries no further requests.
    if (std::uniform_real_distribution<>(0, 1)(Random_) >=
        UnansweredWriteShare_)
      Respond(std::move(Written));
  }
  return {};
}

} // namespace nutmegloom::testing
