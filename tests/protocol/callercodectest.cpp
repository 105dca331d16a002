#include "protocol/callercodec.h"

#include "core/transactionid.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

namespace {

constexpr TimePoint Start{};

std::variant<CallerRequest, Problem> parse(std::string_view Target,
                                           std::string_view Body,
                                           std::string_view Key = {}) {
  return parseCallerRequest({.Method = "POST",
                             .Target = Target,
                             .Body = Body,
                             .IdempotencyKey = Key,
                             .TraceParent = {},
                             .Caller = "127.0.0.1"},
                            {}, Start);
}

CallerRequest parsed(std::string_view Target, std::string_view Body,
                     std::string_view Key = {}) {
  auto Result = parse(Target, Body, Key);
  if (auto *Error = std::get_if<Problem>(&Result))
    CPPUNIT_FAIL(Error->Detail);
  return std::get<CallerRequest>(Result);
}

constexpr std::string_view Statements = "/v1/salas-db/0/statements";

} // namespace

class CallerCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerCodecTest);
  CPPUNIT_TEST(keepsStatementText);
  CPPUNIT_TEST(readsSteps);
  CPPUNIT_TEST(refusesInvalidRequests);
  CPPUNIT_TEST(shapeIgnoresValues);
  CPPUNIT_TEST(fingerprintDistinguishesStatements);
  CPPUNIT_TEST(writesAnswers);
  CPPUNIT_TEST(writesProblems);
  CPPUNIT_TEST_SUITE_END();

  /// The text of a statement must be passed on unchanged: numbers must not be
  /// rounded, and no text of other members may be included.
  void keepsStatementText() {
    CallerRequest Request =
        parsed(Statements,
               R"( {"kind":"write", "timeout_ms":250 ,"statement" : {"op":"put",
                "value":[{"s":"}\""},1.00000000000000000001] } ,"class":"c"})",
               "k1");
    CPPUNIT_ASSERT_EQUAL(std::string(R"({"op":"put",
                "value":[{"s":"}\""},1.00000000000000000001] })"),
                         Request.Statement);
    CPPUNIT_ASSERT(Request.Kind == StatementKind::Write);
    CPPUNIT_ASSERT_EQUAL(std::string("salas-db/0"), Request.Group);
    CPPUNIT_ASSERT_EQUAL(std::string("k1"), Request.Key);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Request.WorkClass);
    CPPUNIT_ASSERT(Request.Deadline == Start + Milliseconds(250));
    CallerRequest Read =
        parsed(Statements, R"({"statement":{},"kind":"read","max_age_ms":7})",
               "ignored");
    CPPUNIT_ASSERT(Read.MaximumAge == Milliseconds(7));
    CPPUNIT_ASSERT(Read.Key.empty());
    CPPUNIT_ASSERT(Read.Deadline == Start + Milliseconds(5000));
  }

  /// Each path must select the right step, transaction and group.
  void readsSteps() {
    CPPUNIT_ASSERT(parsed("/v1/a/12/transactions", "").Step ==
                   RequestStep::Begin);
    std::string Id = makeTransactionId("host-1", "a/12", "7");
    CallerRequest Commit = parsed("/v1/transactions/" + Id + "/commit", "{}");
    CPPUNIT_ASSERT(Commit.Step == RequestStep::Commit);
    CPPUNIT_ASSERT_EQUAL(Id, Commit.Transaction);
    CPPUNIT_ASSERT_EQUAL(std::string("a/12"), Commit.Group);
    CPPUNIT_ASSERT(parsed("/v1/transactions/" + Id + "/rollback", "").Step ==
                   RequestStep::Rollback);
    CPPUNIT_ASSERT(parsed("/v1/transactions/" + Id + "/statements",
                          R"({"statement":{},"kind":"read"})")
                       .Step == RequestStep::TransactionStatement);
  }

  /// An invalid request must be rejected. Otherwise it would be executed in a
  /// way that its caller did not intend.
  void refusesInvalidRequests() {
    struct Case {
      std::string_view Target, Body;
      ErrorCode Code;
      std::string_view Detail;
    };
    const std::string Deep(100000, '[');
    for (const Case &Each : std::initializer_list<Case>{
             {"/v1/a/0/statement", "{}", ErrorCode::NotFound, "no resource"},
             {"/v1/a/x/statements", "{}", ErrorCode::NotFound, "no resource"},
             {"/v1/a/0/statements/", "{}", ErrorCode::NotFound, "no resource"},
             {"/v1/transactions/t/commit", "{}", ErrorCode::TransactionLost,
              "id"},
             {Statements, "", ErrorCode::BadRequest, "JSON"},
             {Statements, "[]", ErrorCode::BadRequest, "array"},
             {Statements, Deep, ErrorCode::BadRequest, "array"},
             {Statements, R"({"statement":{"a":1)", ErrorCode::BadRequest,
              "JSON at byte"},
             {Statements, R"({"kind":"read"})", ErrorCode::BadRequest,
              "statement"},
             {Statements, R"({"statement":{}})", ErrorCode::BadRequest, "kind"},
             {Statements, R"({"statement":"x","kind":"read"})",
              ErrorCode::BadRequest, "must be an object, not a string"},
             {Statements, R"({"statement":{},"kind":"scan"})",
              ErrorCode::BadRequest, "read"},
             {Statements, R"({"statement":{},"kind":"read","max_age":1})",
              ErrorCode::BadRequest, "unknown"},
             {Statements, R"({"statement":{},"kind":"read","kind":"write"})",
              ErrorCode::BadRequest, "twice"},
             {Statements, R"({"statement":{},"kind":"read","max_age_ms":-1})",
              ErrorCode::BadRequest, "negative"},
             {Statements, R"({"statement":{},"kind":"write","max_age_ms":1})",
              ErrorCode::BadRequest, "max_age_ms"},
             {Statements, R"({"statement":{},"kind":"read","timeout_ms":0})",
              ErrorCode::BadRequest, "between"},
             {Statements,
              R"({"statement":{},"kind":"read","timeout_ms":30001})",
              ErrorCode::BadRequest, "between"},
             {"/v1/a/0/transactions", R"({"kind":"read"})",
              ErrorCode::BadRequest, "kind"},
         }) {
      auto Result = parse(Each.Target, Each.Body);
      auto *Error = std::get_if<Problem>(&Result);
      std::string Message(Each.Body.substr(0, 80));
      CPPUNIT_ASSERT_MESSAGE(Message, Error);
      CPPUNIT_ASSERT_MESSAGE(Message, Error->Code == Each.Code);
      CPPUNIT_ASSERT_MESSAGE(Message + ": " + Error->Detail,
                             Error->Detail.find(Each.Detail) !=
                                 std::string::npos);
    }
    auto LongKey = parse(Statements, R"({"statement":{},"kind":"write"})",
                         std::string(256, 'k'));
    CPPUNIT_ASSERT(std::holds_alternative<Problem>(LongKey));
  }

  /// Service times are learned for each shape. It must not depend on values,
  /// but must differ between different statements.
  void shapeIgnoresValues() {
    auto Get = statementDigestOf(R"({"op":"get","key":"a"})");
    CPPUNIT_ASSERT(Get);
    CPPUNIT_ASSERT(Get == statementDigestOf(R"({"op":"get", "key":"b"})"));
    CPPUNIT_ASSERT(Get == statementDigestOf(R"({"op":"get","key":5})"));
    CPPUNIT_ASSERT(Get != statementDigestOf(R"({"op":"put","key":"a"})"));
    CPPUNIT_ASSERT(Get != statementDigestOf(R"({"op":"get","prefix":"a"})"));
    CPPUNIT_ASSERT(statementDigestOf(R"({"a":{"b":1}})") !=
                   statementDigestOf(R"({"a":1,"b":1})"));
    CPPUNIT_ASSERT(!statementDigestOf("17"));
    CPPUNIT_ASSERT(
        parsed(Statements,
               R"({"statement":{"op":"get","key":"z"},"kind":"read"})")
            .StatementDigest == *Get);
  }

  /// Statements with equal fingerprints would let a reused key return the
  /// outcome of another statement.
  void fingerprintDistinguishesStatements() {
    CPPUNIT_ASSERT(fingerprintOf(StatementKind::Write, "{}") !=
                   fingerprintOf(StatementKind::Read, "{}"));
    CPPUNIT_ASSERT(fingerprintOf(StatementKind::Write, R"({"a":1})") !=
                   fingerprintOf(StatementKind::Write, R"({"a":2})"));
  }

  void writesAnswers() {
    CallerRequest Request =
        parsed(Statements, R"({"statement":{"op":"get"},"kind":"read"})");
    CallerAnswer Answer;
    Answer.Result = Outcome::Run;
    Answer.Body = R"({"v":[1]})";
    Answer.Seen = Position{3, 41};
    Answer.Database = "db\"1";
    Answer.Age = Milliseconds(12);
    HttpResponse Response = makeCallerResponse(Request, Answer, Start);
    CPPUNIT_ASSERT_EQUAL(200, Response.Status);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"outcome":"run","result":{"v":[1]},"term":3,)"
                    R"("index":41,"database":"db\"1","age_ms":12,)"
                    R"("replayed":false})"),
        Response.Body);
    Request = parsed("/v1/a/0/transactions", "");
    Answer.Transaction = "t1";
    Response = makeCallerResponse(Request, Answer, Start);
    CPPUNIT_ASSERT_EQUAL(201, Response.Status);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"transaction":"t1","expires_ms":5000})"),
        Response.Body);
  }

  /// Every error response must tell the caller the outcome.
  void writesProblems() {
    CallerAnswer Answer;
    Answer.Result = Outcome::NotRun;
    Answer.Error = ErrorCode::NoPrimary;
    Answer.Detail = "bad \xff byte";
    Answer.RetryAfter = Milliseconds(1200);
    HttpResponse Response = makeCallerResponse({}, Answer, Start);
    CPPUNIT_ASSERT_EQUAL(503, Response.Status);
    CPPUNIT_ASSERT_EQUAL(
        std::string(
            R"({"type":"about:blank","title":"The group has no primary",)"
            R"("status":503,"detail":"bad )"
            "\xef\xbf\xbd"
            R"( byte","code":"no_primary","outcome":"not_run",)"
            R"("retry_after_ms":1200})"),
        Response.Body);
    CPPUNIT_ASSERT(Response.Headers.back().second == "2");
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerCodecTest);

} // namespace nutmegloom
