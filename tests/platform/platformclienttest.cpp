#include "protocol/platformclient.h"

#include "protocol/httpconnection.h"
#include "testing/standinplatform/platform.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

class PlatformClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformClientTest);
  CPPUNIT_TEST(updatesOnlyTheExpectedVersion);
  CPPUNIT_TEST(watchesForNewerVersions);
  CPPUNIT_TEST(distinguishesLostAnswersFromUnsentUpdates);
  CPPUNIT_TEST(readsTheHostList);
  CPPUNIT_TEST_SUITE_END();

  using Answer = std::variant<PlatformObject, PlatformError>;

  boost::asio::io_context Io_;
  testing::Platform Store_{Io_, "127.0.0.1:0"};
  std::shared_ptr<PlatformClient> Client_ =
      makePlatformClient(Io_, Store_.address(), Milliseconds(10000));

  /// Runs the loop until the handler of the call has been called.
  template <typename T>
  T wait(std::function<void(std::function<void(T)>)> Call) {
    std::optional<T> Result;
    Call([&Result](T Given) { Result = std::move(Given); });
    while (!Result)
      Io_.run_one();
    return *Result;
  }

  Answer get() {
    return wait<Answer>(
        [this](auto Handler) { Client_->get("kind", "name", Handler); });
  }
  Answer put(std::uint64_t Expected, const std::string &Value) {
    return wait<Answer>([&](auto Handler) {
      Client_->put("kind", "name", Expected, Value, Handler);
    });
  }
  Answer watch(std::uint64_t After) {
    return wait<Answer>([&](auto Handler) {
      Client_->watch("kind", "name", After, Milliseconds(1), Handler);
    });
  }
  void control(const std::string &Method, const std::string &Target,
               const std::string &Body) {
    using Result = std::variant<HttpResponse, HttpFailure>;
    const auto Given = wait<Result>([&](auto Handler) {
      exchangeOnce(Io_, Store_.address(), {Method, Target, {}, Body},
                   Milliseconds(10000), 1000000, Handler);
    });
    CPPUNIT_ASSERT_EQUAL(200, std::get<HttpResponse>(Given).Status);
  }

  static bool is(const Answer &Given, PlatformError Error) {
    return std::holds_alternative<PlatformError>(Given) &&
           std::get<PlatformError>(Given) == Error;
  }
  static bool is(const Answer &Given, std::uint64_t Version,
                 const std::string &Value) {
    const auto *Object = std::get_if<PlatformObject>(&Given);
    return Object && Object->Version == Version && Object->Value == Value;
  }

  // An unconditional update would overwrite the edit of another operator.
  void updatesOnlyTheExpectedVersion() {
    CPPUNIT_ASSERT(is(get(), 0, ""));
    CPPUNIT_ASSERT(is(put(0, "one"), 1, "one"));
    CPPUNIT_ASSERT(is(put(0, "other"), PlatformError::ConditionFailed));
    CPPUNIT_ASSERT(is(get(), 1, "one"));
    CPPUNIT_ASSERT(is(put(1, "two"), 2, "two"));
  }

  // A watch that ends without a change must not be reported as an outage.
  void watchesForNewerVersions() {
    CPPUNIT_ASSERT(is(put(0, "one"), 1, "one"));
    CPPUNIT_ASSERT(is(watch(0), 1, "one"));
    CPPUNIT_ASSERT(is(watch(1), PlatformError::Unchanged));
  }

  // Only an update that was not sent may be reported as without effect.
  void distinguishesLostAnswersFromUnsentUpdates() {
    control("POST", "/faults", R"({"lose_answers": 1})");
    CPPUNIT_ASSERT(is(put(0, "one"), PlatformError::NoAnswer));
    CPPUNIT_ASSERT(is(get(), 1, "one"));
    Client_ = makePlatformClient(Io_, "127.0.0.1:1", Milliseconds(10000));
    CPPUNIT_ASSERT(is(put(0, "two"), PlatformError::Unreachable));
  }

  // A database whose state "leaving" is lost would get new work.
  void readsTheHostList() {
    using List = std::variant<std::vector<ListedHost>, PlatformError>;
    control("PUT", "/hosts",
            R"([{"name": "d", "role": "database", "zone": "z", "region": "r",
                 "peer_address": "127.0.0.2:1", "state": "leaving"}])");
    const auto Given =
        wait<List>([this](auto Handler) { Client_->listHosts(Handler); });
    const auto &Hosts = std::get<std::vector<ListedHost>>(Given);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Hosts.size());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.2:1"), Hosts[0].PeerAddress);
    CPPUNIT_ASSERT_EQUAL(std::string("database"), Hosts[0].Role);
    CPPUNIT_ASSERT(Hosts[0].Leaving);
    control("PUT", "/hosts", R"([{"name": 1}])");
    CPPUNIT_ASSERT(std::holds_alternative<PlatformError>(
        wait<List>([this](auto Handler) { Client_->listHosts(Handler); })));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformClientTest);

} // namespace nutmegloom
