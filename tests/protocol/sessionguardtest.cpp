#include "protocol/sessionguard.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class SessionGuardTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionGuardTest);
  CPPUNIT_TEST(carriesPositionBetweenRequests);
  CPPUNIT_TEST(readsAtPrimaryWithUnreadableToken);
  CPPUNIT_TEST(goesOnAfterLostWrite);
  CPPUNIT_TEST_SUITE_END();

  SessionTokenCodec Tokens_{{{"k", "0123456789abcdef"}}};
  SessionGuard Guard_{Tokens_, [] { return std::string("new"); }};

  static CallerAnswer answerAt(std::uint64_t Term, std::uint64_t Index) {
    CallerAnswer Answer;
    Answer.Seen = Position{Term, Index};
    return Answer;
  }

  /// Guards against a session that reads older data than it has seen, also
  /// when an answer is older than the token.
  void carriesPositionBetweenRequests() {
    CallerRequest Request;
    Request.Group = "s/0";
    Request.Caller = "127.0.0.1";
    SessionView First = Guard_.open("", Request);
    CPPUNIT_ASSERT(!Request.Required);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), Request.Caller);
    CPPUNIT_ASSERT_EQUAL(std::string(), Guard_.close(First, "s/0", {}));
    std::string Token = Guard_.close(First, "s/0", answerAt(2, 7));

    SessionView Second = Guard_.open(Token, Request);
    CPPUNIT_ASSERT((Request.Required == Position{2, 7}));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), Request.Caller);
    CPPUNIT_ASSERT_EQUAL(Token, Guard_.close(Second, "s/0", answerAt(2, 6)));
    CPPUNIT_ASSERT_EQUAL(Token, Guard_.close(Second, "s/0", {}));
    Token = Guard_.close(Second, "s/0", answerAt(3, 1));
    Guard_.open(Token, Request);
    CPPUNIT_ASSERT((Request.Required == Position{3, 1}));
    Request.Group = "s/1";
    Guard_.open(Token, Request);
    CPPUNIT_ASSERT(Request.Required == Position());
  }

  /// Guards against a session whose token was lost on the way and whose next
  /// token makes replicas of other groups look fresh enough.
  void readsAtPrimaryWithUnreadableToken() {
    CallerRequest Request;
    Request.Group = "s/0";
    Request.MaximumAge = Milliseconds(1000);
    SessionView View = Guard_.open("unreadable", Request);
    CPPUNIT_ASSERT(!Request.Required);
    CPPUNIT_ASSERT(!Request.MaximumAge);
    std::string Token = Guard_.close(View, "s/0", answerAt(1, 1));
    Request.Group = "s/1";
    Guard_.open(Token, Request);
    CPPUNIT_ASSERT(!Request.Required);
  }

  /// Guards against a session that gets write_lost for ever, and against one
  /// that reads at a stale replica after it.
  void goesOnAfterLostWrite() {
    CallerRequest Request;
    Request.Group = "s/0";
    std::string Token =
        Guard_.close(Guard_.open("", Request), "s/0", answerAt(1, 9));
    CallerAnswer Lost;
    Lost.Error = ErrorCode::WriteLost;
    Token = Guard_.close(Guard_.open(Token, Request), "s/0", Lost);
    Guard_.open(Token, Request);
    CPPUNIT_ASSERT(!Request.Required);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionGuardTest);

} // namespace nutmegloom
