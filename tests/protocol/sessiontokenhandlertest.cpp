#include "protocol/sessiontokenhandler.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class SessionTokenHandlerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTokenHandlerTest);
  CPPUNIT_TEST(carriesPositionBetweenRequests);
  CPPUNIT_TEST(readsAtPrimaryWithUnreadableToken);
  CPPUNIT_TEST(continuesAfterLostWrite);
  CPPUNIT_TEST_SUITE_END();

  SessionTokenCodec Tokens_{{{"k", "0123456789abcdef"}}};
  SessionTokenHandler TokenHandler_{Tokens_, [] { return std::string("new"); }};

  static CallerAnswer answerAt(std::uint64_t Term, std::uint64_t Index) {
    CallerAnswer Answer;
    Answer.Seen = Position{Term, Index};
    return Answer;
  }

  /// A session must never read older data than it has seen, even if an answer
  /// is older than the token.
  void carriesPositionBetweenRequests() {
    CallerRequest Request;
    Request.Group = "s/0";
    Request.Caller = "127.0.0.1";
    SessionContext First = TokenHandler_.applyToken("", Request);
    CPPUNIT_ASSERT(!Request.Required);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), Request.Caller);
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         TokenHandler_.responseToken(First, "s/0", {}));
    std::string Token =
        TokenHandler_.responseToken(First, "s/0", answerAt(2, 7));

    SessionContext Second = TokenHandler_.applyToken(Token, Request);
    CPPUNIT_ASSERT((Request.Required == Position{2, 7}));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), Request.Caller);
    CPPUNIT_ASSERT_EQUAL(
        Token, TokenHandler_.responseToken(Second, "s/0", answerAt(2, 6)));
    CPPUNIT_ASSERT_EQUAL(Token, TokenHandler_.responseToken(Second, "s/0", {}));
    Token = TokenHandler_.responseToken(Second, "s/0", answerAt(3, 1));
    TokenHandler_.applyToken(Token, Request);
    CPPUNIT_ASSERT((Request.Required == Position{3, 1}));
    Request.Group = "s/1";
    TokenHandler_.applyToken(Token, Request);
    CPPUNIT_ASSERT(Request.Required == Position());
  }

  /// After an invalid token the session's positions are unknown. Its next token
  /// must not let replicas of other groups serve data that is too old.
  void readsAtPrimaryWithUnreadableToken() {
    CallerRequest Request;
    Request.Group = "s/0";
    Request.MaximumAge = Milliseconds(1000);
    SessionContext Session = TokenHandler_.applyToken("unreadable", Request);
    CPPUNIT_ASSERT(!Request.Required);
    CPPUNIT_ASSERT(!Request.MaximumAge);
    std::string Token =
        TokenHandler_.responseToken(Session, "s/0", answerAt(1, 1));
    Request.Group = "s/1";
    TokenHandler_.applyToken(Token, Request);
    CPPUNIT_ASSERT(!Request.Required);
  }

  /// After write_lost the session must be able to continue. Its next read must
  /// go to the primary, not to a stale replica.
  void continuesAfterLostWrite() {
    CallerRequest Request;
    Request.Group = "s/0";
    std::string Token = TokenHandler_.responseToken(
        TokenHandler_.applyToken("", Request), "s/0", answerAt(1, 9));
    CallerAnswer Lost;
    Lost.Error = ErrorCode::WriteLost;
    Token = TokenHandler_.responseToken(
        TokenHandler_.applyToken(Token, Request), "s/0", Lost);
    TokenHandler_.applyToken(Token, Request);
    CPPUNIT_ASSERT(!Request.Required);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTokenHandlerTest);

} // namespace nutmegloom
