#include "protocol/databasecodec.h"

#include <nlohmann/json.hpp>

#include <array>

namespace nutmegloom {

using nlohmann::json;

namespace {

struct FailureName {
  std::string_view Code;
  DatabaseFailureKind Kind;
};

constexpr std::array<FailureName, 6> FailureNames{{
    {"term_mismatch", DatabaseFailureKind::TermMismatch},
    {"key_closed", DatabaseFailureKind::KeyClosed},
    {"key_reused", DatabaseFailureKind::KeyReused},
    {"statement_failed", DatabaseFailureKind::StatementFailed},
    {"too_many_connections", DatabaseFailureKind::TooManyConnections},
    {"no_transaction", DatabaseFailureKind::NoTransaction},
}};

} // namespace

static std::string targetOf(const DatabaseRequest &Request) {
  const std::string Prefix = "/v1/transactions/" + Request.Transaction;
  switch (Request.Operation) {
  case DatabaseOperation::Execute:
    return "/v1/statements";
  case DatabaseOperation::Begin:
    return "/v1/transactions";
  case DatabaseOperation::TransactionStatement:
    return Prefix + "/statements";
  case DatabaseOperation::Commit:
    return Prefix + "/commit";
  case DatabaseOperation::Rollback:
    return Prefix + "/rollback";
  case DatabaseOperation::CloseKey:
    return "/v1/keys/close";
  }
  return "/";
}

HttpRequest encodeDatabaseRequest(const DatabaseRequest &Request) {
  json Body = {{"exchange", std::to_string(Request.Exchange)},
               {"term", Request.Term}};
  if (!Request.Key.empty()) {
    Body["key"] = Request.Key;
    Body["fingerprint"] = Request.Fingerprint;
  }
  const bool HasStatement =
      Request.Operation == DatabaseOperation::Execute ||
      Request.Operation == DatabaseOperation::TransactionStatement;
  if (HasStatement)
    Body["kind"] = nameOf(Request.Kind);

  HttpRequest Http;
  Http.Method = "POST";
  Http.Target = targetOf(Request);
  Http.Headers.emplace_back("Content-Type", "application/json");
  if (!Request.TraceParent.empty())
    Http.Headers.emplace_back("traceparent", Request.TraceParent);
  Http.Body = Body.dump();
  // The statement is inserted as text: it is passed to the database unread.
  if (HasStatement) {
    Http.Body.pop_back();
    Http.Body += ",\"statement\":" + Request.Statement + "}";
  }
  return Http;
}

static TermHistory termsOf(const json &Body) {
  TermHistory Terms;
  for (const json &Entry : Body.value("terms", json::array()))
    Terms.push_back({Entry.at("term").get<std::uint64_t>(),
                     Entry.at("start").get<std::uint64_t>()});
  return Terms;
}

static DatabaseAnswer readAnswer(const DatabaseRequest &Request,
                                 const json &Body) {
  DatabaseAnswer Answer;
  Answer.Exchange = Request.Exchange;
  Answer.Database = Body.value("database", "");
  Answer.Term = Body.value("term", std::uint64_t(0));
  Answer.LogTerm = Body.value("log_term", std::uint64_t(0));
  Answer.Index = Body.value("index", std::uint64_t(0));
  if (Body.contains("result"))
    Answer.Result = Body["result"].dump();
  Answer.Replayed = Body.value("replayed", false);
  Answer.Age = Milliseconds(Body.value("age_ms", std::int64_t(0)));
  Answer.Terms = termsOf(Body);
  Answer.Transaction = Body.value("transaction", "");
  if (Request.Operation == DatabaseOperation::CloseKey) {
    const std::string State = Body.at("state").get<std::string>();
    if (State == "recorded")
      Answer.Key = KeyState::Recorded;
    if (State == "closed")
      Answer.Key = KeyState::Closed;
  }
  return Answer;
}

/// The fields without which a successful answer must not be used.
static bool isComplete(const DatabaseRequest &Request,
                       const DatabaseAnswer &Answer, const json &Body) {
  switch (Request.Operation) {
  case DatabaseOperation::Execute:
  case DatabaseOperation::Commit:
    return Body.contains("log_term") && Body.contains("index");
  case DatabaseOperation::Begin:
    return !Answer.Transaction.empty();
  case DatabaseOperation::TransactionStatement:
    return Body.contains("result");
  case DatabaseOperation::Rollback:
    return true;
  case DatabaseOperation::CloseKey:
    return Answer.Key != KeyState::None;
  }
  return false;
}

static std::variant<DatabaseAnswer, DatabaseFailure>
readResponse(const DatabaseRequest &Request, const HttpResponse &Response) {
  const DatabaseFailure Malformed{
      Request.Exchange, DatabaseFailureKind::Malformed,
      "unexpected response with status " + std::to_string(Response.Status), 0};
  const json Body = json::parse(Response.Body);
  const std::string Exchange = std::to_string(Request.Exchange);
  if (Response.Status == 200 || Response.Status == 201) {
    DatabaseAnswer Answer = readAnswer(Request, Body);
    if (Body.value("exchange", "") != Exchange ||
        !isComplete(Request, Answer, Body))
      return Malformed;
    return Answer;
  }
  if (Body.value("exchange", Exchange) != Exchange)
    return Malformed;
  const std::string Code = Body.value("error", "");
  for (const FailureName &Candidate : FailureNames)
    if (Candidate.Code == Code)
      return DatabaseFailure{Request.Exchange, Candidate.Kind,
                             Body.value("detail", Code),
                             Body.value("term", std::uint64_t(0))};
  return Malformed;
}

std::variant<DatabaseAnswer, DatabaseFailure>
decodeDatabaseAnswer(const DatabaseRequest &Request,
                     const HttpResponse &Response) {
  try {
    return readResponse(Request, Response);
  } catch (const json::exception &Error) {
    return DatabaseFailure{Request.Exchange, DatabaseFailureKind::Malformed,
                           Error.what(), 0};
  }
}

HttpRequest encodeControlRequest(const ControlRequest &Request) {
  json Body = {{"term", Request.Term}};
  if (Request.Command == ControlCommand::Follow)
    Body["primary_control"] = Request.PrimaryControl;
  else
    Body["promoter"] = Request.Promoter;
  HttpRequest Http;
  Http.Method = "POST";
  Http.Target = "/v1/" + std::string(nameOf(Request.Command));
  Http.Headers.emplace_back("Content-Type", "application/json");
  Http.Body = Body.dump();
  return Http;
}

HttpRequest encodeStatusRequest(std::uint64_t After, Milliseconds Wait) {
  HttpRequest Http;
  Http.Target = "/v1/status";
  if (Wait.count() > 0)
    Http.Target += "?after=" + std::to_string(After) +
                   "&wait_ms=" + std::to_string(Wait.count());
  return Http;
}

std::optional<DatabaseStatus> decodeStatus(const std::string &Text) {
  try {
    const json Body = json::parse(Text);
    DatabaseStatus Status;
    Status.Database = Body.at("database").get<std::string>();
    Status.Boot = Body.at("boot").get<std::string>();
    Status.Term = Body.at("term").get<std::uint64_t>();
    Status.Role = databaseRoleOf(Body.at("role").get<std::string>())
                      .value_or(DatabaseRole::Unknown);
    Status.LogTerm = Body.at("log_term").get<std::uint64_t>();
    Status.Received = Body.at("received").get<std::uint64_t>();
    Status.Applied = Body.at("applied").get<std::uint64_t>();
    Status.Age = Milliseconds(Body.value("age_ms", std::int64_t(0)));
    Status.PrimaryContact =
        Milliseconds(Body.value("primary_contact_ms", std::int64_t(0)));
    Status.Connections = Body.value("connections", 0U);
    Status.Leaving = Body.value("leaving", false);
    Status.Executing = Body.value("executing", std::vector<std::string>());
    Status.Terms = termsOf(Body);
    return Status;
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

std::optional<std::uint64_t> decodeRefusedTerm(const std::string &Text) {
  try {
    return json::parse(Text).at("term").get<std::uint64_t>();
  } catch (const json::exception &) {
    return std::nullopt;
  }
}

} // namespace nutmegloom
