#include "platform/linecodec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace nutmegloom {

class LineCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LineCodecTest);
  CPPUNIT_TEST(readsCallersMessages);
  CPPUNIT_TEST(rejectsUnsupportedStatements);
  CPPUNIT_TEST(rejectsStatementsWithAMissingField);
  CPPUNIT_TEST(keepsTheFieldsOfPreparations);
  CPPUNIT_TEST(keepsForwardedTextUnchanged);
  CPPUNIT_TEST(writesCommands);
  CPPUNIT_TEST(readsAnswers);
  CPPUNIT_TEST(rejectsLinesOutOfOrder);
  CPPUNIT_TEST(readsReports);
  CPPUNIT_TEST(positionsRoundTrip);
  CPPUNIT_TEST(handlesArbitraryLines);
  CPPUNIT_TEST_SUITE_END();

  static CallerStatement statement(std::string_view Line) {
    return std::get<CallerStatement>(line::readCallerMessage(Line));
  }

  void readsCallersMessages() {
    auto Start = std::get<line::Start>(line::readCallerMessage("START d1 u7"));
    CPPUNIT_ASSERT_EQUAL(std::string("d1"), Start.Database);
    CallerStatement Prepare = statement("QUERY i1 PREPARE s1 WRITE q2 c");
    CPPUNIT_ASSERT(Prepare.Verb == StatementVerb::Prepare);
    CPPUNIT_ASSERT(Prepare.Access == StatementKind::Write);
    CPPUNIT_ASSERT_EQUAL(std::string("q2 c"), Prepare.Argument);
    CallerStatement Execute =
        statement("QUERY i1 EXECUTE s1 1a4 data and more");
    CPPUNIT_ASSERT_EQUAL(std::string("1a4 data and more"), Execute.Argument);
    CPPUNIT_ASSERT(statement("QUERY i BEGIN").Verb == StatementVerb::Begin);
    CPPUNIT_ASSERT(statement("QUERY i BEGIN READ").Verb ==
                   StatementVerb::BeginRead);
  }

  // Callers must not be able to run commands that only the proxy may send.
  void rejectsUnsupportedStatements() {
    for (const char *Text :
         {"QUERY i WAITFOR 1.2 READ x", "QUERY i STATUS", "QUERY i RESET",
          "QUERY i STEPDOWN 5", "QUERY i COMMIT now", "QUERY i READ",
          "QUERY i PREPARE s OTHER q", "QUERY i"})
      CPPUNIT_ASSERT(statement(Text).Verb == StatementVerb::Unreadable);
    CPPUNIT_ASSERT(std::holds_alternative<line::Malformed>(
        line::readCallerMessage("HELLO there")));
  }

  // Guards against a statement that reaches a database under another id, name
  // or text than its caller sent.
  void rejectsStatementsWithAMissingField() {
    for (const char *Text :
         {"QUERY  READ x", "QUERY - READ x", "QUERY i SET  value",
          "QUERY i PREPARE s READ", "QUERY i PREPARE s WRITE ",
          "QUERY i PREPARE  READ q"})
      CPPUNIT_ASSERT(statement(Text).Verb == StatementVerb::Unreadable);
  }

  /// Returns the text before the next blank and removes both from Rest.
  static std::string takeWord(std::string &Rest) {
    std::size_t End = std::min(Rest.find(' '), Rest.size());
    std::string Word = Rest.substr(0, End);
    Rest.erase(0, End + 1);
    return Word;
  }

  // Guards against field boundaries that move between a caller's message and
  // the command that a database gets.
  void keepsTheFieldsOfPreparations() {
    auto Any = rc::gen::container<std::string>(rc::gen::element(' ', 'a', 'b'));
    bool Holds = rc::check("any fields", [Any] {
      std::string Verb = *rc::gen::element<std::string>("SET", "PREPARE");
      std::string Access = Verb == "PREPARE" ? " READ " : " ";
      CallerStatement Sent =
          statement("QUERY i " + Verb + " " + *Any + Access + *Any);
      if (Sent.Verb == StatementVerb::Unreadable)
        return;
      DatabaseCommand Command;
      bool Prepares = Sent.Verb == StatementVerb::Prepare;
      Command.Verb = Prepares ? CommandVerb::Prepare : CommandVerb::SetVariable;
      Command.Name = Sent.Name;
      Command.Text = Sent.Argument;
      std::string Rest = line::writeCommand(Command);
      Rest.resize(Rest.size() - std::string_view("\r\n").size());
      RC_ASSERT(takeWord(Rest) == "QUERY");
      RC_ASSERT(takeWord(Rest) == "-");
      RC_ASSERT(takeWord(Rest) == Verb);
      RC_ASSERT(takeWord(Rest) == Sent.Name);
      if (Prepares)
        RC_ASSERT(takeWord(Rest) == "READ");
      RC_ASSERT(Rest == Sent.Argument);
    });
    CPPUNIT_ASSERT(Holds);
  }

  void keepsForwardedTextUnchanged() {
    DatabaseCommand Command;
    Command.Id = "5c0e";
    Command.Text = statement("QUERY 5c0e WRITE 1a4  two  blanks").Text;
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e WRITE 1a4  two  blanks\r\n"),
                         line::writeCommand(Command));
  }

  void writesCommands() {
    DatabaseCommand Command;
    Command.Id = "i";
    Command.Text = "1a4";
    Command.Name = "r_q";
    Command.MinimumPosition = Position{3, 12};
    CPPUNIT_ASSERT_EQUAL(
        std::string("QUERY i WAITFOR 3.12 EXECUTE r_q 1a4\r\n"),
        line::writeCommand(Command));
    DatabaseCommand Begin;
    Begin.Verb = CommandVerb::BeginRead;
    Begin.MinimumPosition = Position{3, 12};
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - WAITFOR 3.12 BEGIN READ\r\n"),
                         line::writeCommand(Begin));
  }

  void readsAnswers() {
    line::AnswerReader Reader;
    using Progress = line::AnswerReader::Progress;
    CPPUNIT_ASSERT(Reader.add("DATAROW a b") == Progress::Incomplete);
    CPPUNIT_ASSERT(Reader.add("COMPLETE 7.1f") == Progress::Incomplete);
    CPPUNIT_ASSERT(Reader.add("READY T 3.9") == Progress::Complete);
    StatementAnswer Answer = Reader.take();
    CPPUNIT_ASSERT(Answer.Rows == std::vector<std::string>{"a b"});
    CPPUNIT_ASSERT(Answer.State == TransactionStatus::InTransaction);
    CPPUNIT_ASSERT(Answer.Log == (Position{3, 9}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("DATAROW a b\r\nCOMPLETE 7.1f\r\nREADY T 3.9\r\n"),
        line::writeAnswer(Answer));
    Reader.add("ERROR LAGGING i-1 more");
    Reader.add("READY I -");
    StatementAnswer Behind = Reader.take();
    CPPUNIT_ASSERT(Behind.Code == StatementCode::Behind);
    CPPUNIT_ASSERT(Behind.Rows.empty());
  }

  // Rows after COMPLETE do not belong to the answer.
  void rejectsLinesOutOfOrder() {
    line::AnswerReader Reader;
    Reader.add("COMPLETE x");
    CPPUNIT_ASSERT(Reader.add("DATAROW y") ==
                   line::AnswerReader::Progress::Malformed);
    line::AnswerReader Other;
    CPPUNIT_ASSERT(Other.add("READY Q 1.1") ==
                   line::AnswerReader::Progress::Malformed);
  }

  void readsReports() {
    auto Report = line::readReport("replica 3 3.1209 4 12 2 17");
    CPPUNIT_ASSERT(Report);
    CPPUNIT_ASSERT(Report->Role == DatabaseRole::Replica);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), Report->PausedTerm);
    CPPUNIT_ASSERT(Report->Received == (Position{3, 1209}));
    CPPUNIT_ASSERT(!line::readReport("other 3 3.1 0 0 0 0"));
    CPPUNIT_ASSERT(!line::readReport("primary x 3.1 0 0 0 0"));
    CPPUNIT_ASSERT(!line::readReport("primary 3"));
  }

  void positionsRoundTrip() {
    bool Holds = rc::check("positions", [] {
      Position At{*rc::gen::arbitrary<std::uint64_t>(),
                  *rc::gen::arbitrary<std::uint64_t>()};
      std::string Ready = line::writeReady(TransactionStatus::Idle, At);
      line::AnswerReader Reader;
      Reader.add(std::string_view(Ready).substr(0, Ready.size() - 2));
      RC_ASSERT(Reader.take().Log == At);
    });
    CPPUNIT_ASSERT(Holds);
    CPPUNIT_ASSERT(!line::readPosition("3."));
    CPPUNIT_ASSERT(!line::readPosition("-1.5"));
    CPPUNIT_ASSERT(!line::readPosition("99999999999999999999.1"));
  }

  void handlesArbitraryLines() {
    bool Holds = rc::check("any line", [](const std::string &Text) {
      line::readCallerMessage(Text);
      line::readCallerMessage("QUERY " + Text);
      line::AnswerReader Reader;
      Reader.add(Text);
      line::readReport(Text);
    });
    CPPUNIT_ASSERT(Holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineCodecTest);

} // namespace nutmegloom
