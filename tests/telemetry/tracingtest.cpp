#include "telemetry/tracing.h"
#include "telemetry/events.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace nutmegloom {

static const std::string Parent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

class TracingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TracingTest);
  CPPUNIT_TEST(propagatesContextWhenDisabled);
  CPPUNIT_TEST(linksSpansAcrossHops);
  CPPUNIT_TEST(rejectsInvalidContext);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override { setLogStream(Stream_); }
  void tearDown() override {
    static std::ostringstream Discarded;
    setLogStream(Discarded);
  }

private:
  std::ostringstream Stream_;

  /// Guards against traces that end at this host while tracing is disabled, and
  /// against spans of traces that the caller doesn't sample.
  void propagatesContextWhenDisabled() {
    Tracing Traces;
    CPPUNIT_ASSERT_EQUAL(Parent, Traces.start("entry", Parent).traceParent());
    CPPUNIT_ASSERT_EQUAL(std::string(),
                         Traces.start("entry", "").traceParent());
    Traces.setEnabled(true);
    std::string Unsampled = Parent.substr(0, 53) + "02";
    TraceSpan Span = Traces.start("entry", Unsampled);
    CPPUNIT_ASSERT(!Span.isRecorded());
    CPPUNIT_ASSERT_EQUAL(Unsampled, Span.traceParent());
    CPPUNIT_ASSERT(Stream_.str().empty());
  }

  /// Guards against spans of hops that do not form one trace.
  void linksSpansAcrossHops() {
    Tracing Traces;
    Traces.setEnabled(true);
    TraceSpan Entry = Traces.start("entry", Parent);
    TraceSpan Owner = Traces.start("owner", Entry.traceParent());
    Owner.tag("group", "s/\"0");
    TraceContext Entered;
    CPPUNIT_ASSERT(parseTraceParent(Entry.traceParent(), Entered));
    CPPUNIT_ASSERT_EQUAL(Parent.substr(3, 32), Entered.TraceId);
    Owner.finish();
    std::string Line = Stream_.str();
    CPPUNIT_ASSERT(Line.starts_with(R"({"span":"owner","trace_id":")" +
                                    Entered.TraceId + "\""));
    CPPUNIT_ASSERT(Line.find(R"("parent_id":")" + Entered.SpanId + "\"") !=
                   std::string::npos);
    CPPUNIT_ASSERT(Line.find(R"("tags":{"group":"s/\"0"}})") !=
                   std::string::npos);
    Owner.finish();
    CPPUNIT_ASSERT_EQUAL(Line, Stream_.str());
    TraceSpan Root = Traces.start("entry", "not a context");
    TraceContext New;
    CPPUNIT_ASSERT(parseTraceParent(Root.traceParent(), New));
    CPPUNIT_ASSERT(New.TraceId != Entered.TraceId);
  }

  /// Guards against invalid headers of callers that are copied to the log or
  /// sent to a database.
  void rejectsInvalidContext() {
    TraceContext Context;
    CPPUNIT_ASSERT(parseTraceParent(Parent, Context));
    CPPUNIT_ASSERT_EQUAL(Parent, formatTraceParent(Context));
    for (const std::string &Text :
         {std::string(), Parent + "0", "01" + Parent.substr(2),
          "00-" + std::string(32, '0') + Parent.substr(35),
          Parent.substr(0, 36) + std::string(16, '0') + Parent.substr(52),
          Parent.substr(0, 3) + "0AF7" + Parent.substr(7),
          Parent.substr(0, 53) + "0\n"})
      CPPUNIT_ASSERT_MESSAGE(Text, !parseTraceParent(Text, Context));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TracingTest);

} // namespace nutmegloom
