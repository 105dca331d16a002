#include "testing/standindatabase/database.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <random>

namespace nutmegloom::testing {

using nlohmann::json;

static constexpr std::size_t MaximumPullEntries = 1000;

/// A request on the service port until it is answered.
struct Database::ServiceRequest {
  HttpCall Call;
  json Body;
  std::string Name;
  std::uint64_t Term = 0;
  bool ChangesData = false;
};

static std::string makeBootId() {
  std::random_device Source;
  return std::to_string(Source());
}

Database::Database(boost::asio::io_context &Io, const DatabaseOptions &Options)
    : Io_(Io), Options_(Options), Boot_(makeBootId()),
      Log_([this](const JournalRecord &Record) { Journal_->write(Record); }),
      Executor_(Io, Options.Slots),
      Replication_(std::make_shared<ReplicationClient>(
          Io, Log_, Faults_, [this] { onChange(); })) {
  std::filesystem::create_directories(Options.DataFolder);
  Journal_ = std::make_unique<Journal>(
      Options.DataFolder + "/" + Options.Id + ".journal",
      [this](const JournalRecord &Record) { Log_.restore(Record); });
  Log_.finishRestore();
  if (Journal_->wasEmpty())
    Log_.initialize(Options.InitialPrimary == "self", Options.InitialPrimary);

  HttpServer::Options Service;
  Service.OnCall = [this](const HttpCall &Call) { onServiceCall(Call); };
  Service.OnOpen = [this](std::uint64_t Session) {
    return onServiceOpen(Session);
  };
  Service.OnClose = [this](std::uint64_t Session) { onServiceClose(Session); };
  Service_ = makeHttpServer(Io, Options.ServiceAddress, std::move(Service));

  HttpServer::Options Control;
  Control.OnCall = [this](const HttpCall &Call) { onControlCall(Call); };
  Control_ = makeHttpServer(Io, Options.ControlAddress, std::move(Control));
}

void Database::start() { Replication_->start(); }

std::chrono::milliseconds Database::onServiceOpen(std::uint64_t Session) {
  const auto Accepted =
      std::count_if(Connections_.begin(), Connections_.end(),
                    [](const auto &Entry) { return Entry.second; });
  const bool WithinCap =
      static_cast<std::size_t>(Accepted) < Options_.ConnectionCap;
  Connections_[Session] = WithinCap;
  if (!WithinCap) {
    incrementCounter("refused_connections");
    return std::chrono::milliseconds(0);
  }
  incrementCounter("accepted_connections");
  std::uint64_t &Greatest = Counters_["greatest_connections"];
  Greatest = std::max<std::uint64_t>(Greatest, Accepted + 1);
  return Options_.ConnectionCost;
}

void Database::onServiceClose(std::uint64_t Session) {
  Connections_.erase(Session);
  std::erase_if(Transactions_, [Session](const auto &Entry) {
    return Entry.second.Session == Session;
  });
}

void Database::onServiceCall(const HttpCall &Call) {
  if (Faults_.Cut.contains("service")) {
    Call.Session->leaveUnanswered();
    return;
  }
  if (!Connections_[Call.Session->id()]) {
    const json Body = {{"error", "too_many_connections"},
                       {"term", Log_.term()}};
    Call.Session->respond({503, Body.dump(), {}, true});
    return;
  }
  const auto Request = std::make_shared<ServiceRequest>();
  Request->Call = Call;
  Request->Body = json::parse(Call.Body, nullptr, false);
  if (Call.Method != "POST" || !Request->Body.is_object()) {
    Call.respond(400, R"({"error":"bad_request"})");
    return;
  }
  Request->Name = Request->Body.value("exchange", "");
  Request->Term = Request->Body.value("term", std::uint64_t(0));
  Executing_.insert(Request->Name);

  if (Call.Path == "/v1/statements")
    return executeStatement(Request);
  if (Call.Path == "/v1/transactions")
    return begin(Request);
  if (Call.Path == "/v1/keys/close")
    return closeKey(Request);
  if (Call.Path.starts_with("/v1/transactions/")) {
    if (Call.Path.ends_with("/statements"))
      return executeInTransaction(Request);
    if (Call.Path.ends_with("/commit"))
      return commit(Request);
    if (Call.Path.ends_with("/rollback"))
      return rollback(Request);
  }
  reject(Request, 404, "not_found");
}

void Database::finish(const std::shared_ptr<ServiceRequest> &Request,
                      const HttpReply &Reply) {
  Executing_.erase(Executing_.find(Request->Name));
  if (Faults_.Cut.contains("service"))
    Request->Call.Session->leaveUnanswered();
  else
    Request->Call.Session->respond(Reply);
}

void Database::answer(const std::shared_ptr<ServiceRequest> &Request,
                      json Body) {
  Body["exchange"] = Request->Name;
  Body["database"] = Options_.Id;
  Body["term"] = Log_.term();
  const HttpReply Reply{200, Body.dump(), {}, false};
  if (Request->ChangesData && Faults_.DropAnswers > 0) {
    Executing_.erase(Executing_.find(Request->Name));
    // Alternates between a truncated response and none at all.
    const bool WithinAnswer = --Faults_.DropAnswers % 2 == 0;
    Request->Call.Session->respondTruncated(Reply, WithinAnswer ? 60 : 0);
    return;
  }
  finish(Request, Reply);
}

void Database::reject(const std::shared_ptr<ServiceRequest> &Request,
                      int Status, const std::string &Code,
                      const std::string &Detail) {
  incrementCounter("refused_" + Code);
  json Body = {
      {"error", Code}, {"term", Log_.term()}, {"exchange", Request->Name}};
  if (!Detail.empty())
    Body["detail"] = Detail;
  finish(Request, {Status, Body.dump(), {}, false});
}

static json encodeTerms(const TermHistory &Terms) {
  json Body = json::array();
  for (const TermStart &Start : Terms)
    Body.push_back({{"term", Start.Term}, {"start", Start.Start}});
  return Body;
}

json Database::describePosition(const Position &At) const {
  return {{"log_term", At.Term},
          {"index", At.Index},
          {"age_ms", Replication_->age().count()},
          {"terms", encodeTerms(Log_.terms())}};
}

void Database::executeStatement(
    const std::shared_ptr<ServiceRequest> &Request) {
  if (!Request->Body.contains("statement")) {
    reject(Request, 422, "statement_failed", "no statement");
    return;
  }
  const auto Time =
      Faults_.StatementTime +
      std::chrono::milliseconds(workMilliseconds(Request->Body["statement"]));
  // The term is checked when the statement takes effect, so that a statement
  // that was running when the database was fenced is rejected.
  Executor_.run(Time, [this, Request] { runStatement(Request); });
}

void Database::runStatement(const std::shared_ptr<ServiceRequest> &Request) {
  const bool IsWrite = Request->Body.value("kind", "read") == "write";
  const bool Allowed =
      IsWrite ? Log_.mayWrite(Request->Term) : Log_.mayRead(Request->Term);
  if (!Allowed) {
    reject(Request, 409, "term_mismatch");
    return;
  }
  Request->ChangesData = IsWrite;
  if (IsWrite && answerFromKey(Request))
    return;
  StatementView View(Log_.data());
  const auto Result = View.execute(Request->Body["statement"]);
  if (const auto *Failed = std::get_if<StatementView::Failed>(&Result)) {
    reject(Request, 422, "statement_failed", Failed->Detail);
    return;
  }
  LogEntry Entry;
  Entry.Effects = View.effects();
  if (!IsWrite && !Entry.Effects.empty()) {
    reject(Request, 422, "statement_failed",
           "a statement of kind read must not change data");
    return;
  }
  incrementCounter("executed_statements");
  incrementCounter(IsWrite ? "executed_writes" : "executed_reads");
  Entry.Result = std::get<std::string>(Result);
  Position At{Log_.termAt(Log_.applied()), Log_.applied()};
  const std::string Text = Entry.Result;
  if (IsWrite) {
    Entry.Key = Request->Body.value("key", "");
    Entry.Fingerprint = Request->Body.value("fingerprint", std::uint64_t(0));
    At = Log_.append(std::move(Entry));
  }
  json Body = describePosition(At);
  Body["result"] = json::parse(Text);
  Body["replayed"] = false;
  answer(Request, std::move(Body));
  if (IsWrite)
    onChange();
}

bool Database::answerFromKey(const std::shared_ptr<ServiceRequest> &Request) {
  const std::string Key = Request->Body.value("key", "");
  const KeyRecord *Record = Key.empty() ? nullptr : Log_.findKey(Key);
  if (!Record)
    return false;
  if (Record->Closed) {
    reject(Request, 409, "key_closed");
    return true;
  }
  if (Record->Fingerprint !=
      Request->Body.value("fingerprint", std::uint64_t(0))) {
    reject(Request, 409, "key_reused");
    return true;
  }
  incrementCounter("replayed");
  json Body = describePosition(Record->At);
  Body["result"] = json::parse(Record->Result);
  Body["replayed"] = true;
  answer(Request, std::move(Body));
  return true;
}

void Database::begin(const std::shared_ptr<ServiceRequest> &Request) {
  if (!Log_.mayWrite(Request->Term)) {
    reject(Request, 409, "term_mismatch");
    return;
  }
  const std::string Id = std::to_string(NextTransaction_++);
  Transactions_.emplace(Id,
                        Transaction{Request->Call.Session->id(), Request->Term,
                                    StatementView(Log_.data())});
  incrementCounter("transactions");
  answer(Request, {{"transaction", Id}});
}

Database::Transaction *
Database::findTransaction(const std::shared_ptr<ServiceRequest> &Request) {
  const std::string Prefix = "/v1/transactions/";
  const std::string Rest = Request->Call.Path.substr(Prefix.size());
  const std::string Id = Rest.substr(0, Rest.find('/'));
  const auto Found = Transactions_.find(Id);
  if (Found == Transactions_.end() ||
      Found->second.Session != Request->Call.Session->id()) {
    reject(Request, 409, "no_transaction");
    return nullptr;
  }
  if (!Log_.mayWrite(Request->Term) || Found->second.Term != Request->Term) {
    Transactions_.erase(Found);
    reject(Request, 409, "term_mismatch");
    return nullptr;
  }
  return &Found->second;
}

void Database::executeInTransaction(
    const std::shared_ptr<ServiceRequest> &Request) {
  if (!Request->Body.contains("statement")) {
    reject(Request, 422, "statement_failed", "no statement");
    return;
  }
  const auto Time =
      Faults_.StatementTime +
      std::chrono::milliseconds(workMilliseconds(Request->Body["statement"]));
  Executor_.run(Time, [this, Request] {
    Transaction *Open = findTransaction(Request);
    if (!Open)
      return;
    const auto Result = Open->View.execute(Request->Body["statement"]);
    if (const auto *Failed = std::get_if<StatementView::Failed>(&Result)) {
      reject(Request, 422, "statement_failed", Failed->Detail);
      return;
    }
    incrementCounter("executed_statements");
    json Body = describePosition({Log_.termAt(Log_.applied()), Log_.applied()});
    Body["result"] = json::parse(std::get<std::string>(Result));
    answer(Request, std::move(Body));
  });
}

void Database::commit(const std::shared_ptr<ServiceRequest> &Request) {
  Request->ChangesData = true;
  if (Log_.mayWrite(Request->Term) && answerFromKey(Request))
    return;
  Transaction *Open = findTransaction(Request);
  if (!Open)
    return;
  LogEntry Entry;
  Entry.Key = Request->Body.value("key", "");
  Entry.Fingerprint = Request->Body.value("fingerprint", std::uint64_t(0));
  Entry.Effects = Open->View.effects();
  const bool Current = Open->View.readsAreCurrent();
  std::erase_if(Transactions_, [Open](const auto &Candidate) {
    return &Candidate.second == Open;
  });
  if (!Current) {
    reject(
        Request, 422, "statement_failed",
        "serialization conflict: data that the transaction read has changed");
    return;
  }
  incrementCounter("commits");
  json Body = describePosition(Log_.append(std::move(Entry)));
  Body["result"] = nullptr;
  Body["replayed"] = false;
  answer(Request, std::move(Body));
  onChange();
}

void Database::rollback(const std::shared_ptr<ServiceRequest> &Request) {
  Transaction *Open = findTransaction(Request);
  if (!Open)
    return;
  std::erase_if(Transactions_, [Open](const auto &Candidate) {
    return &Candidate.second == Open;
  });
  answer(Request, json::object());
}

void Database::closeKey(const std::shared_ptr<ServiceRequest> &Request) {
  if (!Log_.mayWrite(Request->Term)) {
    reject(Request, 409, "term_mismatch");
    return;
  }
  const std::string Key = Request->Body.value("key", "");
  if (Key.empty()) {
    reject(Request, 422, "statement_failed", "no key");
    return;
  }
  Request->ChangesData = true;
  incrementCounter("key_closes");
  if (const KeyRecord *Record = Log_.findKey(Key)) {
    json Body = describePosition(Record->At);
    Body["state"] = Record->Closed ? "closed" : "recorded";
    Body["result"] = json::parse(Record->Result);
    answer(Request, std::move(Body));
    return;
  }
  LogEntry Entry;
  Entry.Key = Key;
  Entry.Closes = true;
  json Body = describePosition(Log_.append(std::move(Entry)));
  Body["state"] = "closed";
  answer(Request, std::move(Body));
  onChange();
}

void Database::onControlCall(const HttpCall &Call) {
  incrementCounter("call " + Call.Path);
  if (Call.Path == "/faults")
    return setFaults(Call);
  if (Call.Path == "/counters")
    return Call.respond(200, counters().dump());
  const bool IsLog = Call.Path == "/v1/log";
  if (Faults_.Cut.contains(IsLog ? "replication" : "control")) {
    Call.Session->leaveUnanswered();
    return;
  }
  if (IsLog)
    return serveLog(Call);
  if (Call.Path == "/v1/status") {
    const std::uint64_t After = Call.queryNumber("after");
    answerWhen(
        Call,
        [this, After, Term = Log_.term(), Role = Log_.role(),
         Leaving = Faults_.Leaving] {
          return Log_.received() > After || Log_.term() != Term ||
                 Log_.role() != Role || Faults_.Leaving != Leaving;
        },
        [this, Call] {
          if (Faults_.Cut.contains("control"))
            Call.Session->leaveUnanswered();
          else
            Call.respond(200, status().dump());
        });
    return;
  }
  executeCommand(Call);
}

json Database::status() const {
  json Body = {{"database", Options_.Id},
               {"group", Options_.Group},
               {"boot", Boot_},
               {"term", Log_.term()},
               {"role", nameOf(Log_.role())},
               {"log_term", Log_.logTerm()},
               {"received", Log_.received()},
               {"applied", Log_.applied()},
               {"age_ms", Replication_->age().count()},
               {"primary_contact_ms", Replication_->timeSinceContact().count()},
               {"connections", Connections_.size()},
               {"leaving", Faults_.Leaving},
               {"executing", Executing_},
               {"terms", encodeTerms(Log_.terms())}};
  return Body;
}

void Database::answerWhen(const HttpCall &Call, std::function<bool()> IsReady,
                          std::function<void()> Answer) {
  const std::uint64_t Wait = Call.queryNumber("wait_ms");
  if (Wait == 0 || IsReady()) {
    Answer();
    return;
  }
  const std::uint64_t Number = NextLongPoll_++;
  auto Timer = std::make_unique<boost::asio::steady_timer>(
      Io_, std::chrono::milliseconds(Wait));
  Timer->async_wait([this, Number](const boost::system::error_code &Error) {
    if (Error)
      return;
    const auto Found = std::find_if(
        LongPolls_.begin(), LongPolls_.end(),
        [Number](const LongPoll &Entry) { return Entry.Number == Number; });
    if (Found == LongPolls_.end())
      return;
    const std::function<void()> Due = std::move(Found->Answer);
    LongPolls_.erase(Found);
    Due();
  });
  LongPolls_.push_back(
      {Number, Call, std::move(IsReady), std::move(Answer), std::move(Timer)});
}

void Database::onChange() {
  std::list<LongPoll> Due;
  for (auto Entry = LongPolls_.begin(); Entry != LongPolls_.end();) {
    const auto Next = std::next(Entry);
    if (Entry->IsReady())
      Due.splice(Due.end(), LongPolls_, Entry);
    Entry = Next;
  }
  for (const LongPoll &Entry : Due)
    Entry.Answer();
}

void Database::executeCommand(const HttpCall &Call) {
  const json Body = json::parse(Call.Body, nullptr, false);
  if (Call.Method != "POST" || !Body.is_object() || !Body.contains("term")) {
    Call.respond(400, R"({"error":"bad_request"})");
    return;
  }
  const auto Term = Body["term"].get<std::uint64_t>();
  const std::string Promoter = Body.value("promoter", "");
  const auto State = [this] {
    return std::make_tuple(Log_.term(), Log_.role(), Log_.primaryControl());
  };
  const auto Before = State();
  bool Granted = false;
  if (Call.Path == "/v1/fence")
    Granted = Log_.fence(Term, Promoter);
  else if (Call.Path == "/v1/promote")
    Granted = Log_.promote(Term, Promoter);
  else if (Call.Path == "/v1/follow")
    Granted = Log_.follow(Term, Body.value("primary_control", ""));
  else
    return Call.respond(404, R"({"error":"not_found"})");
  if (State() != Before) {
    Replication_->restart();
    onChange();
  }
  if (Granted)
    Call.respond(200, status().dump());
  else
    Call.respond(409, json{{"error", "refused"}, {"term", Log_.term()}}.dump());
}

void Database::serveLog(const HttpCall &Call) {
  const PullRequest Request{
      Call.queryNumber("term"),
      {Call.queryNumber("log_term"), Call.queryNumber("after")}};
  const auto MayServe = [this, Request] { return Log_.mayWrite(Request.Term); };
  answerWhen(
      Call,
      [this, Request, MayServe] {
        return !MayServe() || Log_.received() != Request.After.Index ||
               Log_.logTerm() != Request.After.Term;
      },
      [this, Call, Request, MayServe] {
        if (Faults_.Cut.contains("replication")) {
          Call.Session->leaveUnanswered();
          return;
        }
        if (!MayServe()) {
          Call.respond(
              409, json{{"error", "refused"}, {"term", Log_.term()}}.dump());
          return;
        }
        const PullReply Reply = Log_.serve(Request, MaximumPullEntries);
        json Entries = json::array();
        for (const LogEntry &Entry : Reply.Entries)
          Entries.push_back(encodeEntry(Entry));
        Call.respond(200, json{{"term", Reply.Term},
                               {"conflict", Reply.Conflict},
                               {"last", Reply.Last},
                               {"terms", encodeTerms(Reply.Terms)},
                               {"entries", std::move(Entries)}}
                              .dump());
      });
}

void Database::setFaults(const HttpCall &Call) {
  const json Body = json::parse(Call.Body, nullptr, false);
  if (Call.Method != "POST" || !Body.is_object()) {
    Call.respond(400, R"({"error":"bad_request"})");
    return;
  }
  try {
    applyFaults(Body, Call.Session->id());
  } catch (const json::exception &Error) {
    Call.respond(400, json{{"error", Error.what()}}.dump());
    return;
  }
  onChange();
  Call.respond(200, "{}");
}

static void setTime(const json &Body, const char *Name,
                    std::chrono::milliseconds &Value) {
  Value = std::chrono::milliseconds(Body.value(Name, Value.count()));
}

void Database::applyFaults(const json &Body, std::uint64_t Session) {
  setTime(Body, "replication_delay_ms", Faults_.ReplicationDelay);
  setTime(Body, "apply_delay_ms", Faults_.ApplyDelay);
  setTime(Body, "statement_ms", Faults_.StatementTime);
  Faults_.Cut = Body.value("cut", Faults_.Cut);
  Faults_.Leaving = Body.value("leaving", Faults_.Leaving);
  Faults_.DropAnswers = Body.value("drop_answers", Faults_.DropAnswers);
  if (!Body.contains("silent"))
    return;
  // "silent" is a list of ports, or true for the service port alone. It freezes
  // the open connections, except the one that this request came over.
  std::vector<std::string> Ports;
  if (Body["silent"].is_array())
    Ports = Body["silent"].get<std::vector<std::string>>();
  else if (Body["silent"].get<bool>())
    Ports = {"service"};
  for (const std::string &Port : Ports) {
    if (Port == "service")
      Service_->freezeAll(0);
    if (Port == "control")
      Control_->freezeAll(Session);
  }
}

json Database::counters() const {
  json Body = Counters_;
  Body["connections"] = Connections_.size();
  Body["open_transactions"] = Transactions_.size();
  return Body;
}

} // namespace nutmegloom::testing
