#include "protocol/databasecodec.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

namespace {

DatabaseRequest requestOf(DatabaseOperation Operation) {
  DatabaseRequest Request;
  Request.Operation = Operation;
  Request.Exchange = 7;
  return Request;
}

std::variant<DatabaseAnswer, DatabaseFailure>
decode(DatabaseOperation Operation, int Status, const std::string &Body) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Body = Body;
  return decodeDatabaseAnswer(requestOf(Operation), Response);
}

std::string resultOf(const std::string &Result) {
  auto Decoded = decode(DatabaseOperation::Execute, 200,
                        R"({"exchange":"7","log_term":1,"index":2,"result": )" +
                            Result + "}");
  if (auto *Failure = std::get_if<DatabaseFailure>(&Decoded))
    CPPUNIT_FAIL(Failure->Detail);
  return std::get<DatabaseAnswer>(Decoded).Result;
}

} // namespace

class DatabaseCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabaseCodecTest);
  CPPUNIT_TEST(writesRequests);
  CPPUNIT_TEST(readsAnswer);
  CPPUNIT_TEST(keepsResultText);
  CPPUNIT_TEST(readsRefusals);
  CPPUNIT_TEST(rejectsUnusableAnswers);
  CPPUNIT_TEST_SUITE_END();

  /// Special characters in a key must be escaped, or the request would not be
  /// valid JSON.
  void writesRequests() {
    DatabaseRequest Request = requestOf(DatabaseOperation::Execute);
    Request.Term = 3;
    Request.Kind = StatementKind::Write;
    Request.Statement = R"({"op":"put","value":1.50})";
    Request.Key = "k\"1";
    Request.Fingerprint = 18446744073709551615U;
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"exchange":"7","term":3,"key":"k\"1",)"
                    R"("fingerprint":18446744073709551615,"kind":"write",)"
                    R"("statement":{"op":"put","value":1.50}})"),
        encodeDatabaseRequest(Request).Body);
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"({"exchange":"7","term":0})"),
        encodeDatabaseRequest(requestOf(DatabaseOperation::Begin)).Body);
  }

  void readsAnswer() {
    auto Decoded =
        decode(DatabaseOperation::Execute, 200,
               R"({"exchange":"7","database":"db1","term":3,"log_term":2,)"
               R"("index":41,"result":{"index":9,"terms":[{"x":1}]},)"
               R"("replayed":true,"age_ms":12,"new":{"a":[1]},)"
               R"("terms":[{"term":1,"start":0},{"start":30,"term":2}]})");
    const auto &Answer = std::get<DatabaseAnswer>(Decoded);
    CPPUNIT_ASSERT_EQUAL(ExchangeId(7), Answer.Exchange);
    CPPUNIT_ASSERT_EQUAL(std::string("db1"), Answer.Database);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Answer.Term);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Answer.LogTerm);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(41), Answer.Index);
    CPPUNIT_ASSERT(Answer.Replayed);
    CPPUNIT_ASSERT(Answer.Age == Milliseconds(12));
    CPPUNIT_ASSERT(Answer.Terms == (TermHistory{{1, 0}, {2, 30}}));
    auto Closed = decode(DatabaseOperation::CloseKey, 200,
                         R"({"exchange":"7","state":"closed"})");
    CPPUNIT_ASSERT(std::get<DatabaseAnswer>(Closed).Key == KeyState::Closed);
    auto Begun = decode(DatabaseOperation::Begin, 200,
                        R"({"exchange":"7","transaction":"t1"})");
    CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                         std::get<DatabaseAnswer>(Begun).Transaction);
  }

  /// The text of a result must be passed on unchanged: numbers must not be
  /// rounded and keys must not be reordered.
  void keepsResultText() {
    for (const std::string &Result :
         {std::string("null"), std::string("true"), std::string("-1"),
          std::string("12"), std::string("1.50"), std::string("[]"),
          std::string("123456789012345678901234567890"),
          std::string("\"a \\u00e9 }\""),
          std::string("{\"z\":{\"result\":1},\"a\":[1, 2.0]}")})
      CPPUNIT_ASSERT_EQUAL(Result, resultOf(Result));
    CPPUNIT_ASSERT_EQUAL(std::string("5"), resultOf("5 , \"age_ms\":1"));
  }

  /// A rejection must not be taken for a broken connection: the statement was
  /// not executed, so its outcome needs no settlement.
  void readsRefusals() {
    auto Decoded = decode(DatabaseOperation::Execute, 409,
                          R"({"error":"term_mismatch","term":5,"detail":"d"})");
    const auto &Failure = std::get<DatabaseFailure>(Decoded);
    CPPUNIT_ASSERT(Failure.Kind == DatabaseFailureKind::TermMismatch);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), Failure.Term);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), Failure.Detail);
  }

  /// An answer that is truncated or belongs to another exchange must not be
  /// returned to a caller.
  void rejectsUnusableAnswers() {
    for (const std::string &Body :
         {std::string(), std::string("[]"), std::string("7"),
          std::string(R"({"exchange":"7","log_term":1,"index":2)"),
          std::string(R"({"exchange":"8","log_term":1,"index":2})"),
          std::string(R"({"log_term":1,"index":2})"),
          std::string(R"({"exchange":"7","index":2})"),
          std::string(R"({"exchange":"7","log_term":1})"),
          std::string(R"({"exchange":"7","log_term":"1","index":2})"),
          std::string(R"({"exchange":"7","log_term":1,"index":-2})"),
          std::string(R"({"exchange":"7","log_term":1,"index":2,"index":3})"),
          std::string(R"({"exchange":"7","log_term":1,"index":2,)"
                      R"("terms":[{"term":1}]})"),
          std::string(R"({"exchange":"7","log_term":1,"index":2,)"
                      R"("terms":[7]})")}) {
      auto Decoded = decode(DatabaseOperation::Execute, 200, Body);
      const auto *Failure = std::get_if<DatabaseFailure>(&Decoded);
      CPPUNIT_ASSERT_MESSAGE(
          Body, Failure && Failure->Kind == DatabaseFailureKind::Malformed);
    }
    auto Unknown = decode(DatabaseOperation::Execute, 500, R"({"error":"x"})");
    CPPUNIT_ASSERT(std::get<DatabaseFailure>(Unknown).Kind ==
                   DatabaseFailureKind::Malformed);
    auto Other = decode(DatabaseOperation::Execute, 409,
                        R"({"exchange":"8","error":"term_mismatch"})");
    CPPUNIT_ASSERT(std::get<DatabaseFailure>(Other).Kind ==
                   DatabaseFailureKind::Malformed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabaseCodecTest);

} // namespace nutmegloom
