#include "telemetry/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(serializesObservations);
  CPPUNIT_TEST(removesGaugesOfRemovedGroups);
  CPPUNIT_TEST(namesHaveUnits);
  CPPUNIT_TEST_SUITE_END();

  static void checkHas(const std::string &Text, const std::string &Line) {
    CPPUNIT_ASSERT_MESSAGE(Line + " in\n" + Text,
                           Text.find("\n" + Line + "\n") != std::string::npos);
  }

  /// Guards against a counter that decreases or counts twice between scrapes.
  void serializesObservations() {
    Metrics Host;
    Host.observeRequest("read", "panels", Milliseconds(3));
    Host.observeRequest("read", "panels", Milliseconds(40));
    Host.countError("overloaded");
    Host.countControlMessage("heartbeat", 120);
    MetricsSnapshot Snapshot;
    Snapshot.Engine.Requests = 5;
    Snapshot.ConfigurationVersion = 17;
    Host.serialize(Snapshot);
    Snapshot.Engine.Requests = 7;
    std::string Text = Host.serialize(Snapshot);
    checkHas(Text, "nutmegloom_request_duration_seconds_bucket{"
                   "class=\"panels\",kind=\"read\",le=\"0.005\"} 1");
    checkHas(Text, "nutmegloom_request_duration_seconds_count{"
                   "class=\"panels\",kind=\"read\"} 2");
    checkHas(Text, "nutmegloom_errors_total{code=\"overloaded\"} 1");
    checkHas(Text, "nutmegloom_control_payload_bytes_total{"
                   "kind=\"heartbeat\"} 120");
    checkHas(Text, "nutmegloom_requests_total 7");
    checkHas(Text, "nutmegloom_configuration_version 17");
  }

  /// Guards against gauges of groups that were removed from the settings.
  void removesGaugesOfRemovedGroups() {
    Metrics Host;
    MetricsSnapshot Snapshot;
    Snapshot.Groups = {{"s/0", 4, true, true, 2}};
    checkHas(Host.serialize(Snapshot),
             "nutmegloom_group_waiting_requests{group=\"s/0\"} 2");
    Snapshot.Groups.clear();
    CPPUNIT_ASSERT(Host.serialize(Snapshot).find("s/0") == std::string::npos);
  }

  /// Guards against a counter whose name lacks the suffix of counters.
  void namesHaveUnits() {
    std::string Text = Metrics().serialize({});
    std::size_t Counters = 0;
    for (std::size_t At = 0;
         (At = Text.find(" counter\n", At)) != std::string::npos; ++At) {
      CPPUNIT_ASSERT_EQUAL(std::string("_total"), Text.substr(At - 6, 6));
      ++Counters;
    }
    CPPUNIT_ASSERT(Counters > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace nutmegloom
