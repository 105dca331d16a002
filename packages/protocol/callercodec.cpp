#include "protocol/callercodec.h"

#include "core/transactionid.h"
#include "protocol/jsontext.h"

#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>

namespace nutmegloom {

namespace {

constexpr std::size_t MaximumKeyBytes = 255;
constexpr std::size_t MaximumClassBytes = 64;
constexpr std::size_t TraceParentBytes = 55;
/// Members of a request body. Others are rejected: ignoring a misspelt
/// max_age_ms would silently change how a read is served.
enum class Member { Statement, Kind, MaximumAge, Timeout, Class };
struct MemberName {
  Member Value;
  std::string_view Name;
};
constexpr std::array<MemberName, 5> Members{{
    {Member::Statement, "statement"},
    {Member::Kind, "kind"},
    {Member::MaximumAge, "max_age_ms"},
    {Member::Timeout, "timeout_ms"},
    {Member::Class, "class"},
}};

/// Hash of a sequence of keys and structural characters.
class ShapeHash {
public:
  void add(std::string_view Part) {
    Value_ = XXH3_64bits_withSeed(Part.data(), Part.size(), Value_);
  }
  std::uint64_t value() const { return Value_; }

private:
  std::uint64_t Value_ = 0;
};

/// SAX handler that reads a request body in one pass: its members, the range of
/// the statement's text and the statement's shape.
class BodyReader {
public:
  // These names are required by nlohmann's SAX interface.
  // NOLINTBEGIN(readability-identifier-naming)
  using number_integer_t = nlohmann::json::number_integer_t;
  using number_unsigned_t = nlohmann::json::number_unsigned_t;
  using number_float_t = nlohmann::json::number_float_t;
  using string_t = nlohmann::json::string_t;
  using binary_t = nlohmann::json::binary_t;

  bool null() { return acceptOnlyInStatement("null"); }
  bool boolean(bool /*Value*/) { return acceptOnlyInStatement("a boolean"); }
  bool number_integer(number_integer_t /*Value*/) {
    return acceptOnlyInStatement("a negative number");
  }
  bool number_unsigned(number_unsigned_t Value) {
    if (inStatement())
      return true;
    if (Depth_ == 1 && Current_ == Member::MaximumAge)
      MaximumAge = Value;
    else if (Depth_ == 1 && Current_ == Member::Timeout)
      Timeout = Value;
    else
      return acceptOnlyInStatement("a number");
    return true;
  }
  bool number_float(number_float_t /*Value*/, const string_t & /*Text*/) {
    return acceptOnlyInStatement("a floating-point number");
  }
  bool string(string_t &Value) {
    if (inStatement()) {
      if (Depth_ == StatementDepth_ && IsOperation_)
        Shape.add(Value);
      return true;
    }
    if (Depth_ == 1 && Current_ == Member::Kind)
      Kind = Value;
    else if (Depth_ == 1 && Current_ == Member::Class)
      WorkClass = Value;
    else
      return acceptOnlyInStatement("a string");
    return true;
  }
  bool binary(binary_t & /*Value*/) {
    return acceptOnlyInStatement("binary data");
  }
  bool start_object(std::size_t /*Size*/) {
    ++Depth_;
    if (inStatement()) {
      Shape.add("{");
      return true;
    }
    if (WholeIsStatement_ ? Depth_ == 1
                          : Depth_ == 2 && Current_ == Member::Statement) {
      StatementDepth_ = Depth_;
      // The lexer has already consumed the opening brace.
      StatementBegin = Cursor - 1;
      return true;
    }
    return Depth_ == 1 || acceptOnlyInStatement("an object");
  }
  bool key(string_t &Name) {
    if (inStatement()) {
      Shape.add(Name);
      IsOperation_ = Name == "op";
      return true;
    }
    const auto *Known =
        std::find_if(Members.begin(), Members.end(),
                     [&](const MemberName &M) { return M.Name == Name; });
    if (Known == Members.end())
      return fail("the member \"" + Name +
                  "\" is unknown; allowed are statement, kind, max_age_ms, "
                  "timeout_ms and class");
    Current_ = Known->Value;
    unsigned Bit = 1U << static_cast<unsigned>(Known->Value);
    if (SeenMembers_ & Bit)
      return fail("the member \"" + Name + "\" occurs twice");
    SeenMembers_ |= Bit;
    return true;
  }
  bool end_object() {
    if (inStatement()) {
      if (Depth_ == StatementDepth_) {
        StatementEnd = Cursor;
        StatementDepth_ = 0;
      } else {
        Shape.add("}");
      }
    }
    --Depth_;
    return true;
  }
  bool start_array(std::size_t /*Size*/) {
    if (!inStatement())
      return acceptOnlyInStatement("an array");
    ++Depth_;
    Shape.add("[");
    return true;
  }
  bool end_array() {
    --Depth_;
    Shape.add("]");
    return true;
  }
  bool parse_error(std::size_t Offset, const std::string & /*Token*/,
                   const nlohmann::json::exception & /*Error*/) {
    return fail("the body is not valid JSON at byte " + std::to_string(Offset));
  }
  // NOLINTEND(readability-identifier-naming)

  /// Reads a body, or only a statement if WholeIsStatement is true. On failure
  /// returns false and sets Error.
  bool read(std::string_view Text, bool WholeIsStatement) {
    WholeIsStatement_ = WholeIsStatement;
    Cursor = Text.data();
    TrackingIterator Begin{Text.data(), &Cursor};
    TrackingIterator End{Text.data() + Text.size(), &Cursor};
    return nlohmann::json::sax_parse(Begin, End, this);
  }
  std::string_view statement() const {
    return {StatementBegin,
            static_cast<std::size_t>(StatementEnd - StatementBegin)};
  }

  const char *Cursor = nullptr;
  const char *StatementBegin = nullptr;
  const char *StatementEnd = nullptr;
  ShapeHash Shape;
  std::optional<std::string> Kind;
  std::optional<std::uint64_t> MaximumAge;
  std::optional<std::uint64_t> Timeout;
  std::string WorkClass;
  std::string Error;

private:
  bool inStatement() const { return StatementDepth_ > 0; }
  bool fail(std::string Message) {
    if (Error.empty())
      Error = std::move(Message);
    return false;
  }
  bool acceptOnlyInStatement(std::string_view Found) {
    if (inStatement())
      return true;
    if (Depth_ == 0)
      return fail("the body must be a JSON object, not " + std::string(Found));
    std::string_view Name = Members[static_cast<std::size_t>(Current_)].Name;
    std::string_view Expected = "a non-negative integer";
    if (Current_ == Member::Statement)
      Expected = "an object";
    else if (Current_ == Member::Kind || Current_ == Member::Class)
      Expected = "a string";
    return fail("the member \"" + std::string(Name) + "\" must be " +
                std::string(Expected) + ", not " + std::string(Found));
  }

  Member Current_ = Member::Statement;
  unsigned SeenMembers_ = 0;
  std::size_t Depth_ = 0;
  /// Nesting depth of the statement's members; zero outside the statement.
  std::size_t StatementDepth_ = 0;
  bool WholeIsStatement_ = false;
  bool IsOperation_ = false;
};

struct Route {
  RequestStep Step = RequestStep::Statement;
  GroupId Group;
  std::string Transaction;
};

Problem badRequest(std::string Detail) {
  return {ErrorCode::BadRequest, Outcome::NotRun, std::move(Detail)};
}

bool isGroupNumber(std::string_view Text) {
  return !Text.empty() && Text.size() <= 9 &&
         std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C >= '0' && C <= '9'; });
}

std::variant<Route, Problem> parseTarget(std::string_view Target) {
  Target = Target.substr(0, Target.find('?'));
  std::array<std::string_view, 4> Parts;
  std::size_t Count = 0;
  std::string_view Rest = Target;
  while (!Rest.empty() && Rest.front() == '/' && Count < Parts.size()) {
    Rest.remove_prefix(1);
    std::size_t End = std::min(Rest.find('/'), Rest.size());
    Parts[Count++] = Rest.substr(0, End);
    Rest.remove_prefix(End);
  }
  Problem Unknown{ErrorCode::NotFound, Outcome::NotRun,
                  "there is no resource at " + std::string(Target)};
  if (Count != Parts.size() || !Rest.empty() || Parts[0] != "v1")
    return Unknown;
  Route Found;
  if (Parts[1] == "transactions") {
    if (Parts[3] == "statements")
      Found.Step = RequestStep::TransactionStatement;
    else if (Parts[3] == "commit")
      Found.Step = RequestStep::Commit;
    else if (Parts[3] == "rollback")
      Found.Step = RequestStep::Rollback;
    else
      return Unknown;
    std::optional<TransactionIdParts> Id = parseTransactionId(Parts[2]);
    if (!Id)
      return Problem{ErrorCode::TransactionLost, Outcome::NotRun,
                     "the transaction id was not issued by this service"};
    Found.Transaction = Parts[2];
    Found.Group = std::move(Id->Group);
    return Found;
  }
  if (Parts[1].empty() || !isGroupNumber(Parts[2]))
    return Unknown;
  if (Parts[3] == "statements")
    Found.Step = RequestStep::Statement;
  else if (Parts[3] == "transactions")
    Found.Step = RequestStep::Begin;
  else
    return Unknown;
  Found.Group = Target.substr(4, Parts[1].size() + 1 + Parts[2].size());
  return Found;
}

bool hasStatement(RequestStep Step) {
  return Step == RequestStep::Statement ||
         Step == RequestStep::TransactionStatement;
}

std::optional<Problem> readBody(std::string_view Body,
                                const CallerTimeouts &Timeouts, TimePoint Now,
                                CallerRequest &Request) {
  BodyReader Reader;
  if (Body.empty() && !hasStatement(Request.Step))
    Body = "{}";
  if (!Reader.read(Body, false))
    return badRequest(std::move(Reader.Error));
  auto UnexpectedMember = [&](std::string_view Name) {
    return badRequest("the member \"" + std::string(Name) +
                      "\" is not allowed in this request");
  };
  if (hasStatement(Request.Step)) {
    if (!Reader.StatementEnd)
      return badRequest("the member \"statement\" is missing");
    if (!Reader.Kind)
      return badRequest("the member \"kind\" is missing");
    std::optional<StatementKind> Kind = statementKindOf(*Reader.Kind);
    if (!Kind)
      return badRequest(R"(the member "kind" must be "read" or "write")");
    Request.Kind = *Kind;
    Request.Statement = Reader.statement();
    Request.StatementDigest = Reader.Shape.value();
    Request.Fingerprint = fingerprintOf(*Kind, Request.Statement);
  } else if (Reader.StatementEnd) {
    return UnexpectedMember("statement");
  } else if (Reader.Kind) {
    return UnexpectedMember("kind");
  }
  if (Reader.MaximumAge) {
    if (Request.Step != RequestStep::Statement ||
        Request.Kind != StatementKind::Read)
      return badRequest("\"max_age_ms\" is only allowed in a single read");
    Request.MaximumAge =
        Milliseconds(std::min<std::uint64_t>(*Reader.MaximumAge, 1000000000U));
  }
  if (Reader.WorkClass.size() > MaximumClassBytes)
    return badRequest("the member \"class\" is longer than 64 bytes");
  Request.WorkClass = std::move(Reader.WorkClass);
  Milliseconds Timeout = Timeouts.Default;
  if (Reader.Timeout) {
    auto Maximum = static_cast<std::uint64_t>(Timeouts.Maximum.count());
    if (*Reader.Timeout == 0 || *Reader.Timeout > Maximum)
      return badRequest("\"timeout_ms\" must be between 1 and " +
                        std::to_string(Maximum));
    Timeout = Milliseconds(*Reader.Timeout);
  }
  Request.Deadline = Now + Timeout;
  return std::nullopt;
}

bool isValidKey(std::string_view Key) {
  return Key.size() <= MaximumKeyBytes &&
         std::all_of(Key.begin(), Key.end(),
                     [](char C) { return C >= ' ' && C <= '~'; });
}

bool changesData(const CallerRequest &Request) {
  return Request.Step == RequestStep::Commit ||
         (hasStatement(Request.Step) && Request.Kind == StatementKind::Write);
}

void appendMember(std::string &Out, std::string_view Name,
                  std::uint64_t Value) {
  Out += ",\"";
  Out += Name;
  Out += "\":";
  Out += std::to_string(Value);
}

} // namespace

std::variant<CallerRequest, Problem>
parseCallerRequest(const CallerHttpRequest &Request,
                   const CallerTimeouts &Timeouts, TimePoint Now) {
  std::variant<Route, Problem> Target = parseTarget(Request.Target);
  if (auto *Error = std::get_if<Problem>(&Target))
    return std::move(*Error);
  if (Request.Method != "POST")
    return Problem{ErrorCode::BadRequest, Outcome::NotRun,
                   "only POST is allowed here", Milliseconds(0), 405};
  auto &Found = std::get<Route>(Target);
  CallerRequest Result;
  Result.Step = Found.Step;
  Result.Group = std::move(Found.Group);
  Result.Transaction = std::move(Found.Transaction);
  if (auto Error = readBody(Request.Body, Timeouts, Now, Result))
    return std::move(*Error);
  if (!isValidKey(Request.IdempotencyKey))
    return badRequest("the header Idempotency-Key must be at most 255 "
                      "printable ASCII characters");
  if (changesData(Result))
    Result.Key = Request.IdempotencyKey;
  Result.Caller = Request.Caller;
  if (Request.TraceParent.size() == TraceParentBytes)
    Result.TraceParent = Request.TraceParent;
  return Result;
}

HttpResponse makeCallerResponse(const CallerRequest &Request,
                                const CallerAnswer &Answer, TimePoint Now) {
  if (Answer.Error != ErrorCode::None)
    return makeProblemResponse(
        {Answer.Error, Answer.Result, Answer.Detail, Answer.RetryAfter, 0});
  HttpResponse Response;
  Response.Status = Request.Step == RequestStep::Begin ? 201 : 200;
  Response.Headers.emplace_back("Content-Type", "application/json");
  std::string &Body = Response.Body;
  if (Request.Step == RequestStep::Begin) {
    Body += R"({"transaction":)";
    appendJsonString(Body, Answer.Transaction);
    auto Left =
        std::chrono::duration_cast<Milliseconds>(Request.Deadline - Now);
    appendMember(
        Body, "expires_ms",
        static_cast<std::uint64_t>(std::max<std::int64_t>(Left.count(), 0)));
    Body += '}';
    return Response;
  }
  Body.reserve(Answer.Body.size() + Answer.Database.size() + 128);
  Body += R"({"outcome":)";
  appendJsonString(Body, nameOf(Answer.Result));
  if (hasStatement(Request.Step)) {
    Body += R"(,"result":)";
    Body += Answer.Body.empty() ? "null" : Answer.Body;
  }
  if (Answer.Seen) {
    appendMember(Body, "term", Answer.Seen->Term);
    appendMember(Body, "index", Answer.Seen->Index);
  }
  if (!Answer.Database.empty()) {
    Body += R"(,"database":)";
    appendJsonString(Body, Answer.Database);
  }
  if (hasStatement(Request.Step)) {
    appendMember(Body, "age_ms",
                 static_cast<std::uint64_t>(
                     std::max<std::int64_t>(Answer.Age.count(), 0)));
  }
  if (Request.Step != RequestStep::Rollback)
    Body += Answer.Replayed ? R"(,"replayed":true)" : R"(,"replayed":false)";
  Body += '}';
  return Response;
}

std::optional<std::uint64_t> statementDigestOf(std::string_view Statement) {
  BodyReader Reader;
  if (!Reader.read(Statement, true))
    return std::nullopt;
  return Reader.Shape.value();
}

std::uint64_t fingerprintOf(StatementKind Kind, std::string_view Statement) {
  return XXH3_64bits_withSeed(Statement.data(), Statement.size(),
                              static_cast<XXH64_hash_t>(Kind) + 1);
}

} // namespace nutmegloom
