#include "protocol/sessiontokencodec.h"

#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class SessionTokenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SessionTokenTest);
  CPPUNIT_TEST(roundTripPreservesPositions);
  CPPUNIT_TEST(rejectsTokensWithOneChangedCharacter);
  CPPUNIT_TEST(rotatesKeysWithoutEndingSessions);
  CPPUNIT_TEST(boundsTheSizeAndMarksTokensAsPartial);
  CPPUNIT_TEST(rejectsMalformedTokens);
  CPPUNIT_TEST_SUITE_END();

  const TokenKey First_{"k1", "0123456789abcdef"};
  const TokenKey Second_{"k2", "fedcba9876543210"};
  const SessionTokenCodec Codec_{{First_}};

  // A changed position would make a read stale or impossible to serve.
  void roundTripPreservesPositions() {
    CPPUNIT_ASSERT(holdsForAll("a token is unchanged by a round trip", [this] {
      SessionTokenState State;
      State.SessionId = *rc::gen::arbitrary<std::string>();
      State.SessionId.resize(
          std::min<std::size_t>(State.SessionId.size(), 255));
      for (int Group = *rc::gen::inRange(0, 20); Group > 0; --Group)
        State.Positions["shop/" + std::to_string(Group)] = {
            *rc::gen::arbitrary<std::uint64_t>(),
            *rc::gen::arbitrary<std::uint64_t>()};
      State.Partial = *rc::gen::arbitrary<bool>();
      const auto Decoded = Codec_.decode(Codec_.encode(State));
      RC_ASSERT(std::holds_alternative<SessionTokenState>(Decoded));
      const auto &Restored = std::get<SessionTokenState>(Decoded);
      RC_ASSERT(Restored.SessionId == State.SessionId);
      RC_ASSERT(Restored.Positions == State.Positions);
      RC_ASSERT(Restored.Partial == State.Partial);
    }));
  }

  // A caller that can forge a token could learn the progress of other sessions.
  void rejectsTokensWithOneChangedCharacter() {
    SessionTokenState State;
    State.SessionId = "s";
    State.Positions["shop/0"] = {3, 1000};
    const std::string Token = Codec_.encode(State);
    for (std::size_t Place = 0; Place < Token.size(); ++Place)
      for (const char Other : {'A', 'b', '9', '_', '=', '+', '\n'}) {
        std::string Changed = Token;
        if (Changed[Place] == Other)
          continue;
        Changed[Place] = Other;
        CPPUNIT_ASSERT_MESSAGE(Changed, std::holds_alternative<TokenError>(
                                            Codec_.decode(Changed)));
      }
    for (std::size_t Length = 0; Length < Token.size(); ++Length)
      CPPUNIT_ASSERT(std::holds_alternative<TokenError>(
          Codec_.decode(Token.substr(0, Length))));
    CPPUNIT_ASSERT(
        std::holds_alternative<TokenError>(Codec_.decode(Token + "A")));
  }

  // A key rotation must not send the reads of all sessions to the primary.
  void rotatesKeysWithoutEndingSessions() {
    const std::string Old = Codec_.encode({});
    const SessionTokenCodec Rotated({Second_, First_});
    CPPUNIT_ASSERT(
        std::holds_alternative<SessionTokenState>(Rotated.decode(Old)));
    const std::string New = Rotated.encode({});
    CPPUNIT_ASSERT(std::get<TokenError>(Codec_.decode(New)) ==
                   TokenError::UnknownKey);
    const SessionTokenCodec Removed({Second_});
    CPPUNIT_ASSERT(
        std::holds_alternative<SessionTokenState>(Removed.decode(New)));
    CPPUNIT_ASSERT(std::get<TokenError>(Removed.decode(Old)) ==
                   TokenError::UnknownKey);
    const SessionTokenCodec OtherSecret({{"k1", Second_.Secret}});
    CPPUNIT_ASSERT(std::get<TokenError>(OtherSecret.decode(Old)) ==
                   TokenError::BadMac);
  }

  // If positions are dropped to bound the size, the token must be marked as
  // partial; otherwise stale reads would be possible.
  void boundsTheSizeAndMarksTokensAsPartial() {
    SessionTokenState State;
    for (int Group = 0; Group < 1000; ++Group)
      State.Positions["shop/" + std::to_string(Group)] = {1, 1};
    const std::string Token = Codec_.encode(State);
    CPPUNIT_ASSERT(Token.size() <= 4096);
    const auto Restored = std::get<SessionTokenState>(Codec_.decode(Token));
    CPPUNIT_ASSERT(Restored.Partial);
    for (const auto &[Group, Seen] : State.Positions) {
      const auto Required = requiredPosition(Restored, Group);
      CPPUNIT_ASSERT(!Required || *Required == Seen);
    }
    CPPUNIT_ASSERT(requiredPosition({}, "shop/0") == Position());
  }

  // Untrusted input must neither crash the decoder nor be accepted.
  void rejectsMalformedTokens() {
    CPPUNIT_ASSERT(std::get<TokenError>(Codec_.decode("")) ==
                   TokenError::Malformed);
    CPPUNIT_ASSERT(std::get<TokenError>(Codec_.decode("!")) ==
                   TokenError::Malformed);
    CPPUNIT_ASSERT(std::get<TokenError>(Codec_.decode(
                       std::string(5000, 'A'))) == TokenError::TooLarge);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SessionTokenTest);

} // namespace nutmegloom
