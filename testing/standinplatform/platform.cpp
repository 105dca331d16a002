#include "testing/standinplatform/platform.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace nutmegloom::testing {

using nlohmann::json;

static constexpr std::size_t MaximumValueBytes = 1024UL * 1024;
static const std::string ObjectPrefix = "/v1/objects/";
static const std::string WatchPrefix = "/v1/watch/";

Platform::Platform(boost::asio::io_context &Io, const std::string &Address)
    : Io_(Io), Hosts_(json{{"version", 0}, {"hosts", json::array()}}.dump()) {
  HttpServer::Options Functions;
  Functions.OnCall = [this](const HttpCall &Call) { onCall(Call); };
  Server_ = makeHttpServer(Io, Address, std::move(Functions));
}

void Platform::onCall(const HttpCall &Call) {
  if (Call.Path == "/faults")
    return setFaults(Call);
  if (Call.Path == "/counters")
    return Call.respond(200, json(Counters_).dump());
  if (Call.Path == "/hosts" && Call.Method == "PUT")
    return setHosts(Call);

  ++Counters_["calls"];
  if (Outage_) {
    ++Counters_["refused_calls"];
    Call.Session->leaveUnanswered();
    return;
  }
  afterDelay([this, Call] {
    if (Call.Path.starts_with(ObjectPrefix)) {
      const std::string Name = Call.Path.substr(ObjectPrefix.size());
      if (Call.Method == "GET")
        return getObject(Call, Name);
      if (Call.Method == "PUT")
        return putObject(Call, Name);
    }
    if (Call.Path.starts_with(WatchPrefix))
      return watchObject(Call, Call.Path.substr(WatchPrefix.size()));
    if (Call.Path == "/v1/hosts") {
      ++Counters_["host_list_calls"];
      return finish(Call, {200, Hosts_, {}, false});
    }
    finish(Call, {404, R"({"error":"not_found"})", {}, false});
  });
}

/// Accepts a call's answer, unless the store went away in the meantime.
void Platform::finish(const HttpCall &Call, const HttpReply &Reply) {
  if (Outage_)
    Call.Session->leaveUnanswered();
  else
    Call.Session->respond(Reply);
}

void Platform::afterDelay(std::function<void()> Work) {
  if (Delay_.count() == 0) {
    Work();
    return;
  }
  const auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Delay_);
  Timer->async_wait([Timer, Work = std::move(Work)](
                        const boost::system::error_code &) { Work(); });
}

static std::string quote(std::uint64_t Version) {
  return "\"" + std::to_string(Version) + "\"";
}

void Platform::respondWith(const HttpCall &Call, const Object &Found) {
  finish(Call, {200, Found.Value, {{"ETag", quote(Found.Version)}}, false});
}

void Platform::getObject(const HttpCall &Call, const std::string &Name) {
  ++Counters_["reads"];
  const auto Found = Objects_.find(Name);
  if (Found == Objects_.end())
    return finish(Call, {404, R"({"error":"not_found"})", {}, false});
  respondWith(Call, Found->second);
}

void Platform::putObject(const HttpCall &Call, const std::string &Name) {
  ++Counters_["writes"];
  if (Call.Body.size() > MaximumValueBytes)
    return finish(Call, {413, R"({"error":"too_large"})", {}, false});
  const std::string Condition = Call.header("if-match");
  const auto Found = Objects_.find(Name);
  const std::uint64_t Version =
      Found == Objects_.end() ? 0 : Found->second.Version;
  if (Condition.empty())
    return finish(Call, {428, R"({"error":"no_condition"})", {}, false});
  if (Condition != quote(Version)) {
    ++Counters_["failed_conditions"];
    return finish(Call, {412, R"({"error":"condition_failed"})", {}, false});
  }
  Objects_[Name] = {Version + 1, Call.Body};
  ++Counters_["updates"];
  if (LoseAnswers_ > 0) {
    --LoseAnswers_;
    Call.Session->respondTruncated({200, "", {}, false}, 0);
  } else {
    finish(Call, {200, "", {{"ETag", quote(Version + 1)}}, false});
  }
  endWatches(Name);
}

void Platform::watchObject(const HttpCall &Call, const std::string &Name) {
  ++Counters_["watches"];
  const std::uint64_t After = Call.queryNumber("after");
  const auto Found = Objects_.find(Name);
  if (Found != Objects_.end() && Found->second.Version > After)
    return respondWith(Call, Found->second);
  const std::uint64_t Number = NextWatch_++;
  auto Timer = std::make_unique<boost::asio::steady_timer>(
      Io_, std::chrono::milliseconds(Call.queryNumber("wait_ms")));
  Timer->async_wait([this, Number](const boost::system::error_code &Error) {
    if (Error)
      return;
    const auto Expired = std::find_if(
        Watches_.begin(), Watches_.end(),
        [Number](const Watch &Entry) { return Entry.Number == Number; });
    if (Expired == Watches_.end())
      return;
    const HttpCall Waiting = Expired->Call;
    Watches_.erase(Expired);
    finish(Waiting, {304, "", {}, false});
  });
  Watches_.push_back({Number, Call, Name, After, std::move(Timer)});
}

void Platform::endWatches(const std::string &Name) {
  const Object &Changed = Objects_[Name];
  std::list<Watch> Due;
  for (auto Entry = Watches_.begin(); Entry != Watches_.end();) {
    const auto Next = std::next(Entry);
    if (Entry->Name == Name && Entry->After < Changed.Version)
      Due.splice(Due.end(), Watches_, Entry);
    Entry = Next;
  }
  for (const Watch &Entry : Due)
    respondWith(Entry.Call, Changed);
}

void Platform::setHosts(const HttpCall &Call) {
  json Body = json::parse(Call.Body, nullptr, false);
  if (Body.is_object() && Body.contains("hosts"))
    Body = Body["hosts"];
  if (!Body.is_array())
    return Call.respond(400, R"({"error":"bad_request"})");
  const std::uint64_t Version = ++HostsVersion_;
  const std::string Text = json{{"version", Version}, {"hosts", Body}}.dump();
  const auto Show = [this, Version, Text] {
    if (Version <= ShownHostsVersion_)
      return;
    ShownHostsVersion_ = Version;
    Hosts_ = Text;
  };
  if (ListLag_.count() == 0) {
    Show();
  } else {
    const auto Timer =
        std::make_shared<boost::asio::steady_timer>(Io_, ListLag_);
    Timer->async_wait(
        [Timer, Show](const boost::system::error_code &) { Show(); });
  }
  Call.respond(200, "{}");
}

void Platform::setFaults(const HttpCall &Call) {
  const json Body = json::parse(Call.Body, nullptr, false);
  if (Call.Method != "POST" || !Body.is_object())
    return Call.respond(400, R"({"error":"bad_request"})");
  try {
    Outage_ = Body.value("outage", Outage_);
    Delay_ = std::chrono::milliseconds(Body.value("delay_ms", Delay_.count()));
    ListLag_ =
        std::chrono::milliseconds(Body.value("list_lag_ms", ListLag_.count()));
    LoseAnswers_ = Body.value("lose_answers", LoseAnswers_);
  } catch (const json::exception &Error) {
    return Call.respond(400, json{{"error", Error.what()}}.dump());
  }
  Call.respond(200, "{}");
}

} // namespace nutmegloom::testing
