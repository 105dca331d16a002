#include "protocol/relaycodec.h"

#include "protocol/packedmessage.h"
#include "protocol/relay.capnp.h"
#include "sessions/accounts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <limits>

namespace nutmegloom {

class RelayCodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayCodecTest);
  CPPUNIT_TEST(roundTripsWork);
  CPPUNIT_TEST(sendsTheNameThatEarlierHostsUse);
  CPPUNIT_TEST(roundTripsResults);
  CPPUNIT_TEST(roundTripsSmallMessages);
  CPPUNIT_TEST(roundTripsConfiguration);
  CPPUNIT_TEST(roundTripsAccounts);
  CPPUNIT_TEST(roundTripsQuotaMessages);
  CPPUNIT_TEST(roundTripsConfirmations);
  CPPUNIT_TEST(decodesArbitraryBytes);
  CPPUNIT_TEST_SUITE_END();

  template <typename T> static T roundTrip(const T &Message) {
    auto Read = decodeRelayMessage(encodeRelayMessage(Message));
    return std::get<T>(std::get<RelayMessage>(Read));
  }

  void roundTripsWork() {
    bool Passed =
        rc::check("work", [](const std::string &Text, const std::string &Name,
                             const std::map<std::string, std::string> &Values,
                             bool Writes, bool Pinned, bool IsPrepared,
                             std::uint64_t Index) {
          RelayedStatement Message;
          Message.Number = Index;
          Message.TimeLeft = Milliseconds{900};
          Message.InOpenTransaction = Pinned;
          StatementWork &Work = Message.Work;
          Work.Session = Index;
          Work.Group = Name;
          Work.Command.Id = Name;
          Work.Command.Text = Text;
          if (IsPrepared)
            Work.Prepared = {
                Writes ? StatementKind::Write : StatementKind::Read, Text};
          Work.Variables = Values;
          Work.Writes = Writes;
          Work.NeedsLeader = !Writes;
          Work.Repeatable = Writes;
          Work.MaximumAge = Milliseconds{1500};
          Work.LastWrite = Position{3, Index};
          Work.Opens = CommandVerb::BeginRead;
          Work.EndsTransaction = Pinned;
          Work.Priority = 2;
          RelayedStatement Read = roundTrip(Message);
          RC_ASSERT(Read.Number == Message.Number);
          RC_ASSERT(Read.TimeLeft == Message.TimeLeft);
          RC_ASSERT(Read.InOpenTransaction == Pinned);
          RC_ASSERT(Read.Work.Session == Work.Session);
          RC_ASSERT(Read.Work.Group == Work.Group);
          RC_ASSERT(Read.Work.Command.Id == Work.Command.Id);
          RC_ASSERT(Read.Work.Command.Text == Text);
          RC_ASSERT(Read.Work.Command.Name.empty());
          RC_ASSERT(Read.Work.Prepared == Work.Prepared);
          RC_ASSERT(Read.Work.Variables == Values);
          RC_ASSERT(Read.Work.Writes == Writes);
          RC_ASSERT(Read.Work.NeedsLeader == Work.NeedsLeader);
          RC_ASSERT(Read.Work.Repeatable == Work.Repeatable);
          RC_ASSERT(Read.Work.MaximumAge == Work.MaximumAge);
          RC_ASSERT(Read.Work.LastWrite == Work.LastWrite);
          RC_ASSERT(Read.Work.Opens == Work.Opens);
          RC_ASSERT(Read.Work.EndsTransaction == Pinned);
          RC_ASSERT(Read.Work.Priority == Work.Priority);
        });
    CPPUNIT_ASSERT(Passed);
  }

  // Guards against an EXECUTE that a host of an earlier version can't run: it
  // prepares the text under this name.
  void sendsTheNameThatEarlierHostsUse() {
    for (auto [Access, Name] : {std::pair(StatementKind::Read, "r_q1 a"),
                                std::pair(StatementKind::Write, "w_q1 a")}) {
      RelayedStatement Message;
      Message.Work.Prepared = {Access, "q1 a"};
      auto Sent = readPackedMessage<wire::RelayMessage>(
          encodeRelayMessage(Message), 1024,
          [](wire::RelayMessage::Reader From) -> std::string {
            return From.getWork().getPreparedName();
          });
      CPPUNIT_ASSERT_EQUAL(std::string(Name), Sent);
    }
  }

  void roundTripsResults() {
    RelayedResult Message;
    Message.Session = 4;
    Message.Number = 9;
    Message.InTransaction = true;
    Message.Result.Answer.Code = StatementCode::InDoubt;
    Message.Result.Answer.Rows = {"a", std::string("b\0c", 3), ""};
    Message.Result.Answer.Signature = "s";
    Message.Result.Answer.Detail = "why";
    Message.Result.Answer.State = TransactionStatus::InTransaction;
    Message.Result.Answer.Log = Position{3, 8};
    Message.Result.Database = "d";
    Message.Result.LastWriteLost = true;
    Message.Result.RetryAfter = Milliseconds{70};
    Message.Result.MinimumPosition = Position{2, 1};
    Message.Result.LeadershipAge = Milliseconds{0};
    Message.Result.Attempts = 3;
    RelayedResult Read = roundTrip(Message);
    CPPUNIT_ASSERT_EQUAL(Message.Session, Read.Session);
    CPPUNIT_ASSERT_EQUAL(Message.Number, Read.Number);
    CPPUNIT_ASSERT(Read.InTransaction);
    CPPUNIT_ASSERT(Read.Result.Answer.Code == StatementCode::InDoubt);
    CPPUNIT_ASSERT(Read.Result.Answer.Rows == Message.Result.Answer.Rows);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Read.Result.Answer.Signature);
    CPPUNIT_ASSERT_EQUAL(std::string("why"), Read.Result.Answer.Detail);
    CPPUNIT_ASSERT(Read.Result.Answer.State ==
                   TransactionStatus::InTransaction);
    CPPUNIT_ASSERT(Read.Result.Answer.Log == Message.Result.Answer.Log);
    CPPUNIT_ASSERT_EQUAL(std::string("d"), Read.Result.Database);
    CPPUNIT_ASSERT(Read.Result.LastWriteLost);
    CPPUNIT_ASSERT(Read.Result.RetryAfter == Milliseconds{70});
    CPPUNIT_ASSERT(Read.Result.MinimumPosition ==
                   Message.Result.MinimumPosition);
    CPPUNIT_ASSERT(Read.Result.LeadershipAge == Milliseconds{0});
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Read.Result.Attempts);
  }

  void roundTripsSmallMessages() {
    CPPUNIT_ASSERT_EQUAL(CallerSessionId(7),
                         roundTrip(RelayedCancel{7}).Session);
    CPPUNIT_ASSERT_EQUAL(CallerSessionId(8),
                         roundTrip(RelayedTransactionLoss{8}).Session);
    roundTrip(RelayPing{});
    RelayPong Pong = roundTrip(RelayPong{12, true});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), Pong.ConfigurationVersion);
    CPPUNIT_ASSERT(Pong.Leaving);
  }

  void roundTripsConfiguration() {
    SessionConfiguration Sent;
    Sent.Version = 9;
    Sent.TransactionIdleTimeout = Milliseconds{1234};
    Sent.Groups["g"] = {"g", 34, 1};
    SessionRoute Route{"d",
                       "g",
                       ConsistencyMode::ReadYourWrites,
                       Milliseconds{700},
                       Milliseconds{300},
                       2,
                       Milliseconds{1500}};
    Sent.Routes["d"] = Route;
    SessionConfiguration Read = roundTrip(Sent);
    CPPUNIT_ASSERT_EQUAL(Sent.Version, Read.Version);
    CPPUNIT_ASSERT(Read.TransactionIdleTimeout == Sent.TransactionIdleTimeout);
    CPPUNIT_ASSERT(Read.Routes == Sent.Routes);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(34), Read.Groups.at("g").ConnectionCap);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(1),
                         Read.Groups.at("g").SynchronousReplicas);
    roundTrip(ConfigurationRequest{});
  }

  void roundTripsAccounts() {
    SessionConfiguration Sent;
    Sent.Version = 9;
    Sent.RequiresKeys = true;
    SessionRoute Route;
    Route.Database = "d";
    Route.Public = true;
    Sent.Routes["d"] = Route;
    AccountSettings Account;
    Account.Account = "a";
    Account.Keys = {digestOf("k1"), digestOf("k2")};
    Account.Quota = AccountQuota{2.5, 3};
    Sent.Accounts["a"] = Account;
    Sent.Accounts["b"].Account = "b";
    SessionConfiguration Read = roundTrip(Sent);
    CPPUNIT_ASSERT(Read.RequiresKeys);
    CPPUNIT_ASSERT(Read.Routes == Sent.Routes);
    CPPUNIT_ASSERT(Read.Accounts == Sent.Accounts);
  }

  void roundTripsQuotaMessages() {
    QuotaRequest Request = roundTrip(QuotaRequest{"a", 2.25, 7});
    CPPUNIT_ASSERT_EQUAL(AccountName("a"), Request.Account);
    CPPUNIT_ASSERT_EQUAL(2.25, Request.Tokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Request.Number);
    QuotaGrant Grant = roundTrip(QuotaGrant{"a", 0.5, 8});
    CPPUNIT_ASSERT_EQUAL(0.5, Grant.Tokens);
    // Tokens are never made from a number that is none.
    for (double Odd : {-1.0, std::numeric_limits<double>::infinity(),
                       std::numeric_limits<double>::quiet_NaN()})
      CPPUNIT_ASSERT(std::holds_alternative<RelayError>(
          decodeRelayMessage(encodeRelayMessage(QuotaGrant{"a", Odd, 8}))));
  }

  void roundTripsConfirmations() {
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), roundTrip(RelayPing{}).Number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), roundTrip(RelayPing{5}).Number);
    RelayPong Pong;
    CPPUNIT_ASSERT(!roundTrip(Pong).ConfigurationAge);
    Pong.PingNumber = 5;
    Pong.ConfigurationAge = Milliseconds{0};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), roundTrip(Pong).PingNumber);
    CPPUNIT_ASSERT(roundTrip(Pong).ConfigurationAge == Milliseconds{0});
  }

  void decodesArbitraryBytes() {
    std::string Valid = encodeRelayMessage(RelayedStatement{});
    bool Passed =
        rc::check("any bytes", [&](const std::string &Text, std::size_t Cut) {
          decodeRelayMessage(Text);
          std::string Corrupted =
              Valid.substr(0, Cut % (Valid.size() + 1)) + Text;
          decodeRelayMessage(Corrupted);
        });
    CPPUNIT_ASSERT(Passed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayCodecTest);

} // namespace nutmegloom
