#include "store.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace review {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr Milliseconds AnswerTime{4};
constexpr std::size_t PageSize = 500;
const std::string Prefix = "/v1/objects/";
/// Stands for unreadable bytes until a body is sent.
const std::string Placeholder = "unreadable-bytes";
const std::string UnreadableBytes = "\xff\xfe\x80\x81";

HttpReply replyWith(const json &Body) {
  std::string Text = Body.dump();
  for (std::size_t At = Text.find(Placeholder); At != std::string::npos;
       At = Text.find(Placeholder, At))
    Text.replace(At, Placeholder.size(), UnreadableBytes);
  return {200, std::move(Text)};
}

} // namespace

Store::Store(asio::io_context &Io, const asio::ip::tcp::endpoint &Address)
    : Changed_(Io, asio::steady_timer::time_point::max()),
      Server_(Io, Address, [this](HttpRequest Request) {
        return serve(std::move(Request));
      }) {}

json Store::encode(const std::string &Name, const Object &Stored) const {
  return {{"meta",
           {{"Name", Name},
            {"Revision", Stored.Revision},
            {"Created", 1},
            {"Finalizers", Stored.Finalizers},
            {"Deleting", false}}},
          {"spec", Stored.Spec},
          {"status", nullptr}};
}

void Store::addChange(const std::string &Kind, const std::string &Name,
                      bool Deleted) {
  Object &Stored = Objects_[Kind][Name];
  Stored.Revision = ++Revision_;
  Changes_.push_back(
      {Revision_,
       Kind,
       {{"Object", encode(Name, Stored)}, {"Deleted", Deleted}}});
  Changed_.cancel();
}

static json withoutSequence(json Spec) {
  if (Spec.is_object())
    Spec.erase("Sequence");
  return Spec;
}

void Store::put(const std::string &Kind, const std::string &Name, json Spec) {
  auto Known = Objects_[Kind].find(Name);
  bool Same = Known != Objects_[Kind].end() &&
              withoutSequence(Known->second.Spec) == withoutSequence(Spec);
  Objects_[Kind][Name].Spec = std::move(Spec);
  if (!Same)
    addChange(Kind, Name, false);
}

void Store::putUnreadable(const std::string &Kind, const std::string &Name) {
  put(Kind, Name, Placeholder);
}

void Store::erase(const std::string &Kind, const std::string &Name) {
  if (!Objects_[Kind].contains(Name))
    return;
  addChange(Kind, Name, true);
  Objects_[Kind].erase(Name);
}

json Store::specOf(const std::string &Kind, const std::string &Name) const {
  auto OfKind = Objects_.find(Kind);
  if (OfKind == Objects_.end() || !OfKind->second.contains(Name))
    return nullptr;
  return OfKind->second.at(Name).Spec;
}

HttpReply Store::list(const std::string &Kind, const std::string &After) const {
  json Body{{"items", json::array()}, {"More", false}, {"AsOf", Revision_}};
  if (auto OfKind = Objects_.find(Kind); OfKind != Objects_.end())
    for (const auto &[Name, Stored] : OfKind->second) {
      if (Name <= After && !After.empty())
        continue;
      if (Body["items"].size() == PageSize) {
        Body["More"] = true;
        break;
      }
      Body["items"].push_back(encode(Name, Stored));
    }
  return replyWith(Body);
}

asio::awaitable<HttpReply> Store::watch(std::string Kind, std::uint64_t From,
                                        Milliseconds Wait) {
  auto End = std::chrono::steady_clock::now() + Wait;
  while (true) {
    json Body{{"events", json::array()}, {"AsOf", Revision_}};
    for (const Change &Past : Changes_)
      if (Past.Revision > From && Past.Kind == Kind)
        Body["events"].push_back(Past.Event);
    bool Over = std::chrono::steady_clock::now() >= End;
    if (!Body["events"].empty() || Over)
      co_return replyWith(Body);
    asio::steady_timer Timer(Changed_.get_executor(), End);
    Timer.async_wait([this](auto Error) {
      if (!Error)
        Changed_.cancel();
    });
    boost::system::error_code Ignored;
    co_await Changed_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

HttpReply Store::write(const HttpRequest &Request, const std::string &Kind,
                       std::string Name) {
  json Body = Request.Body.empty() ? json::object() : json::parse(Request.Body);
  if (Request.Method == "POST")
    Name = Body["meta"]["Name"].get<std::string>();
  auto &OfKind = Objects_[Kind];
  bool Exists = OfKind.contains(Name);
  if (Request.Method == "POST" && Exists)
    return {409, encode(Name, OfKind[Name]).dump()};
  if (Request.Method != "POST" && !Exists)
    return {404, "{}"};
  json Expected = Body.contains("meta") && Body["meta"].contains("Revision")
                      ? Body["meta"]["Revision"]
                      : json();
  if (auto Given = Request.Query.find("Revision"); Given != Request.Query.end())
    Expected = std::stoull(Given->second);
  if (Exists && !Expected.is_null() && Expected != OfKind[Name].Revision)
    return {409, encode(Name, OfKind[Name]).dump()};
  if (Request.Method == "DELETE") {
    erase(Kind, Name);
    return {200, "{}"};
  }
  Object &Stored = OfKind[Name];
  bool Changes = !Exists || Stored.Spec != Body["spec"];
  Stored.Spec = Body["spec"];
  if (Changes)
    addChange(Kind, Name, false);
  return {200, encode(Name, Stored).dump()};
}

asio::awaitable<std::optional<HttpReply>> Store::serve(HttpRequest Request) {
  co_await pause(AnswerTime);
  if (!Request.Path.starts_with(Prefix))
    co_return HttpReply{404, "{}"};
  std::string Rest = Request.Path.substr(Prefix.size());
  std::string Kind = Rest.substr(0, Rest.find('/'));
  std::string Name =
      Rest.size() > Kind.size() ? Rest.substr(Kind.size() + 1) : "";
  if (Request.Method != "GET")
    co_return write(Request, Kind, Name);
  if (Request.Query.contains("Watch")) {
    Milliseconds Wait{0};
    if (Request.Query.contains("WaitMs"))
      Wait = Milliseconds{std::stoll(Request.Query["WaitMs"])};
    co_return co_await watch(Kind, std::stoull(Request.Query["Watch"]), Wait);
  }
  if (Name.empty())
    co_return list(Kind, Request.Query["after"]);
  if (!Objects_[Kind].contains(Name))
    co_return HttpReply{404, "{}"};
  co_return HttpReply{200, encode(Name, Objects_[Kind][Name]).dump()};
}

} // namespace review
