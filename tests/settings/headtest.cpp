#include "settings/settings.h"

#include "tests/settings/samplesettings.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

namespace {

std::string anyText() {
  return *rc::gen::container<std::string>(
      rc::gen::inRange(static_cast<char>(1), static_cast<char>(127)));
}

} // namespace

class HeadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeadTest);
  CPPUNIT_TEST(keepsEveryTextOverARoundTrip);
  CPPUNIT_TEST(refusesTextsThatAreNotAHead);
  CPPUNIT_TEST_SUITE_END();

  // A comment or an edit that changes on its way through the store would be
  // reported as another operator's change.
  void keepsEveryTextOverARoundTrip() {
    CPPUNIT_ASSERT(holdsForAll("a head survives the round trip", [] {
      ConfigurationHead Head = sampleHead();
      Head.Version = *rc::gen::arbitrary<std::uint64_t>();
      Head.Base = anyText();
      Head.Overlays[anyText()] = anyText();
      Head.History.push_back({*rc::gen::arbitrary<std::uint64_t>(), anyText(),
                              anyText(), anyText(), anyText(),
                              std::vector<std::string>{anyText()}});
      const auto Parsed = parseHead(serializeHead(Head));
      RC_ASSERT(std::holds_alternative<ConfigurationHead>(Parsed));
      const auto &Back = std::get<ConfigurationHead>(Parsed);
      RC_ASSERT(Back.Version == Head.Version);
      RC_ASSERT(Back.EditId == Head.EditId);
      RC_ASSERT(Back.Base == Head.Base);
      RC_ASSERT(Back.Overlays == Head.Overlays);
      RC_ASSERT(Back.History.size() == Head.History.size());
      RC_ASSERT(Back.History[1].Comment == Head.History[1].Comment);
      RC_ASSERT(Back.History[1].Changed == Head.History[1].Changed);
    }));
  }

  // A host must keep its version when the store holds something else.
  void refusesTextsThatAreNotAHead() {
    for (const char *Text : {"", "[]", "{}", "{\"version\": -1}", "null"})
      CPPUNIT_ASSERT_MESSAGE(
          Text, std::holds_alternative<SettingsErrors>(parseHead(Text)));
    const auto Parsed = parseHead(R"({"version": 1, "edit_id": "e", "base": 1,
        "overlays": {"a": 2}, "history": [{"version": 1}]})");
    const auto &Errors = std::get<SettingsErrors>(Parsed);
    CPPUNIT_ASSERT(hasError(Errors, "head", "base", "text"));
    CPPUNIT_ASSERT(hasError(Errors, "head", "overlays.a", "text"));
    CPPUNIT_ASSERT(hasError(Errors, "head", "history[0].editor", "text"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadTest);

} // namespace nutmegloom
