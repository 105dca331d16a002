#include "platform/listings.h"
#include "platform/platformsettings.h"
#include "sessions/accounts.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace nutmegloom {

class ListingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ListingsTest);
  CPPUNIT_TEST(readsADatabase);
  CPPUNIT_TEST(rejectsInvalidDatabaseEntries);
  CPPUNIT_TEST(rejectsNumbersAndAddressesOutOfRange);
  CPPUNIT_TEST(rejectsNamesThatAreNotOneWord);
  CPPUNIT_TEST(rejectsLongAndDeepEntries);
  CPPUNIT_TEST(readsAConfiguration);
  CPPUNIT_TEST(rejectsAConfigurationWithOneInvalidRoute);
  CPPUNIT_TEST(readsClientAccounts);
  CPPUNIT_TEST(leavesInvalidAccountsOut);
  CPPUNIT_TEST(recordsRoundTrip);
  CPPUNIT_TEST(memberSlotsRoundTrip);
  CPPUNIT_TEST(handlesArbitraryContent);
  CPPUNIT_TEST(readsSettings);
  CPPUNIT_TEST(reportsAnInvalidSettingByName);
  CPPUNIT_TEST_SUITE_END();

  std::vector<std::string> LeftOut_;

  static StoredObject object(const std::string &Content) {
    StoredObject Created;
    Created.Name = "i-1";
    Created.Revision = 7;
    Created.Content = Content;
    return Created;
  }

  void readsADatabase() {
    auto Read = readDatabase(object(
        R"({"Service":"g","Address":"10.0.0.9:80","Zone":"z","Slots":5,
            "State":"draining","DatabaseRole":"primary","born":17,"New":[]})"));
    const auto &Listing = std::get<DatabaseListing>(Read);
    CPPUNIT_ASSERT_EQUAL(std::string("i-1"), Listing.Id);
    CPPUNIT_ASSERT(Listing.Draining);
    CPPUNIT_ASSERT(Listing.Role == DatabaseRole::Primary);
    CPPUNIT_ASSERT_EQUAL(std::int64_t(17), Listing.StartedAtMs);
  }

  // Entries that are not valid, for example because another program wrote them,
  // must be rejected with an error.
  void rejectsInvalidDatabaseEntries() {
    for (const char *Content :
         {"null", "[]", "\xff\xfe", R"({"Service":"g"})",
          R"({"Service":"g","Address":5,"Zone":"z","State":"ready",
              "DatabaseRole":"replica"})",
          R"({"Service":"g","Address":"a","Zone":"z","State":"odd",
              "DatabaseRole":"replica"})",
          R"({"Service":"g","Address":"a","Zone":"z","State":"ready",
              "DatabaseRole":"observer"})"})
      CPPUNIT_ASSERT(
          std::holds_alternative<ObjectError>(readDatabase(object(Content))));
  }

  static std::string entryWith(const std::string &Fields) {
    return R"({"Service":"g","Zone":"z","State":"ready",)"
           R"("DatabaseRole":"replica",)" +
           Fields + "}";
  }

  static bool isRejected(const std::string &Content) {
    return std::holds_alternative<ObjectError>(readDatabase(object(Content)));
  }

  void rejectsNumbersAndAddressesOutOfRange() {
    std::string Address = R"("Address":"10.0.0.9:80")";
    CPPUNIT_ASSERT(!isRejected(entryWith(Address)));
    CPPUNIT_ASSERT(isRejected(entryWith(R"("Address":"10.0.0.9:70000")")));
    CPPUNIT_ASSERT(isRejected(entryWith(R"("Address":"10.0.0.9")")));
    for (const char *Field :
         {R"("Slots":1e999)", R"("Slots":1e300)", R"("Slots":4294967296)",
          R"("born":-1)", R"("born":18446744073709551615)", R"("born":1e20)"})
      CPPUNIT_ASSERT_MESSAGE(Field,
                             isRejected(entryWith(Address + "," + Field)));
  }

  // Guards against a name that is read as several fields, or as a message of
  // its own, when a session is opened at the database.
  void rejectsNamesThatAreNotOneWord() {
    for (const char *Odd : {"", "a b", " a", "a\r\nQUERY - WRITE x y", "a\n"}) {
      StoredObject Entry = object(entryWith(R"("Address":"10.0.0.9:80")"));
      CPPUNIT_ASSERT(
          std::holds_alternative<DatabaseListing>(readDatabase(Entry)));
      Entry.Name = Odd;
      CPPUNIT_ASSERT(std::holds_alternative<ObjectError>(readDatabase(Entry)));
    }
    for (const char *Odd : {R"("a b")", R"("a\r\nQUERY - WRITE x y")"})
      CPPUNIT_ASSERT(isRejected(std::string(R"({"Service":)") + Odd +
                                R"(,"Zone":"z","State":"ready",)"
                                R"("DatabaseRole":"replica",)"
                                R"("Address":"10.0.0.9:80"})"));
  }

  // Guards against a stack that overflows, and against the cost of parsing a
  // long entry again with each change of the list.
  void rejectsLongAndDeepEntries() {
    std::string Start = R"("Address":"10.0.0.9:80","New":)";
    auto Nested = [](std::size_t Depth) {
      return std::string(Depth, '[') + std::string(Depth, ']');
    };
    CPPUNIT_ASSERT(!isRejected(entryWith(Start + Nested(8))));
    CPPUNIT_ASSERT(isRejected(entryWith(Start + Nested(100))));
    CPPUNIT_ASSERT(isRejected(entryWith(Start + Nested(200000))));
    CPPUNIT_ASSERT(
        isRejected(entryWith(Start + '"' + std::string(100000, 'x') + '"')));
  }

  void readsAConfiguration() {
    auto Read = readConfiguration(
        object(
            R"({"Version":7,"Routes":[{"Host":"d","Service":"g",
            "Kind":"read_your_writes","TimeoutMs":1000.0,"Priority":2,
            "MaxStalenessMs":2500}],
            "Services":[{"Name":"g","MaxConnections":34,"SyncReplicas":1}],
            "Limits":{"TransactionIdleMs":2000}})"),
        LeftOut_);
    const auto &Configuration = std::get<SessionConfiguration>(Read);
    const SessionRoute &Route = Configuration.Routes.at("d");
    CPPUNIT_ASSERT(Route.Mode == ConsistencyMode::ReadYourWrites);
    CPPUNIT_ASSERT(Route.MaximumAge == Milliseconds{2500});
    CPPUNIT_ASSERT(Route.StatementTimeout == Milliseconds{1000});
    CPPUNIT_ASSERT_EQUAL(1U, Configuration.Groups.at("g").SynchronousReplicas);
    CPPUNIT_ASSERT(Configuration.TransactionIdleTimeout == Milliseconds{2000});
  }

  void rejectsAConfigurationWithOneInvalidRoute() {
    auto Read = readConfiguration(
        object(
            R"({"Version":7,"Routes":[{"Host":"d","Service":"g","Kind":"primary"},
            {"Host":"e","Service":"g","Kind":"odd"}],"Services":[]})"),
        LeftOut_);
    CPPUNIT_ASSERT(std::holds_alternative<ObjectError>(Read));
  }

  static std::string withAccounts(const std::string &Accounts) {
    return R"({"Version":7,"Routes":[{"Host":"d","Service":"g",
               "Kind":"primary","Public":true}],"Services":[],"Tenants":)" +
           Accounts + "}";
  }

  void readsClientAccounts() {
    auto Read = readConfiguration(
        object(withAccounts(R"([{"Name":"a","ApiKeys":["k1","k2"],"Priority":1,
                                 "RequestsPerS":2.5,"Burst":3},
                                {"Name":"b","ApiKeys":[]}])")),
        LeftOut_);
    const auto &Configuration = std::get<SessionConfiguration>(Read);
    CPPUNIT_ASSERT(Configuration.RequiresKeys);
    CPPUNIT_ASSERT(Configuration.Routes.at("d").Public);
    const AccountSettings &First = Configuration.Accounts.at("a");
    CPPUNIT_ASSERT(First.Keys ==
                   std::set<KeyDigest>({digestOf("k1"), digestOf("k2")}));
    CPPUNIT_ASSERT(First.Quota == AccountQuota({2.5, 3}));
    CPPUNIT_ASSERT(!Configuration.Accounts.at("b").Quota);
    CPPUNIT_ASSERT(LeftOut_.empty());
  }

  // Guards against an invalid account that keeps the whole configuration, and
  // with it the removal of a key, from being applied; and against keys in what
  // is logged of it.
  void leavesInvalidAccountsOut() {
    for (const char *Invalid :
         {R"({"ApiKeys":["secret"]})", R"({"Name":"x y","ApiKeys":["secret"]})",
          R"({"Name":"a","ApiKeys":["secret"]})",
          R"({"Name":"x","ApiKeys":"secret"})",
          R"({"Name":"x","ApiKeys":["secret",5]})", R"("secret")",
          R"({"Name":"x","ApiKeys":["secret"],"RequestsPerS":-1,"Burst":1})",
          R"({"Name":"x","ApiKeys":["secret"],"RequestsPerS":1e300,"Burst":1})",
          R"({"Name":"x","ApiKeys":["secret"],"RequestsPerS":5})",
          "{\"Name\":\"x\\r\\ny\",\"ApiKeys\":[\"secret\"]}"}) {
      LeftOut_.clear();
      auto Read = readConfiguration(
          object(withAccounts(R"([{"Name":"a","ApiKeys":["k"]},)" +
                              std::string(Invalid) + "]")),
          LeftOut_);
      const auto &Configuration = std::get<SessionConfiguration>(Read);
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Configuration.Accounts.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), LeftOut_.size());
      CPPUNIT_ASSERT(LeftOut_.front().find("secret") == std::string::npos);
    }
  }

  void recordsRoundTrip() {
    LeadershipRecord Record;
    Record.Group = "i-1";
    Record.Leader = "b";
    Record.Term = 4;
    Record.Phase = LeadershipPhase::Promoting;
    Record.Holder = "h";
    auto Read = std::get<LeadershipRecord>(
        readLeadership(object(writeLeadership(Record, 2, 6))));
    CPPUNIT_ASSERT_EQUAL(Record.Leader, Read.Leader);
    CPPUNIT_ASSERT(Read.Phase == LeadershipPhase::Promoting);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Read.Revision.Number);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Read.WrittenInEra);
    // The content differs for each write, so each write gets a new revision.
    CPPUNIT_ASSERT(writeLeadership(Record, 2, 6) !=
                   writeLeadership(Record, 2, 7));
    auto Lease = std::get<PromotionLease>(
        readLease(object(writeLease({"h", 11, 3, 0}, 2, 6))));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Lease.Token);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), Lease.WrittenInEra);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(11), Lease.Incarnation);
  }

  void memberSlotsRoundTrip() {
    MemberSlot Slot;
    Slot.Name = "z.1";
    Slot.Host = "h";
    Slot.Location = {"127.0.0.1:7", "z", "r"};
    Slot.Stopped = true;
    Slot.Former = {"f", "g"};
    auto Read = std::get<MemberSlot>(readSlot(object(writeSlot(Slot, 6))));
    CPPUNIT_ASSERT_EQUAL(Slot.Host, Read.Host);
    CPPUNIT_ASSERT_EQUAL(Slot.Location.Address, Read.Location.Address);
    CPPUNIT_ASSERT_EQUAL(Slot.Location.Region, Read.Location.Region);
    CPPUNIT_ASSERT(Read.Stopped);
    CPPUNIT_ASSERT(Slot.Former == Read.Former);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Read.Revision.Number);
  }

  void handlesArbitraryContent() {
    bool Holds = rc::check("any content", [](const std::string &Text) {
      for (const std::string &Content : {Text, "{\"Service\":" + Text + "}"}) {
        readDatabase(object(Content));
        std::vector<std::string> LeftOut;
        readConfiguration(object(Content), LeftOut);
        readLeadership(object(Content));
        readLease(object(Content));
        readSlot(object(Content));
      }
    });
    CPPUNIT_ASSERT(Holds);
  }

  static std::string settings(const std::string &Port) {
    return R"(// comment
      {"host":"h","address":"127.0.0.1","availabilityZone":"z","region":"r",
       "regionsOfZones":{"z":"r"},"callerAddress":"127.0.0.1:1",
       "readinessAddress":"127.0.0.1:2","peerPort":)" +
           Port + R"(,"metricsPort":4,"storeAddress":"127.0.0.1:5",
       "promotionAddress":"127.0.0.1:6","cores":0.25,"linkMbitPerSecond":1000,
       "stopGraceSeconds":6})";
  }

  void readsSettings() {
    auto Read = readPlatformSettings(settings("3"));
    CPPUNIT_ASSERT(std::holds_alternative<PlatformSettings>(Read));
    CPPUNIT_ASSERT(std::get<PlatformSettings>(Read).StopGrace ==
                   Milliseconds{6000});
  }

  void reportsAnInvalidSettingByName() {
    auto Read = readPlatformSettings(settings("0"));
    CPPUNIT_ASSERT(
        std::get<PlatformSettingsError>(Read).Detail.starts_with("peerPort"));
    CPPUNIT_ASSERT(std::holds_alternative<PlatformSettingsError>(
        readPlatformSettings("{")));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListingsTest);

} // namespace nutmegloom
