#include "telemetry/events.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>

namespace nutmegloom {

class EventsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventsTest);
  CPPUNIT_TEST(catalogueMatchesEventTable);
  CPPUNIT_TEST(writesKeyValueLines);
  CPPUNIT_TEST(writesJsonLines);
  CPPUNIT_TEST(boundsTheLengthOfAValue);
  CPPUNIT_TEST(suppressesLowerLevels);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { setLogStream(Stream_); }
  void tearDown() override {
    static std::ostringstream Discarded;
    setLogStream(Discarded);
    setLogFormat(LogFormat::KeyValue);
    setLogLevel("info");
  }

private:
  std::ostringstream Stream_;

  /// Guards against events that the catalogue lacks, entries without cause or
  /// advice, and duplicate numbers.
  void catalogueMatchesEventTable() {
    std::ifstream Page(NUTMEGLOOM_EVENTS_PAGE);
    CPPUNIT_ASSERT(Page.is_open());
    std::vector<std::string> Documented;
    unsigned Causes = 0;
    unsigned Advice = 0;
    for (std::string Line; std::getline(Page, Line);) {
      if (Line.starts_with("### "))
        Documented.push_back(Line.substr(4));
      Causes += Line.starts_with("Cause: ");
      Advice += Line.starts_with("Operator: ");
    }
    std::vector<std::string> Known;
    int Last = 0;
    for (const LogEventEntry &Entry : logEvents()) {
      int Number = static_cast<int>(Entry.Event);
      CPPUNIT_ASSERT(Number > Last);
      Last = Number;
      Known.push_back(std::to_string(Number) + " " + std::string(Entry.Name) +
                      " (" + std::string(nameOf(Entry.Level)) + ")");
    }
    CPPUNIT_ASSERT_EQUAL(Known.size(), Documented.size());
    for (std::size_t I = 0; I < Known.size(); ++I)
      CPPUNIT_ASSERT_EQUAL(Known[I], Documented[I]);
    CPPUNIT_ASSERT_EQUAL(Known.size(), std::size_t(Causes));
    CPPUNIT_ASSERT_EQUAL(Known.size(), std::size_t(Advice));
  }

  /// Guards against a caller that fills the log with a long id or name.
  void boundsTheLengthOfAValue() {
    std::string Long(500000, 'x');
    logEvent(LogEvent::StatementFailed, {{"request", Long}, {"detail", Long}});
    CPPUNIT_ASSERT(Stream_.str().size() < 2000);
  }

  /// Guards against values that break a line or look like another field.
  void writesKeyValueLines() {
    logEvent(LogEvent::PrimaryChanged,
             {{"group", std::string_view("s/0")},
              {"primary", std::string_view("a b\nterm=9")},
              {"term", std::int64_t(3)}});
    std::string Line = Stream_.str();
    std::size_t Start = Line.find(" level=");
    CPPUNIT_ASSERT(Line.starts_with("time=2"));
    CPPUNIT_ASSERT_EQUAL(
        std::string(" level=info event=1202 name=primary_changed message="
                    "\"a group has another primary or term\" group=s/0 "
                    "primary=\"a b\\nterm=9\" term=3\n"),
        Line.substr(Start));
  }

  /// Guards against lines that are invalid JSON.
  void writesJsonLines() {
    setLogFormat(LogFormat::Json);
    logEvent(LogEvent::StoreUnreachable,
             {{"error", std::string_view("no \"answer\" \xff")}});
    std::string Line = Stream_.str();
    CPPUNIT_ASSERT_EQUAL(
        std::string(R"(,"level":"warning","event":1103,)"
                    R"("name":"store_unreachable","message":)"
                    R"("the platform's store does not answer",)"
                    R"("error":"no \"answer\" )"
                    "\xef\xbf\xbd\"}\n"),
        Line.substr(Line.find(",\"level\"")));
  }

  /// Guards against events below the log level that fill the log of a busy
  /// host.
  void suppressesLowerLevels() {
    CPPUNIT_ASSERT(!setLogLevel("loud"));
    CPPUNIT_ASSERT(setLogLevel("warning"));
    logEvent(LogEvent::HostStarted, {});
    CPPUNIT_ASSERT(Stream_.str().empty());
    logEvent(LogEvent::HostNotReady, {});
    CPPUNIT_ASSERT(!Stream_.str().empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsTest);

} // namespace nutmegloom
