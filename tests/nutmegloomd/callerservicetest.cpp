#include "nutmegloomd/callerservice.h"
#include "nutmegloomctl/statusreport.h"
#include "nutmegloomd/statuspage.h"

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace nutmegloom {

namespace {

class FakeRequest final : public HttpServerRequest {
public:
  FakeRequest(std::string_view Path, std::string_view Content,
              std::string_view Key = {})
      : Key_(Key) {
    Method = "POST";
    Target = Path;
    Body = Content;
    RemoteAddress = "127.0.0.1";
  }
  std::string_view header(std::string_view Name) const override {
    return Name == "Idempotency-Key" ? Key_ : std::string_view();
  }

private:
  std::string_view Key_;
};

constexpr std::string_view Read = R"({"kind":"read","statement":{"op":"get"}})";

} // namespace

class CallerServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallerServiceTest);
  CPPUNIT_TEST(refusesBeforeConfiguration);
  CPPUNIT_TEST(answersFromEngine);
  CPPUNIT_TEST(cancelsForCallerThatHasGone);
  CPPUNIT_TEST(keepsLabelsBounded);
  CPPUNIT_TEST(statusIsReadByOperatorsTool);
  CPPUNIT_TEST_SUITE_END();

  boost::asio::io_context Io_;
  Metrics Metrics_;
  Tracing Tracing_;
  HostContext Context_{Io_, nullptr, Metrics_, Tracing_, [] {}, 0};
  CallerService Service_{Context_, [] { return std::string("id"); }};
  std::unique_ptr<Engine> Core_;
  std::vector<HttpResponse> Responses_;

  HttpServer::Respond respond() {
    return [this](HttpResponse Response) {
      Responses_.push_back(std::move(Response));
    };
  }

  std::string lastBody() const { return Responses_.back().Body; }

public:
  void setUp() override {
    EngineHooks Hooks;
    Hooks.Answer = [this](TaskId Task, const CallerAnswer &Answer) {
      Service_.answer(Task, Answer);
    };
    Hooks.Forward = [](const HostName &, TaskId, const CallerRequest &) {};
    Hooks.OpenConnection = [](ConnectionId, const DatabaseId &) {};
    Hooks.CloseConnection = [](ConnectionId) {};
    Hooks.SendToDatabase = [](ConnectionId, const DatabaseRequest &) {};
    Hooks.Membership.SendHeartbeat = [](const HostEntity &,
                                        const PeerHeartbeat &) {};
    Hooks.Failover.SendControl = [](const ControlRequest &) {};
    Hooks.Failover.PollStatus = [](const DatabaseId &, std::uint64_t,
                                   Milliseconds) {};
    Hooks.Failover.Random = [] { return std::uint64_t(1); };
    Hooks.Failover.Report = [](const GroupId &, FailoverPhase, std::uint64_t,
                               const std::string &) {};
    Hooks.Configuration.WatchStore = [](std::uint64_t) {};
    Hooks.Configuration.FetchFromPeer = [](const HostName &) {};
    Hooks.Configuration.Apply = [](std::uint64_t, const std::string &) {
      return true;
    };
    Hooks.NewIdentifier = [] { return std::string("id"); };
    PeerHeartbeat Self;
    Self.Host = "h1";
    Self.Incarnation = "i1";
    Self.Region = "r1";
    Self.Zone = "z1";
    Self.State = HostState::Ready;
    Core_ = std::make_unique<Engine>(Self, Hooks);
    Context_.Core = Core_.get();
  }

private:
  void activateConfiguration() {
    Service_.configure({{"k", "0123456789abcdef"}});
    SiteConfiguration Content;
    Content.Version = 4;
    Content.Zones = {{"z1", "r1"}};
    Content.Limits.Classes = {{"panels", 3}};
    GroupEntity Group;
    Group.Id = "s/0";
    Group.Service = "s";
    Group.Members = {"db1"};
    Content.Groups = {Group};
    DatabaseEntity Database;
    Database.Id = "db1";
    Database.Group = "s/0";
    Database.Zone = "z1";
    Database.Region = "r1";
    Content.Databases = {Database};
    Core_->applyConfiguration(Content, currentTime());
  }

  /// Guards against a host that accepts requests before it has a configuration.
  void refusesBeforeConfiguration() {
    Service_.serve(FakeRequest("/v1/s/0/statements", Read), respond());
    CPPUNIT_ASSERT_EQUAL(503, Responses_.at(0).Status);
    CPPUNIT_ASSERT(lastBody().find(R"("code":"not_ready")") !=
                   std::string::npos);
    CPPUNIT_ASSERT(lastBody().find("retry_after_ms") != std::string::npos);
  }

  /// Guards against a lost response if the engine answers before submit
  /// returns.
  void answersFromEngine() {
    activateConfiguration();
    Service_.serve(FakeRequest("/v1/s/9/statements", Read), respond());
    Core_->tick(currentTime());
    CPPUNIT_ASSERT_EQUAL(404, Responses_.at(0).Status);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Service_.inProgress());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                         Service_.errors().at(ErrorCode::NotFound));
  }

  /// Guards against work that continues, or a response that is written, after
  /// the caller has disconnected.
  void cancelsForCallerThatHasGone() {
    activateConfiguration();
    auto Cancel =
        Service_.serve(FakeRequest("/v1/s/0/statements", Read), respond());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Service_.inProgress());
    CPPUNIT_ASSERT(!Core_->isIdle());
    Cancel();
    Core_->tick(currentTime());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Service_.inProgress());
    CPPUNIT_ASSERT(Core_->isIdle());
    CPPUNIT_ASSERT(Responses_.empty());
    Cancel();
  }

  /// Guards against unbounded metric labels: a caller can send any class name,
  /// and each label takes memory.
  void keepsLabelsBounded() {
    activateConfiguration();
    for (std::string_view Class : {"panels", "made up", ""}) {
      std::string Body = R"({"kind":"read","statement":{},"class":")" +
                         std::string(Class) + "\"}";
      Service_.serve(FakeRequest("/v1/s/9/statements", Body), respond());
    }
    Core_->tick(currentTime());
    std::string Text = Metrics_.serialize({});
    for (const std::string Label : {"panels", "other", "default"})
      CPPUNIT_ASSERT_MESSAGE(Label, Text.find("class=\"" + Label + "\"") !=
                                        std::string::npos);
    CPPUNIT_ASSERT(Text.find("made up") == std::string::npos);
  }

  /// Guards against a status page that nutmegloomctl can't parse.
  void statusIsReadByOperatorsTool() {
    activateConfiguration();
    StatusDetails Details;
    Details.Errors[ErrorCode::Overloaded] = 3;
    HostStatus Status = parseHostStatus(
        "127.0.0.1:1", makeStatusPage(*Core_, Details, currentTime()));
    CPPUNIT_ASSERT_EQUAL(std::string(), Status.Failure);
    CPPUNIT_ASSERT_EQUAL(std::string("h1"), Status.Name);
    CPPUNIT_ASSERT_EQUAL(std::string("z1"), Status.Zone);
    CPPUNIT_ASSERT_EQUAL(std::string("ready"), Status.State);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Status.Groups.size());
    CPPUNIT_ASSERT_EQUAL(std::string("s/0"), Status.Groups[0].Id);
    CPPUNIT_ASSERT_EQUAL(std::string("idle"), Status.Groups[0].Phase);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3), Status.Refusals["overloaded"]);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallerServiceTest);

} // namespace nutmegloom
