#include "core/membership.h"
#include "core/configurationsystem.h"
#include "core/ownership.h"
#include "core/rendezvous.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace nutmegloom {

namespace {

/// Hosts that exchange heartbeats and replies without delay. A host with Up
/// cleared neither sends nor receives.
class Cluster {
public:
  struct Host {
    Tables Data;
    std::unique_ptr<MembershipSystem> Members;
    bool Up = true;
  };

  Host &add(const std::string &Name) {
    Host &Self = Hosts_[Name];
    const PeerHeartbeat Beat{
        Name, "1", "lima", "lima-miraflores", Name, HostState::Ready, 1, {}};
    Self.Members = std::make_unique<MembershipSystem>(
        Self.Data, Limits_, Beat,
        MembershipSystem::Hooks{
            [this, &Self](const HostEntity &To, const PeerHeartbeat &Sent) {
              const auto Found = Hosts_.find(To.PeerAddress);
              if (Found == Hosts_.end() || !Found->second.Up || !Self.Up)
                return;
              Found->second.Members->onHeartbeat(Sent, Now_);
              Self.Members->onHeartbeat(Found->second.Members->self(), Now_);
            }});
    return Self;
  }

  void run(Milliseconds Span) {
    for (Milliseconds Passed{0}; Passed < Span; Passed += Limits_.Heartbeat) {
      Now_ += Limits_.Heartbeat;
      for (auto &[Name, Host] : Hosts_)
        if (Host.Up)
          Host.Members->tick(Now_);
    }
  }

  Host &operator[](const std::string &Name) { return Hosts_.at(Name); }
  TimePoint now() const { return Now_; }

private:
  Policy Limits_;
  TimePoint Now_ = TimePoint(std::chrono::hours(1));
  std::map<std::string, Host> Hosts_;
};

} // namespace

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(discoversHostsThroughASeedWithoutTheHostList);
  CPPUNIT_TEST(suspectsAndRemovesASilentHost);
  CPPUNIT_TEST(isCutOffWithoutMajorityAndStore);
  CPPUNIT_TEST(combinesHostListAndStatusOfALeavingDatabase);
  CPPUNIT_TEST(movesOnlyTheKeysOfARemovedHost);
  CPPUNIT_TEST(ranksOwnersOfTheRegionFirst);
  CPPUNIT_TEST(neverAcceptsALowerConfiguration);
  CPPUNIT_TEST(fetchesTheHighestVersionFromPeersWithoutTheStore);
  CPPUNIT_TEST(doesNotFetchARefusedConfigurationAgain);
  CPPUNIT_TEST_SUITE_END();

  // Guards against hosts that know only a common seed and, without the
  // platform's host list, each consider themselves the owner of every group.
  void discoversHostsThroughASeedWithoutTheHostList() {
    Cluster Hosts;
    for (const char *Name : {"a", "b", "c", "d"})
      Hosts.add(Name).Members->addSeed("a");
    Hosts.run(Milliseconds(3000));
    for (const char *Name : {"a", "b", "c", "d"}) {
      CPPUNIT_ASSERT(Hosts[Name].Data.Hosts.size() == 4);
      for (const auto &[Other, Host] : Hosts[Name].Data.Hosts)
        CPPUNIT_ASSERT(isLive(Host));
    }
  }

  // Guards against a failed host that stays in the table: it would be sent
  // heartbeats forever, and peers would keep announcing it to each other.
  void suspectsAndRemovesASilentHost() {
    Cluster Hosts;
    for (const char *Name : {"a", "b", "c"})
      Hosts.add(Name).Members->addSeed("a");
    Hosts.run(Milliseconds(3000));
    Hosts["c"].Up = false;
    Hosts.run(Milliseconds(2500));
    CPPUNIT_ASSERT(!isLive(Hosts["a"].Data.Hosts.at("c")));
    Hosts.run(Milliseconds(40000));
    CPPUNIT_ASSERT(!Hosts["a"].Data.Hosts.contains("c"));
    CPPUNIT_ASSERT(!Hosts["b"].Data.Hosts.contains("c"));
  }

  // Guards against a host that drops its unreachable peers from the count and
  // then reports itself ready without a majority.
  void isCutOffWithoutMajorityAndStore() {
    Cluster Hosts;
    for (const char *Name : {"a", "b", "c"})
      Hosts.add(Name).Members->addSeed("a");
    Hosts.run(Milliseconds(3000));
    CPPUNIT_ASSERT(!Hosts["a"].Members->isPartitioned(Hosts.now()));
    Hosts["b"].Up = Hosts["c"].Up = false;
    Hosts.run(Milliseconds(60000));
    CPPUNIT_ASSERT(Hosts["a"].Members->isPartitioned(Hosts.now()));
    Hosts["a"].Members->onStoreContact(Hosts.now());
    CPPUNIT_ASSERT(!Hosts["a"].Members->isPartitioned(Hosts.now()));
  }

  // Guards against an outdated host list that clears the leaving state which
  // the database itself reports.
  void combinesHostListAndStatusOfALeavingDatabase() {
    Cluster Hosts;
    Cluster::Host &Self = Hosts.add("a");
    DatabaseEntity &Database = Self.Data.Databases["d"];
    const auto List = [&](bool Leaving) {
      ListedHost Listed;
      Listed.Name = "d";
      Listed.Role = "database";
      Listed.Leaving = Leaving;
      Self.Members->onHostList({Listed}, Hosts.now());
    };
    List(true);
    CPPUNIT_ASSERT(Database.Leaving);
    Database.Status.Leaving = true;
    Database.StatusSentAt = Hosts.now();
    List(false);
    CPPUNIT_ASSERT(Database.Leaving);
    Database.Status.Leaving = false;
    List(false);
    CPPUNIT_ASSERT(!Database.Leaving);
  }

  // Guards against moving the keys of other hosts: each key that moves costs a
  // queue and a connection pool.
  void movesOnlyTheKeysOfARemovedHost() {
    std::vector<HostName> Hosts;
    Hosts.reserve(9);
    for (int Index = 0; Index < 9; ++Index)
      Hosts.push_back("entry-" + std::to_string(Index));
    int Moved = 0;
    for (int Index = 0; Index < 900; ++Index) {
      const std::string Key = "salas-db/" + std::to_string(Index);
      const HostName First = rankHosts(Key, Hosts).front();
      const HostName Next =
          rankHosts(Key, {Hosts.begin() + 1, Hosts.end()}).front();
      CPPUNIT_ASSERT(First == Next || First == Hosts.front());
      Moved += First == Hosts.front() ? 1 : 0;
    }
    // Each of the nine hosts should own about 100 of the 900 keys; a share far
    // from that means uneven load.
    CPPUNIT_ASSERT(Moved > 60 && Moved < 140);
  }

  void ranksOwnersOfTheRegionFirst() {
    Tables Data;
    for (const char *Name : {"a", "b", "c", "d"}) {
      HostEntity &Host = Data.Hosts[Name];
      Host.Name = Name;
      Host.Region = Host.Name < "c" ? "lima" : "arequipa";
      Host.State = HostState::Ready;
    }
    const OwnershipSystem Owners(Data, "a");
    CPPUNIT_ASSERT(Owners.rankedHosts("g", "arequipa").front() >= "c");
    Data.Hosts["c"].Suspected = true;
    CPPUNIT_ASSERT(Owners.rankedHosts("g", "arequipa").front() == "d");
    Data.Hosts["d"].State = HostState::Leaving;
    CPPUNIT_ASSERT(Owners.rankedHosts("g", "arequipa").front() < "c");
  }

  /// A configuration system that records the watches and fetches it starts.
  struct ConfigurationFixture {
    Tables Data;
    Policy Limits;
    int Watches = 0;
    std::uint64_t WatchedAfter = 0;
    std::vector<HostName> Fetched;
    bool Valid = true;
    ConfigurationSystem System{
        Data,
        Limits,
        "a",
        "zone",
        {[this](std::uint64_t After) {
           ++Watches;
           WatchedAfter = After;
         },
         [this](const HostName &Host) { Fetched.push_back(Host); },
         [this](std::uint64_t, const std::string &) { return Valid; }}};
    const TimePoint Start = TimePoint(std::chrono::hours(1));

    void announce(const HostName &Name, std::uint64_t Version) {
      Data.Hosts[Name].Name = Name;
      Data.Hosts[Name].ConfigurationVersion = Version;
    }
  };

  // Guards against going back to a replaced configuration, from a store that
  // was restored from a backup or from a slow peer.
  void neverAcceptsALowerConfiguration() {
    ConfigurationFixture Host;
    Host.System.onStoreConfiguration(5, "five", Host.Start);
    Host.System.onStoreConfiguration(4, "four", Host.Start);
    Host.System.onPeerConfiguration("b", 3, "three", Host.Start);
    CPPUNIT_ASSERT(Host.System.version() == 5 && Host.System.text() == "five");
  }

  // Guards against a host that cannot serve after a restart because the store
  // is down.
  void fetchesTheHighestVersionFromPeersWithoutTheStore() {
    ConfigurationFixture Host;
    Host.announce("b", 6);
    Host.announce("c", 7);
    Host.System.tick(Host.Start);
    CPPUNIT_ASSERT(Host.Watches == 1);
    Host.System.onStoreFailed(Host.Start);
    CPPUNIT_ASSERT(Host.Fetched == std::vector<HostName>{"c"});
    Host.System.onPeerFailed("c", Host.Start);
    Host.System.tick(Host.Start + Milliseconds(10));
    CPPUNIT_ASSERT(Host.Fetched.back() == "b");
    Host.System.onPeerConfiguration("b", 6, "six", Host.Start);
    CPPUNIT_ASSERT(Host.System.version() == 6);
    CPPUNIT_ASSERT(Host.System.source() == ConfigurationSource::Peers);
    Host.System.tick(Host.Start + Milliseconds(2000));
    CPPUNIT_ASSERT(Host.Fetched.back() == "c");
    CPPUNIT_ASSERT(Host.Watches == 2);
  }

  // Guards against fetching an invalid configuration repeatedly, which would
  // load the store and the peers without end.
  void doesNotFetchARefusedConfigurationAgain() {
    ConfigurationFixture Host;
    Host.System.onStoreConfiguration(5, "five", Host.Start);
    Host.Valid = false;
    Host.System.onStoreConfiguration(6, "bad", Host.Start);
    CPPUNIT_ASSERT(Host.System.version() == 5);
    CPPUNIT_ASSERT(Host.System.refusedVersion() == 6);
    Host.announce("b", 6);
    Host.System.tick(Host.Start);
    CPPUNIT_ASSERT(Host.Fetched.empty() && Host.WatchedAfter == 6);
    Host.Valid = true;
    Host.System.onStoreConfiguration(7, "seven", Host.Start);
    CPPUNIT_ASSERT(Host.System.version() == 7);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace nutmegloom
