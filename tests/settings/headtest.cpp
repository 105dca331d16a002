#include "settings/settings.h"

#include "tests/settings/samplesettings.h"
#include "tests/support/property.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

namespace {

std::string arbitraryText() {
  return *rc::gen::container<std::string>(
      rc::gen::inRange(static_cast<char>(1), static_cast<char>(127)));
}

} // namespace

class HeadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeadTest);
  CPPUNIT_TEST(roundTripPreservesAllStrings);
  CPPUNIT_TEST(rejectsInvalidHeads);
  CPPUNIT_TEST_SUITE_END();

  // A string that changes in serialisation would be reported as an edit of
  // another operator.
  void roundTripPreservesAllStrings() {
    CPPUNIT_ASSERT(holdsForAll("a head is unchanged by a round trip", [] {
      ConfigurationHead Head = sampleHead();
      Head.Version = *rc::gen::arbitrary<std::uint64_t>();
      Head.Base = arbitraryText();
      Head.Overlays[arbitraryText()] = arbitraryText();
      Head.History.push_back({*rc::gen::arbitrary<std::uint64_t>(),
                              arbitraryText(), arbitraryText(), arbitraryText(),
                              arbitraryText(),
                              std::vector<std::string>{arbitraryText()}});
      const auto Parsed = parseHead(serializeHead(Head));
      RC_ASSERT(std::holds_alternative<ConfigurationHead>(Parsed));
      const auto &Restored = std::get<ConfigurationHead>(Parsed);
      RC_ASSERT(Restored.Version == Head.Version);
      RC_ASSERT(Restored.EditId == Head.EditId);
      RC_ASSERT(Restored.Base == Head.Base);
      RC_ASSERT(Restored.Overlays == Head.Overlays);
      RC_ASSERT(Restored.History.size() == Head.History.size());
      RC_ASSERT(Restored.History[1].Comment == Head.History[1].Comment);
      RC_ASSERT(Restored.History[1].Changed == Head.History[1].Changed);
    }));
  }

  // A host must keep its configuration if the stored object is not a head.
  void rejectsInvalidHeads() {
    for (const char *Text : {"", "[]", "{}", "{\"version\": -1}", "null"})
      CPPUNIT_ASSERT_MESSAGE(
          Text, std::holds_alternative<SettingsErrors>(parseHead(Text)));
    const auto Parsed = parseHead(R"({"version": 1, "edit_id": "e", "base": 1,
        "overlays": {"a": 2}, "history": [{"version": 1}]})");
    const auto &Errors = std::get<SettingsErrors>(Parsed);
    CPPUNIT_ASSERT(hasError(Errors, "head", "base", "string"));
    CPPUNIT_ASSERT(hasError(Errors, "head", "overlays.a", "string"));
    CPPUNIT_ASSERT(hasError(Errors, "head", "history[0].editor", "string"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadTest);

} // namespace nutmegloom
