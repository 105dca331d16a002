#include "protocol/databasecodec.h"

#include "protocol/jsontext.h"

#include <nlohmann/json.hpp>

#include <algorithm>
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

enum class AnswerField {
  Other,
  Exchange,
  Database,
  Term,
  LogTerm,
  Index,
  Result,
  Replayed,
  Age,
  Terms,
  Transaction,
  State,
  Error,
  Detail,
};
struct AnswerFieldName {
  std::string_view Name;
  AnswerField Field;
};
constexpr std::array<AnswerFieldName, 13> AnswerFieldNames{{
    {"exchange", AnswerField::Exchange},
    {"database", AnswerField::Database},
    {"term", AnswerField::Term},
    {"log_term", AnswerField::LogTerm},
    {"index", AnswerField::Index},
    {"result", AnswerField::Result},
    {"replayed", AnswerField::Replayed},
    {"age_ms", AnswerField::Age},
    {"terms", AnswerField::Terms},
    {"transaction", AnswerField::Transaction},
    {"state", AnswerField::State},
    {"error", AnswerField::Error},
    {"detail", AnswerField::Detail},
}};

/// SAX handler that reads a response in one pass. The result is kept as the
/// text that the database sent, so that numbers aren't rounded and keys aren't
/// reordered. A field with an unexpected type makes the response malformed.
class AnswerReader {
public:
  // These names are required by nlohmann's SAX interface.
  // NOLINTBEGIN(readability-identifier-naming)
  using number_integer_t = json::number_integer_t;
  using number_unsigned_t = json::number_unsigned_t;
  using number_float_t = json::number_float_t;
  using string_t = json::string_t;
  using binary_t = json::binary_t;

  bool null() { return scalar(0); }
  bool boolean(bool Value) {
    if (Depth_ == 1 && Current_ == AnswerField::Replayed) {
      Answer.Replayed = Value;
      return true;
    }
    return scalar(0);
  }
  bool number_integer(number_integer_t /*Value*/) { return scalar(1); }
  bool number_float(number_float_t /*Value*/, const string_t & /*Text*/) {
    return scalar(1);
  }
  bool number_unsigned(number_unsigned_t Value);
  bool string(string_t &Value);
  bool binary(binary_t & /*Value*/) { return scalar(0); }
  bool start_object(std::size_t /*Size*/) { return openContainer(); }
  bool start_array(std::size_t /*Size*/) {
    return openContainer() &&
           (Depth_ > 1 || fail("the response is not an object"));
  }
  bool key(string_t &Name);
  bool end_object() { return closeContainer(); }
  bool end_array() { return closeContainer(); }
  bool parse_error(std::size_t Offset, const std::string & /*Token*/,
                   const json::exception & /*Error*/) {
    return fail("the response is not valid JSON at byte " +
                std::to_string(Offset));
  }
  // NOLINTEND(readability-identifier-naming)

  bool read(const std::string &Text) {
    Cursor_ = Text.data();
    return json::sax_parse(
        TrackingIterator{Text.data(), &Cursor_},
        TrackingIterator{Text.data() + Text.size(), &Cursor_}, this);
  }
  bool has(AnswerField Field) const {
    return (SeenFields_ & (1U << static_cast<unsigned>(Field))) != 0;
  }

  DatabaseAnswer Answer;
  std::string Exchange;
  std::string State;
  std::string Error;
  std::string Detail;
  std::string Failure;

private:
  bool fail(std::string Reason) {
    if (Failure.empty())
      Failure = std::move(Reason);
    return false;
  }
  /// Handles a value that isn't stored in a field of its own. Lookahead is 1
  /// after a number, because the lexer consumes the character that follows it.
  bool scalar(std::ptrdiff_t Lookahead);
  bool openContainer();
  bool closeContainer();

  const char *Cursor_ = nullptr;
  const char *ResultBegin_ = nullptr;
  AnswerField Current_ = AnswerField::Other;
  bool InTermStart_ = false;
  /// Number of fields of the current entry of "terms".
  unsigned TermFieldCount_ = 0;
  unsigned SeenFields_ = 0;
  std::size_t Depth_ = 0;
};

bool AnswerReader::scalar(std::ptrdiff_t Lookahead) {
  if (Depth_ == 0)
    return fail("the response is not an object");
  if (Current_ == AnswerField::Result) {
    if (Depth_ == 1)
      Answer.Result.assign(ResultBegin_, Cursor_ - Lookahead);
    return true;
  }
  return Current_ == AnswerField::Other ||
         fail("a field of the response has an unexpected type");
}

bool AnswerReader::number_unsigned(number_unsigned_t Value) {
  if (Current_ == AnswerField::Terms && Depth_ == 3) {
    TermStart &Last = Answer.Terms.back();
    (InTermStart_ ? Last.Start : Last.Term) = Value;
    ++TermFieldCount_;
    return true;
  }
  if (Depth_ == 1) {
    switch (Current_) {
    case AnswerField::Term:
      Answer.Term = Value;
      return true;
    case AnswerField::LogTerm:
      Answer.LogTerm = Value;
      return true;
    case AnswerField::Index:
      Answer.Index = Value;
      return true;
    case AnswerField::Age:
      Answer.Age = Milliseconds(Value);
      return true;
    default:
      break;
    }
  }
  return scalar(1);
}

bool AnswerReader::string(string_t &Value) {
  if (Depth_ == 1) {
    switch (Current_) {
    case AnswerField::Exchange:
      Exchange = Value;
      return true;
    case AnswerField::Database:
      Answer.Database = Value;
      return true;
    case AnswerField::Transaction:
      Answer.Transaction = Value;
      return true;
    case AnswerField::State:
      State = Value;
      return true;
    case AnswerField::Error:
      Error = Value;
      return true;
    case AnswerField::Detail:
      Detail = Value;
      return true;
    default:
      break;
    }
  }
  return scalar(0);
}

bool AnswerReader::key(string_t &Name) {
  if (Depth_ == 3 && Current_ == AnswerField::Terms) {
    if (Name != "term" && Name != "start")
      return fail("an entry of \"terms\" has the unknown field " + Name);
    InTermStart_ = Name == "start";
    return true;
  }
  if (Depth_ != 1)
    return true;
  const auto *Found = std::find_if(
      AnswerFieldNames.begin(), AnswerFieldNames.end(),
      [&Name](const AnswerFieldName &Entry) { return Entry.Name == Name; });
  Current_ =
      Found == AnswerFieldNames.end() ? AnswerField::Other : Found->Field;
  if (Current_ == AnswerField::Other)
    return true;
  if (has(Current_))
    return fail("the field \"" + Name + "\" occurs twice");
  SeenFields_ |= 1U << static_cast<unsigned>(Current_);
  if (Current_ == AnswerField::Result) {
    // The cursor is behind the key; the value begins after the colon and white
    // space.
    ResultBegin_ = Cursor_;
    while (*ResultBegin_ == ':' || *ResultBegin_ == ' ' ||
           *ResultBegin_ == '\t' || *ResultBegin_ == '\n' ||
           *ResultBegin_ == '\r')
      ++ResultBegin_;
  }
  return true;
}

bool AnswerReader::openContainer() {
  ++Depth_;
  if (Depth_ == 1 || Current_ == AnswerField::Result ||
      Current_ == AnswerField::Other)
    return true;
  if (Current_ != AnswerField::Terms || Depth_ > 3)
    return fail("a field of the response has an unexpected type");
  if (Depth_ == 3) {
    Answer.Terms.emplace_back();
    TermFieldCount_ = 0;
  }
  return true;
}

bool AnswerReader::closeContainer() {
  --Depth_;
  if (Depth_ == 2 && Current_ == AnswerField::Terms && TermFieldCount_ != 2)
    return fail("an entry of \"terms\" is incomplete");
  if (Depth_ == 1 && Current_ == AnswerField::Result)
    Answer.Result.assign(ResultBegin_, Cursor_);
  return true;
}

} // namespace

/// Reserved for the names and numbers in the body of a request.
static constexpr std::size_t FieldBytesReserved = 160;

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
  HttpRequest Http;
  Http.Method = "POST";
  Http.Target = targetOf(Request);
  Http.Headers.emplace_back("Content-Type", "application/json");
  if (!Request.TraceParent.empty())
    Http.Headers.emplace_back("traceparent", Request.TraceParent);
  std::string &Body = Http.Body;
  Body.reserve(Request.Statement.size() + Request.Key.size() +
               FieldBytesReserved);
  Body += R"({"exchange":")" + std::to_string(Request.Exchange);
  Body += R"(","term":)" + std::to_string(Request.Term);
  if (!Request.Key.empty()) {
    Body += R"(,"key":)";
    appendJsonString(Body, Request.Key);
    Body += R"(,"fingerprint":)" + std::to_string(Request.Fingerprint);
  }
  if (Request.Operation == DatabaseOperation::Execute ||
      Request.Operation == DatabaseOperation::TransactionStatement) {
    Body += R"(,"kind":)";
    appendJsonString(Body, nameOf(Request.Kind));
    // The statement is JSON text. It is passed on without being parsed.
    Body += R"(,"statement":)";
    Body += Request.Statement;
  }
  Body += '}';
  return Http;
}

static TermHistory termsOf(const json &Body) {
  TermHistory Terms;
  for (const json &Entry : Body.value("terms", json::array()))
    Terms.push_back({Entry.at("term").get<std::uint64_t>(),
                     Entry.at("start").get<std::uint64_t>()});
  return Terms;
}

/// Returns whether a successful answer has all fields that its operation needs.
static bool isComplete(const DatabaseRequest &Request,
                       const AnswerReader &Reader) {
  switch (Request.Operation) {
  case DatabaseOperation::Execute:
  case DatabaseOperation::Commit:
    return Reader.has(AnswerField::LogTerm) && Reader.has(AnswerField::Index);
  case DatabaseOperation::Begin:
    return !Reader.Answer.Transaction.empty();
  case DatabaseOperation::TransactionStatement:
    return Reader.has(AnswerField::Result);
  case DatabaseOperation::Rollback:
    return true;
  case DatabaseOperation::CloseKey:
    return Reader.Answer.Key != KeyState::None;
  }
  return false;
}

std::variant<DatabaseAnswer, DatabaseFailure>
decodeDatabaseAnswer(const DatabaseRequest &Request,
                     const HttpResponse &Response) {
  const auto Malformed = [&Request](std::string Detail) {
    return DatabaseFailure{Request.Exchange, DatabaseFailureKind::Malformed,
                           std::move(Detail), 0};
  };
  const auto Unexpected = [&Malformed, &Response] {
    return Malformed("unexpected response with status " +
                     std::to_string(Response.Status));
  };
  AnswerReader Reader;
  if (!Reader.read(Response.Body))
    return Malformed(std::move(Reader.Failure));
  const std::string Exchange = std::to_string(Request.Exchange);
  if (Response.Status == 200 || Response.Status == 201) {
    Reader.Answer.Exchange = Request.Exchange;
    if (Request.Operation == DatabaseOperation::CloseKey) {
      if (Reader.State == "recorded")
        Reader.Answer.Key = KeyState::Recorded;
      if (Reader.State == "closed")
        Reader.Answer.Key = KeyState::Closed;
    }
    if (Reader.Exchange != Exchange || !isComplete(Request, Reader))
      return Unexpected();
    return std::move(Reader.Answer);
  }
  if (Reader.has(AnswerField::Exchange) && Reader.Exchange != Exchange)
    return Unexpected();
  for (const FailureName &Candidate : FailureNames)
    if (Candidate.Code == Reader.Error)
      return DatabaseFailure{Request.Exchange, Candidate.Kind,
                             Reader.Detail.empty() ? Reader.Error
                                                   : Reader.Detail,
                             Reader.Answer.Term};
  return Unexpected();
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
