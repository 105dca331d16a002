#include "settings/settingstable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <string>

namespace nutmegloom {

class SettingsPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsPageTest);
  CPPUNIT_TEST(matchesSettingsTable);
  CPPUNIT_TEST_SUITE_END();

  static std::string allowedValues(const SettingRule &Rule) {
    std::string Range =
        std::to_string(Rule.Minimum) + " to " + std::to_string(Rule.Maximum);
    std::string Levels;
    switch (Rule.Type) {
    case SettingType::Integer:
      return Range;
    case SettingType::Secret:
      return Range + " bytes";
    case SettingType::Name:
      return "a name";
    case SettingType::Address:
      return "an address";
    case SettingType::LogLevel:
      for (const std::string_view Level : logLevels())
        Levels += (Levels.empty() ? "" : ", ") + std::string(Level);
      return Levels;
    }
    return "";
  }

  static std::string cell(const std::string &Text) {
    return Text.empty() ? " |" : " " + Text + " |";
  }

  static std::string rowOf(const SettingRule &Rule) {
    return "|" + cell("`" + std::string(Rule.Path) + "`") +
           cell(std::string(nameOf(Rule.Type))) + cell(std::string(Rule.Unit)) +
           cell(std::string(Rule.Default)) + cell(allowedValues(Rule)) +
           cell(Rule.OverlayAllowed ? "yes" : "no");
  }

  // If the page differs from the program, operators write settings that are
  // refused or have no effect.
  void matchesSettingsTable() {
    std::set<std::string> Expected;
    for (const auto *Rules : {&configurationSettings(), &hostFileSettings()})
      for (const SettingRule &Rule : *Rules)
        Expected.insert(rowOf(Rule));
    std::ifstream Page(NUTMEGLOOM_SOURCE_FOLDER "/docs/settings.md");
    std::set<std::string> Found;
    std::string Line;
    while (std::getline(Page, Line)) {
      if (Line.rfind("| `", 0) != 0)
        continue;
      // The last cell is the description, which is not in the table.
      const std::size_t End = Line.rfind('|', Line.size() - 2);
      CPPUNIT_ASSERT_MESSAGE(Line, Line.size() > End + 4);
      Found.insert(Line.substr(0, End + 1));
    }
    for (const std::string &Row : Expected)
      CPPUNIT_ASSERT_MESSAGE("not on the page: " + Row, Found.count(Row) == 1);
    for (const std::string &Row : Found)
      CPPUNIT_ASSERT_MESSAGE("not in the table: " + Row,
                             Expected.count(Row) == 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsPageTest);

} // namespace nutmegloom
