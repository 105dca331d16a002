#include "sessions/databasepool.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace nutmegloom {

class DatabasePoolTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DatabasePoolTest);
  CPPUNIT_TEST(matchesTheValuesOfASession);
  CPPUNIT_TEST(preparesAShapeOnceForAllSessions);
  CPPUNIT_TEST(keepsNamesOfDifferentShapesApart);
  CPPUNIT_TEST(takesOnlyConnectionsOfTheAccount);
  CPPUNIT_TEST(replacesTheLeastRecentlyUsedOfAnotherAccount);
  CPPUNIT_TEST(keepsItsShareWhileAllConnectionsAreUsed);
  CPPUNIT_TEST(limitsConnectionsToItsShare);
  CPPUNIT_TEST(exceedsItsShareInPlaceOfTransactions);
  CPPUNIT_TEST(closesIdleConnectionsBeyondHalfOfItsShare);
  CPPUNIT_TEST(opensHalfOfItsShareAfterAStart);
  CPPUNIT_TEST(stopsOpeningAfterAnOverload);
  CPPUNIT_TEST(countsAConnectionOfARemovedDatabaseOnce);
  CPPUNIT_TEST_SUITE_END();

  TimePoint Now_{std::chrono::hours(1)};
  DatabaseTable Table_{[](const ZoneName &) { return Distance::SameZone; }};
  std::vector<ConnectionId> Opened_;
  std::vector<ConnectionId> Closed_;
  DatabasePool Pool_{Table_,
                     {[this](ConnectionId Id, const DatabaseListing &,
                             const AccountName &) { Opened_.push_back(Id); },
                      [this](ConnectionId Id) { Closed_.push_back(Id); }}};

  void addDatabase() {
    DatabaseListing Listing;
    Listing.Id = "a";
    Listing.Group = "g";
    Table_.apply({Listing});
    Pool_.setCap("g", 34);
    Pool_.setHosts(8);
  }

  /// Updates the profile of a connection as the commands change its state.
  static void applyCommands(ConnectionProfile &Profile,
                            const std::vector<DatabaseCommand> &Commands) {
    for (const DatabaseCommand &Command : Commands) {
      if (Command.Verb == CommandVerb::Reset)
        Profile = {};
      if (Command.Verb == CommandVerb::SetVariable)
        Profile.Variables[Command.Name] = Command.Text;
      if (Command.Verb == CommandVerb::Prepare)
        Profile.Prepared[{Command.Access, Command.Text}] = Command.Name;
    }
  }

  // Guards against running a statement with another session's values.
  void matchesTheValuesOfASession() {
    bool Holds = rc::check("the values are exactly the session's", [] {
      // Each of the four names has no value or one of two.
      auto MakeValues = [] {
        SessionVariables Variables;
        for (const char *Name : {"v1", "v2", "v3", "v4"})
          if (int Value = *rc::gen::inRange(0, 3))
            Variables[Name] = std::to_string(Value);
        return Variables;
      };
      ConnectionProfile Profile;
      Profile.Variables = MakeValues();
      Profile.Uncertain = *rc::gen::arbitrary<bool>();
      SessionVariables Wanted = MakeValues();
      PreparedShape Shape{StatementKind::Read, "q1"};
      ConnectionProfile Sent = Profile;
      for (const auto &Command :
           commandsToMatch(Profile, Wanted, &Shape, "p1")) {
        applyCommands(Profile, {Command});
        applyCommand(Sent, Command);
      }
      RC_ASSERT(Profile.Variables == Wanted);
      RC_ASSERT(!Profile.Uncertain);
      RC_ASSERT(Profile.Prepared.at(Shape) == "p1");
      RC_ASSERT(Sent.Variables == Profile.Variables);
      RC_ASSERT(Sent.Prepared == Profile.Prepared);
      RC_ASSERT(Sent.Uncertain == Profile.Uncertain);
    });
    CPPUNIT_ASSERT(Holds);
  }

  void preparesAShapeOnceForAllSessions() {
    PreparedShape Shape{StatementKind::Write, "q1"};
    ConnectionProfile Profile;
    applyCommands(Profile, commandsToMatch(Profile, {}, &Shape, "p1"));
    CPPUNIT_ASSERT(commandsToMatch(Profile, {}, &Shape, "p2").empty());
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), Profile.Prepared.at(Shape));
  }

  // A read and a write of the same shape are different statements.
  void keepsNamesOfDifferentShapesApart() {
    PreparedShape Read{StatementKind::Read, "q1"};
    PreparedShape Write{StatementKind::Write, "q1"};
    ConnectionProfile Profile;
    applyCommands(Profile, commandsToMatch(Profile, {}, &Read, "p1"));
    applyCommands(Profile, commandsToMatch(Profile, {}, &Write, "p2"));
    CPPUNIT_ASSERT_EQUAL(std::string("p1"), Profile.Prepared.at(Read));
    CPPUNIT_ASSERT_EQUAL(std::string("p2"), Profile.Prepared.at(Write));
  }

  /// Opens connections as long as the pool allows it and returns their number.
  std::size_t openAll(bool Urgent) {
    while (Pool_.mayOpen("a", {}, Urgent, Now_)) {
      Pool_.open("a", {}, Now_);
      Pool_.onOpened(Opened_.back(), Now_);
    }
    return Pool_.countOf("a");
  }

  void openFor(const AccountName &Account) {
    CPPUNIT_ASSERT(Pool_.mayOpen("a", Account, false, Now_));
    Pool_.open("a", Account, Now_);
    Pool_.onOpened(Opened_.back(), Now_);
  }

  // Guards against a statement on a connection that a database takes for
  // another account's.
  void takesOnlyConnectionsOfTheAccount() {
    addDatabase();
    openFor("x");
    CPPUNIT_ASSERT(Pool_.hasIdle("a", "x"));
    CPPUNIT_ASSERT(!Pool_.hasIdle("a", "y"));
    CPPUNIT_ASSERT(!Pool_.hasIdle("a", {}));
    CPPUNIT_ASSERT(!Pool_.take("a", "y", {}));
    CPPUNIT_ASSERT(Pool_.take("a", "x", {}) == Opened_.front());
  }

  void replacesTheLeastRecentlyUsedOfAnotherAccount() {
    addDatabase();
    for (const char *Account : {"w", "x", "y", "z"})
      openFor(Account);
    // The share is four. The first connection has been used again since.
    Pool_.release(*Pool_.take("a", "w", {}), Now_);
    openFor("v");
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Pool_.countOf("a"));
    CPPUNIT_ASSERT(!Pool_.hasIdle("a", "x"));
    CPPUNIT_ASSERT(Pool_.hasIdle("a", "w"));
    CPPUNIT_ASSERT_EQUAL(Opened_[1], Closed_.back());
  }

  // Connections that are in use make no room.
  void keepsItsShareWhileAllConnectionsAreUsed() {
    addDatabase();
    for (const char *Account : {"w", "x", "y", "z"}) {
      openFor(Account);
      Pool_.take("a", Account, {});
    }
    CPPUNIT_ASSERT(!Pool_.mayOpen("a", "v", false, Now_));
  }

  void limitsConnectionsToItsShare() {
    addDatabase();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), openAll(false));
    CPPUNIT_ASSERT(Pool_.countOf("a") * 8 <= 34);
  }

  // More connections don't make a busy database faster, and what one host takes
  // beyond its share is missing to another one.
  void exceedsItsShareInPlaceOfTransactions() {
    addDatabase();
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), openAll(true));
    for (int Count = 0; Count < 3; ++Count)
      Pool_.pin(*Pool_.take("a", {}, {}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), openAll(false));
    CPPUNIT_ASSERT_EQUAL(std::size_t(7), openAll(true));
  }

  void closesIdleConnectionsBeyondHalfOfItsShare() {
    addDatabase();
    openAll(false);
    Now_ += Milliseconds{600};
    Pool_.tick(Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Pool_.countOf("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Closed_.size());
  }

  // After a loss of power on all hosts, the first ones to be back must not take
  // the room that the lost connections leave for all.
  void opensHalfOfItsShareAfterAStart() {
    addDatabase();
    Pool_.setStartedAt(Now_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), openAll(false));
    Now_ += Milliseconds{3000};
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), openAll(false));
  }

  // Guards against subtracting the connection twice from the number being
  // opened, which kept the host from opening any other.
  void countsAConnectionOfARemovedDatabaseOnce() {
    addDatabase();
    Pool_.open("a", {}, Now_);
    Table_.apply({});
    Pool_.onOpened(Opened_.back(), Now_);
    addDatabase();
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Pool_.openingOf("a"));
    CPPUNIT_ASSERT(Pool_.mayOpen("a", {}, false, Now_));
  }

  void stopsOpeningAfterAnOverload() {
    addDatabase();
    Pool_.open("a", {}, Now_);
    Pool_.onClosed(Opened_.back());
    Pool_.onOverloaded("a", Now_);
    CPPUNIT_ASSERT(!Pool_.mayOpen("a", {}, true, Now_));
    CPPUNIT_ASSERT(Pool_.mayOpen("a", {}, false, Now_ + Milliseconds{301}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DatabasePoolTest);

} // namespace nutmegloom
