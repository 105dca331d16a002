#include "settings/settings.h"

#include "settings/settingstable.h"
#include "tests/settings/samplesettings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

namespace {

struct InvalidBase {
  const char *Old;
  const char *New;
  const char *Path;
  const char *Part;
};

const std::vector<InvalidBase> InvalidBases{
    {"\"version_format\": 1", "\"version_format\": 2", "version_format",
     "2 is not allowed; allowed are whole numbers from 1 to 1"},
    {"\"region\": \"r\"", "\"zone\": \"r\"", "sites.a.zone", "unknown"},
    {"\"region\": \"r\"", "", "sites.a.region", "missing"},
    {"\"zone\": \"b\"", "\"zone\": \"c\"",
     "services.shop.groups[0].databases[1].zone", "\"c\" is not a site"},
    {"\"id\": \"d1\"", "\"id\": \"d0\"",
     "services.shop.groups[0].databases[1].id", "is already at"},
    {"127.0.0.1:1003", "127.0.0.1:1000",
     "services.shop.groups[0].databases[1].control_address", "is already at"},
    {"127.0.0.1:1003", "127.0.0.1:0",
     "services.shop.groups[0].databases[1].control_address", "IP:port"},
    {"\"database_connections\": 10", "\"database_connections\": 3",
     "services.shop.database_connections", "from 4 to"},
    {"\"term_validity_ms\": 400", "\"term_validity_ms\": 331",
     "timing.term_validity_ms", "at least 332 ms"},
    {"\"term_validity_ms\": 400", "\"status_interval_ms\": 185",
     "timing.term_validity_ms", "at least 402 ms"},
    {"\"term_validity_ms\": 400", "\"drain_timeout_ms\": 20000",
     "timing.drain_timeout_ms", "at least 30000 ms"},
    {"\"term_validity_ms\": 400", "\"suspect_ms\": 999", "timing.suspect_ms",
     "at least 1000 ms"},
    {"\"connections\": 100", "\"connections\": 65537", "limits.connections",
     "to 65536"},
    {"\"connections\": 100", "\"connections\": -1", "limits.connections",
     "from 16"},
    {"\"connections\": 100", "\"connections\": 100.5", "limits.connections",
     "100.5 is not allowed"},
    {"\"connections\": 100", "\"connections\": null", "limits.connections",
     "null is not allowed"},
    {"\"connections\": 100", "\"connections\": 100, \"connections\": 100",
     "limits.connections", "written twice"},
    {"\"secret\": \"0123456789abcdef\"", "\"secret\": \"0123456789abcde\"",
     "tokens[0].secret", "has 15 bytes; allowed are texts of 16"},
    {"[{\"id\": \"k1\", \"secret\": \"0123456789abcdef\"}]", "[]", "tokens",
     "there are 0 keys"},
    {"\"info\"", "\"loud\"", "hosts.log_level", "\"warning\""},
    {"\"shop\"", "\"a/b\"", "services.a/b", "the name"},
    {"\"weight\": 4", "\"weight\": 0", "classes.fast.weight", "from 1"},
};

} // namespace

class SiteSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SiteSettingsTest);
  CPPUNIT_TEST(readsAllValuesAndDefaults);
  CPPUNIT_TEST(defaultsMatchTheDecisionLibrary);
  CPPUNIT_TEST(reportsEachInvalidValueByPath);
  CPPUNIT_TEST(collectsErrorsOfAllFiles);
  CPPUNIT_TEST(syntaxErrorsReportThePositionWithoutSecrets);
  CPPUNIT_TEST(rejectsInvalidUtf8InComments);
  CPPUNIT_TEST(rejectsDeepNesting);
  CPPUNIT_TEST(mergesAnOverlayForItsSiteOnly);
  CPPUNIT_TEST(rejectsOverlaysOfBaseOnlySettings);
  CPPUNIT_TEST(checksTimingAfterTheMerge);
  CPPUNIT_TEST(readsAHostFileWithOverrides);
  CPPUNIT_TEST_SUITE_END();

  static SiteSettings load(const ConfigurationHead &Head,
                           const std::string &Site) {
    const auto Loaded = loadSite(Head, Site);
    CPPUNIT_ASSERT(std::holds_alternative<SiteSettings>(Loaded));
    return std::get<SiteSettings>(Loaded);
  }

  // A value read from the wrong setting would apply limits that nobody
  // configured.
  void readsAllValuesAndDefaults() {
    const SiteSettings Site = load(sampleHead(), "a");
    const SiteConfiguration &Configuration = Site.Configuration;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Configuration.Version);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Configuration.Zones.at("b"));
    CPPUNIT_ASSERT_EQUAL(std::string("shop/0"), Configuration.Groups.at(0).Id);
    CPPUNIT_ASSERT(Configuration.Groups.at(0).Members ==
                   (std::vector<DatabaseId>{"d0", "d1"}));
    const DatabaseEntity &Database = Configuration.Databases.at(1);
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Database.Region);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:1003"),
                         Database.ControlAddress);
    CPPUNIT_ASSERT_EQUAL(2U, Database.Slots);
    CPPUNIT_ASSERT_EQUAL(10U, Database.ConnectionCap);
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, Site.Connections);
    CPPUNIT_ASSERT_EQUAL(std::size_t{16384}, Site.HeaderBytes);
    CPPUNIT_ASSERT_EQUAL(4U, Configuration.Limits.Classes.at(0).Weight);
    CPPUNIT_ASSERT_EQUAL(1U, Configuration.Limits.Classes.at(1).Weight);
    CPPUNIT_ASSERT_EQUAL(std::string("k1"), Site.TokenKeys.at(0).Id);
  }

  // If the defaults differed, the tests of the decision library would use times
  // that no deployment has.
  void defaultsMatchTheDecisionLibrary() {
    const Policy Loaded =
        load(sampleHead(sampleBaseWith("\"term_validity_ms\": 400", "")), "a")
            .Configuration.Limits;
    const Policy Built;
    CPPUNIT_ASSERT(Loaded.StatusInterval == Built.StatusInterval);
    CPPUNIT_ASSERT(Loaded.TermValidity == Built.TermValidity);
    CPPUNIT_ASSERT(Loaded.PrimarySilence == Built.PrimarySilence);
    CPPUNIT_ASSERT(Loaded.Heartbeat == Built.Heartbeat);
    CPPUNIT_ASSERT(Loaded.Suspect == Built.Suspect);
    CPPUNIT_ASSERT(Loaded.ConnectionSilence == Built.ConnectionSilence);
    CPPUNIT_ASSERT(Loaded.DrainTimeout == Built.DrainTimeout);
    CPPUNIT_ASSERT(Loaded.StatementTimeout == Built.StatementTimeout);
    CPPUNIT_ASSERT(Loaded.StatementTimeoutMaximum ==
                   Built.StatementTimeoutMaximum);
    CPPUNIT_ASSERT_EQUAL(Built.WaitingRequests, Loaded.WaitingRequests);
  }

  // An invalid value that is applied would break a site at its first use.
  void reportsEachInvalidValueByPath() {
    CPPUNIT_ASSERT(checkHead(sampleHead()).empty());
    for (const InvalidBase &Invalid : InvalidBases) {
      const auto Errors =
          checkHead(sampleHead(sampleBaseWith(Invalid.Old, Invalid.New)));
      std::string Found = Invalid.New;
      for (const SettingsError &Error : Errors)
        Found += "\n" + describe(Error);
      CPPUNIT_ASSERT_MESSAGE(
          Found, hasError(Errors, "base", Invalid.Path, Invalid.Part));
    }
  }

  // All errors must be reported at once; otherwise the operator needs one
  // attempt for each.
  void collectsErrorsOfAllFiles() {
    ConfigurationHead Head =
        sampleHead(sampleBaseWith("\"weight\": 4", "\"weight\": 0, \"x\": 1"));
    Head.Overlays["a"] = R"({"limits": {"connections": 1}, "tokens": []})";
    Head.Overlays["nowhere"] = "{";
    const auto Errors = checkHead(Head);
    CPPUNIT_ASSERT(hasError(Errors, "base", "classes.fast.weight", "0"));
    CPPUNIT_ASSERT(hasError(Errors, "base", "classes.fast.x", "unknown"));
    CPPUNIT_ASSERT(hasError(Errors, "a", "limits.connections", "from 16"));
    CPPUNIT_ASSERT(hasError(Errors, "a", "tokens", "may not change"));
    CPPUNIT_ASSERT(hasError(Errors, "nowhere", "", "no site"));
    CPPUNIT_ASSERT(hasError(Errors, "nowhere", "", "line 1, column 2"));
    CPPUNIT_ASSERT(std::holds_alternative<SettingsErrors>(loadSite(Head, "b")));
  }

  // Errors of refused settings are logged, and the log must not contain
  // secrets.
  void syntaxErrorsReportThePositionWithoutSecrets() {
    const auto Errors = checkHead(sampleHead(
        sampleBaseWith("\"0123456789abcdef\"", "\"0123456789abcdef\" 1")));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Errors.size());
    CPPUNIT_ASSERT(hasError(Errors, "base", "", "line 18, column"));
    CPPUNIT_ASSERT(Errors[0].Message.find("0123") == std::string::npos);
  }

  // The head is stored as JSON, which can't contain invalid UTF-8.
  void rejectsInvalidUtf8InComments() {
    const auto Errors =
        checkHead(sampleHead(sampleBaseWith("Comments are allowed.", "\xff")));
    CPPUNIT_ASSERT(hasError(Errors, "base", "", "UTF-8"));
  }

  // The merge and the checks are recursive, so deeply nested text must not
  // exhaust the stack.
  void rejectsDeepNesting() {
    ConfigurationHead Head = sampleHead();
    Head.Overlays["a"] = std::string(200000, '[') + std::string(200000, ']');
    const auto Errors = checkHead(Head);
    CPPUNIT_ASSERT(!Errors.empty());
    CPPUNIT_ASSERT(Errors[0].Message.find("nested deeper") !=
                   std::string::npos);
  }

  // If an overlay replaced whole objects, other values of the base would be
  // lost.
  void mergesAnOverlayForItsSiteOnly() {
    ConfigurationHead Head = sampleHead();
    Head.Overlays["a"] = R"({"limits": {"body_bytes": 2048},
        "classes": {"slow": {"weight": 7}}, "hosts": {"log_level": "debug"}})";
    const SiteSettings Changed = load(Head, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2048}, Changed.BodyBytes);
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, Changed.Connections);
    CPPUNIT_ASSERT_EQUAL(4U, Changed.Configuration.Limits.Classes.at(0).Weight);
    CPPUNIT_ASSERT_EQUAL(7U, Changed.Configuration.Limits.Classes.at(1).Weight);
    CPPUNIT_ASSERT_EQUAL(std::string("debug"), Changed.LogLevel);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1048576}, load(Head, "b").BodyBytes);
  }

  // Acknowledged writes could be lost if sites used different values.
  void rejectsOverlaysOfBaseOnlySettings() {
    ConfigurationHead Head = sampleHead();
    Head.Overlays["a"] = R"({"timing": {"term_validity_ms": 500},
        "classes": {"new": {"weight": 1}}, "sites": {},
        "hosts": {"caller_port": 1}})";
    const auto Errors = checkHead(Head);
    CPPUNIT_ASSERT(
        hasError(Errors, "a", "timing.term_validity_ms", "may not change"));
    CPPUNIT_ASSERT(hasError(Errors, "a", "classes.new", "not in the base"));
    CPPUNIT_ASSERT(hasError(Errors, "a", "sites", "may not change"));
    CPPUNIT_ASSERT(
        hasError(Errors, "a", "hosts.caller_port", "may not change"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Errors.size());
  }

  // Base and overlay can each be valid while the term check can never succeed
  // with the merged values.
  void checksTimingAfterTheMerge() {
    ConfigurationHead Head = sampleHead();
    Head.Overlays["a"] = R"({"timing": {"status_interval_ms": 300}})";
    CPPUNIT_ASSERT(hasError(checkHead(Head), "a", "timing.term_validity_ms",
                            "at least 632 ms"));
    CPPUNIT_ASSERT(std::holds_alternative<SettingsErrors>(loadSite(Head, "a")));
  }

  // A host with a wrong zone or address would serve the wrong site.
  void readsAHostFileWithOverrides() {
    const std::string Text = R"({"name": "h", "zone": "a", "region": "r",
        "caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
        "platform_address": "127.0.0.1:3", "seeds": ["127.0.0.1:4"]})";
    const auto Host = parseHostSettings(
        Text, "h.jsonc", {{{"peer_address", "127.0.0.9:2"}}, {}});
    CPPUNIT_ASSERT(std::holds_alternative<HostSettings>(Host));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), std::get<HostSettings>(Host).Site);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.9:2"),
                         std::get<HostSettings>(Host).PeerAddress);
    const auto Invalid = parseHostSettings(R"({"seeds": ["::1"]})", "h.jsonc");
    const auto &Errors = std::get<SettingsErrors>(Invalid);
    CPPUNIT_ASSERT(hasError(Errors, "h.jsonc", "seeds[0]", "IP:port"));
    CPPUNIT_ASSERT(hasError(Errors, "h.jsonc", "name", "missing"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, Errors.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SiteSettingsTest);

} // namespace nutmegloom
