#include "nutmegloomctl/configurationfiles.h"
#include "settings/textformats.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

namespace nutmegloom {

class ExamplesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExamplesTest);
  CPPUNIT_TEST(onssIsValid);
  CPPUNIT_TEST(harlowRidgeIsValid);
  CPPUNIT_TEST_SUITE_END();

  // Operators copy the examples, so a wrong zone, size or address there would
  // end up in their deployments.
  void onssIsValid() { checkExample("onss", 5, 9, "panels"); }
  void harlowRidgeIsValid() { checkExample("harlowridge", 2, 8, "catalogue"); }

  static std::string readFile(const std::filesystem::path &Path) {
    std::ifstream File(Path);
    std::ostringstream Text;
    Text << File.rdbuf();
    return Text.str();
  }

  static void checkExample(const std::string &Name, std::uint32_t Slots,
                           std::size_t HostCount, const std::string &Class) {
    const std::filesystem::path Folder =
        std::filesystem::path(NUTMEGLOOM_SOURCE_FOLDER) / "examples" / Name;
    const auto Read = readConfigurationFiles({Folder.string()});
    CPPUNIT_ASSERT(std::holds_alternative<ConfigurationFiles>(Read));
    const auto &Files = std::get<ConfigurationFiles>(Read);
    ConfigurationHead Head;
    Head.Base = Files.Base.value();
    Head.Overlays = Files.Overlays;
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Head.Overlays.size());
    std::set<std::string> Sites;
    for (const auto &[Site, Text] : Head.Overlays) {
      const auto Loaded = loadSite(Head, Site);
      CPPUNIT_ASSERT_MESSAGE(Site,
                             std::holds_alternative<SiteSettings>(Loaded));
      checkSiteConfiguration(std::get<SiteSettings>(Loaded).Configuration,
                             Slots, Class);
      Sites.insert(Site);
    }
    checkHosts(Folder / "hosts", Head, HostCount);
  }

  static void checkSiteConfiguration(const SiteConfiguration &Configuration,
                                     std::uint32_t Slots,
                                     const std::string &Class) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Configuration.Groups.size());
    CPPUNIT_ASSERT_EQUAL(Class, Configuration.Limits.Classes.at(0).Name);
    std::map<DatabaseId, DatabaseEntity> Databases;
    for (const DatabaseEntity &Database : Configuration.Databases) {
      CPPUNIT_ASSERT_EQUAL(Slots, Database.Slots);
      CPPUNIT_ASSERT_EQUAL(35U, Database.ConnectionCap);
      Databases[Database.Id] = Database;
    }
    std::set<ZoneName> PrimaryZones;
    for (const GroupEntity &Group : Configuration.Groups) {
      std::set<ZoneName> Zones;
      for (const DatabaseId &Member : Group.Members)
        Zones.insert(Databases.at(Member).Zone);
      CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Zones.size());
      PrimaryZones.insert(Databases.at(Group.Members.at(0)).Zone);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, PrimaryZones.size());
  }

  static void checkHosts(const std::filesystem::path &Folder,
                         const ConfigurationHead &Head, std::size_t Count) {
    std::set<std::string> Peers;
    std::set<std::string> Seeds;
    for (const auto &Entry : std::filesystem::directory_iterator(Folder)) {
      const auto Parsed =
          parseHostSettings(readFile(Entry.path()), Entry.path().string());
      CPPUNIT_ASSERT(std::holds_alternative<HostSettings>(Parsed));
      const auto &Host = std::get<HostSettings>(Parsed);
      const auto Site = std::get<SiteSettings>(loadSite(Head, Host.Site));
      CPPUNIT_ASSERT_EQUAL(Entry.path().stem().string(), Host.Name);
      CPPUNIT_ASSERT_EQUAL(Site.Configuration.Zones.at(Host.Zone), Host.Region);
      CPPUNIT_ASSERT_EQUAL(ipOf(Host.PeerAddress) + ":" +
                               std::to_string(Site.CallerPort),
                           Host.CallerAddress);
      CPPUNIT_ASSERT(Peers.insert(Host.PeerAddress).second);
      Seeds.insert(Host.Seeds.begin(), Host.Seeds.end());
    }
    CPPUNIT_ASSERT_EQUAL(Count, Peers.size());
    CPPUNIT_ASSERT(
        std::includes(Peers.begin(), Peers.end(), Seeds.begin(), Seeds.end()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExamplesTest);

} // namespace nutmegloom
