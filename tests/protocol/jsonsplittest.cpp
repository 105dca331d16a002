#include "protocol/jsonsplit.h"

#include <nlohmann/json.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace nutmegloom {

using nlohmann::json;

class JsonSplitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonSplitTest);
  CPPUNIT_TEST(splitsObjects);
  CPPUNIT_TEST(splitsArrays);
  CPPUNIT_TEST(keepsValuesThatCannotBeParsed);
  CPPUNIT_TEST(rejectsTextsWithoutEnd);
  CPPUNIT_TEST(agreesWithAParser);
  CPPUNIT_TEST(handlesArbitraryText);
  CPPUNIT_TEST(limitsLengthAndDepth);
  CPPUNIT_TEST_SUITE_END();

  static bool isDefect(std::string_view Text, JsonDefect Expected) {
    auto Parsed = parseUntrustedJson(Text, 1000000);
    auto *Defect = std::get_if<JsonDefect>(&Parsed);
    return Defect && *Defect == Expected;
  }

  void splitsObjects() {
    auto Members =
        splitJsonObject(R"( {"a" : [1, {"b":"}"}], "c":"\\\"", "d": null } )");
    CPPUNIT_ASSERT(Members);
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Members->size());
    CPPUNIT_ASSERT_EQUAL(std::string_view(R"([1, {"b":"}"}])"),
                         valueOf(*Members, "a"));
    CPPUNIT_ASSERT_EQUAL(std::string_view(R"("\\\"")"), valueOf(*Members, "c"));
    CPPUNIT_ASSERT_EQUAL(std::string_view("null"), valueOf(*Members, "d"));
    CPPUNIT_ASSERT(valueOf(*Members, "e").empty());
    CPPUNIT_ASSERT(splitJsonObject("{}")->empty());
  }

  void splitsArrays() {
    auto Elements = splitJsonArray(R"([1,"]", [2,3] ,{}])");
    CPPUNIT_ASSERT(Elements);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Elements->size());
    CPPUNIT_ASSERT_EQUAL(std::string_view("[2,3]"), (*Elements)[2]);
    CPPUNIT_ASSERT(splitJsonArray("[ ]")->empty());
  }

  // Guards against one unreadable value that hides its neighbours.
  void keepsValuesThatCannotBeParsed() {
    std::string Deep = std::string(200000, '[') + std::string(200000, ']');
    // The elements are views of the text.
    std::string Text = "[1e999,\"\xff\xfe\",nonsense," + Deep + ",7]";
    auto Elements = splitJsonArray(Text);
    CPPUNIT_ASSERT(Elements);
    CPPUNIT_ASSERT_EQUAL(std::size_t(5), Elements->size());
    CPPUNIT_ASSERT_EQUAL(std::string_view("7"), Elements->back());
  }

  void rejectsTextsWithoutEnd() {
    for (const char *Text :
         {"", "{", "[", "{\"a\"", "{\"a\":", "{\"a\":1", "{\"a\":\"b",
          "{\"a\":}", "{a:1}", "{} {}", "{\"a\":1,}", "[1]", "7"})
      CPPUNIT_ASSERT_MESSAGE(Text, !splitJsonObject(Text));
    for (const char *Text : {"", "[", "[1", "[1,]", "[,]", "[\"", "{}", "[]]"})
      CPPUNIT_ASSERT_MESSAGE(Text, !splitJsonArray(Text));
  }

  void agreesWithAParser() {
    CPPUNIT_ASSERT(rc::check(
        "the members are those of a parser",
        [](const std::map<std::string, std::vector<std::string>> &Values) {
          json Object = json::object();
          for (const auto &[Key, Value] : Values) {
            Object["k" + std::to_string(Object.size())] = {
                {"text", Value}, {"size", Value.size()}};
          }
          std::string Text;
          try {
            Text = Object.dump(2);
          } catch (const json::exception &) {
            return; // not UTF-8
          }
          auto Members = splitJsonObject(Text);
          RC_ASSERT(Members.has_value());
          RC_ASSERT(Members->size() == Object.size());
          for (const JsonMember &Member : *Members)
            RC_ASSERT(json::parse(Member.Value) ==
                      Object[std::string(Member.Key)]);
        }));
  }

  void handlesArbitraryText() {
    CPPUNIT_ASSERT(rc::check("values are parts of the text", [] {
      std::string Text = *rc::gen::container<std::string>(
          rc::gen::elementOf(std::string("{}[]\",:\\ 1a\n\xff")));
      if (auto Members = splitJsonObject("{" + Text + "}"))
        for (const JsonMember &Member : *Members)
          RC_ASSERT(!Member.Value.empty());
      if (auto Elements = splitJsonArray("[" + Text + "]"))
        for (std::string_view Element : *Elements)
          RC_ASSERT(!Element.empty());
      parseUntrustedJson(Text, 100);
    }));
  }

  void limitsLengthAndDepth() {
    CPPUNIT_ASSERT(isDefect(std::string(1000001, ' '), JsonDefect::TooLong));
    CPPUNIT_ASSERT(isDefect(std::string(200000, '['), JsonDefect::TooDeep));
    CPPUNIT_ASSERT(isDefect(std::string(200000, '{'), JsonDefect::TooDeep));
    CPPUNIT_ASSERT(isDefect("1e999", JsonDefect::Malformed));
    CPPUNIT_ASSERT(isDefect("\"\xff\"", JsonDefect::Malformed));
    auto Parsed = parseUntrustedJson("\"" + std::string(100, '[') + "\\\"" +
                                         std::string(100, '{') + "\"",
                                     1000);
    CPPUNIT_ASSERT(std::holds_alternative<json>(Parsed));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonSplitTest);

} // namespace nutmegloom
