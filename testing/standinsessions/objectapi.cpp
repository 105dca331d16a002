#include "testing/standinsessions/objectapi.h"

namespace nutmegloom::testing {

using nlohmann::json;

ObjectApi::ObjectApi(boost::asio::io_context &Io,
                     std::function<bool(const std::string &)> Promote)
    : Promote_(std::move(Promote)) {
  Server_ = HttpServer::create(
      Io, {}, [this](const HttpServerRequest &Request, auto Respond) {
        return serve(Request, std::move(Respond));
      });
  Address_ = std::get<std::string>(Server_->listen("127.0.0.1:0"));
}

HttpResponse ObjectApi::answer(int Status, std::string Body) const {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.emplace_back("Store-Era", std::to_string(Era_));
  Response.Body = std::move(Body);
  return Response;
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
  Present_.LastChanges[Kind] = Present_.Revision;
  std::string Body = R"({"AsOf":)" + std::to_string(Present_.Revision) +
                     R"(,"events":[{"Deleted":)" +
                     (Deleted ? "true" : "false") + R"(,"Object":)" +
                     encodeObject(Name, Present_.Objects[Kind][Name]) + "}]}";
  std::vector<Watch> Kept;
  for (Watch &Pending : Watches_) {
    if (Pending.Kind == Kind)
      Pending.Respond(answer(200, Body));
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
  Present_.Objects[Kind][Name] = {std::move(Content), ++Present_.Revision};
  notifyWatches(Kind, Name, false);
}

void ObjectApi::erase(const std::string &Kind, const std::string &Name) {
  if (!Present_.Objects[Kind].contains(Name))
    return;
  ++Present_.Revision;
  notifyWatches(Kind, Name, true);
  Present_.Objects[Kind].erase(Name);
}

std::optional<json> ObjectApi::find(const std::string &Kind,
                                    const std::string &Name) const {
  auto ObjectsOfKind = Present_.Objects.find(Kind);
  if (ObjectsOfKind == Present_.Objects.end() ||
      !ObjectsOfKind->second.contains(Name))
    return std::nullopt;
  return json::parse(ObjectsOfKind->second.at(Name).Content);
}

void ObjectApi::answerWatches(int Status) {
  for (Watch &Pending : Watches_)
    Pending.Respond(answer(Status));
  Watches_.clear();
}

void ObjectApi::dropHistory() { answerWatches(410); }

void ObjectApi::copy() { Copy_ = Present_; }

void ObjectApi::restore() {
  answerWatches(503);
  Present_ = Copy_;
  ++Era_;
}

HttpResponse ObjectApi::list(const std::string &Kind) const {
  std::string Items;
  if (auto ObjectsOfKind = Present_.Objects.find(Kind);
      ObjectsOfKind != Present_.Objects.end())
    for (const auto &[Name, Stored] : ObjectsOfKind->second)
      Items += (Items.empty() ? "" : ",") + encodeObject(Name, Stored);
  return answer(200, R"({"AsOf":)" + std::to_string(Present_.Revision) +
                         R"(,"More":false,"items":[)" + Items + "]}");
}

HttpResponse ObjectApi::write(const std::string &Kind, std::string Name,
                              const std::string &Method,
                              const std::string &Body) {
  if (Method == "DELETE") {
    erase(Kind, Name);
    return answer(200);
  }
  json Received = json::parse(Body);
  if (Method == "POST")
    Name = Received["meta"]["Name"].get<std::string>();
  auto &ObjectsOfKind = Present_.Objects[Kind];
  bool Exists = ObjectsOfKind.contains(Name);
  if (Method == "PUT" && !Exists)
    return answer(404);
  bool HasExpectedRevision = Received["meta"].contains("Revision");
  bool IsConflict =
      Exists && HasExpectedRevision &&
      Received["meta"]["Revision"] != ObjectsOfKind[Name].Revision;
  if ((Method == "POST" && Exists) || IsConflict)
    return answer(409, encodeObject(Name, ObjectsOfKind[Name]));
  put(Kind, Name, Received["spec"]);
  return answer(200, encodeObject(Name, ObjectsOfKind[Name]));
}

HttpResponse ObjectApi::promote(const std::string &Body) {
  ++Promotions_;
  bool Succeeded = Promote_(json::parse(Body)["Id"].get<std::string>());
  return answer(Succeeded ? 200 : 409);
}

std::function<void()> ObjectApi::serve(const HttpServerRequest &Request,
                                       HttpServer::Respond Respond) {
  std::string Target(Request.Target);
  std::string Method(Request.Method);
  const std::string Prefix = "/v1/objects/";
  if (Down_) {
    Respond(answer(503));
    return {};
  }
  if (Target == "/promotion") {
    Respond(promote(std::string(Request.Body)));
    return {};
  }
  if (!Target.starts_with(Prefix)) {
    Respond(answer(404));
    return {};
  }
  std::string Path =
      Target.substr(Prefix.size(), Target.find('?') - Prefix.size());
  std::string Kind = Path.substr(0, Path.find('/'));
  std::string Name =
      Path.size() > Kind.size() ? Path.substr(Kind.size() + 1) : "";
  std::size_t Since = Target.find("Watch=");
  if (Since != std::string::npos) {
    // No history is kept, so a client that missed a change has to list again,
    // and so has one that names a revision that was not given out.
    std::uint64_t Seen = std::stoull(Target.substr(Since + 6));
    if (Seen < Present_.LastChanges[Kind] || Seen > Present_.Revision)
      Respond(answer(410));
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
