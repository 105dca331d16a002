#include "platform/platformhost.h"
#include "protocol/hostobservationcodec.h"
#include "protocol/relaycodec.h"
#include "telemetry/events.h"
#include "testing/standinsessions/objectapi.h"
#include "testing/standinsessions/sessiondatabases.h"

#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <random>
#include <sstream>

namespace nutmegloom {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;

namespace {

/// A caller's connection that records the received lines.
class TestCaller {
public:
  TestCaller(asio::io_context &Io, const std::string &Address) : Socket_(Io) {
    Socket_.connect(*endpointOf(Address));
    Stream_ = MessageStream::create(std::move(Socket_));
    Stream_->start({[this](std::string_view Line) { Lines.emplace_back(Line); },
                    [this] { Closed = true; }});
  }

  /// The stream outlives the caller until its last operation has ended.
  ~TestCaller() { Stream_->close(); }
  TestCaller(const TestCaller &) = delete;
  TestCaller &operator=(const TestCaller &) = delete;

  void send(const std::string &Line) { Stream_->write(Line + "\r\n"); }
  /// Returns true once the latest answer is complete.
  bool isReady() const {
    return !Lines.empty() && Lines.back().starts_with("READY");
  }

  std::vector<std::string> Lines;
  bool Closed = false;

private:
  tcp::socket Socket_;
  std::shared_ptr<MessageStream> Stream_;
};

} // namespace

/// Runs a PlatformHost in this process against fakes of the platform and the
/// databases on the loopback interface.
class PlatformHostTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformHostTest);
  CPPUNIT_TEST(servesAStatement);
  CPPUNIT_TEST(refusesUnknownDatabases);
  CPPUNIT_TEST(servesATransactionWithPreparedStatement);
  CPPUNIT_TEST(runsStatementsInTheOrderInWhichTheyWereSent);
  CPPUNIT_TEST(runsAStatementThatWasSentBeforeTheConfiguration);
  CPPUNIT_TEST(executesAPreparedTextOfSeveralWords);
  CPPUNIT_TEST(executesAPreparedTextOfOverHalfAMessage);
  CPPUNIT_TEST(appliesChangedRoutes);
  CPPUNIT_TEST(listsAgainAfterHistoryCompaction);
  CPPUNIT_TEST(replacesALostPrimary);
  CPPUNIT_TEST(replacesAPrimaryAfterTheStoreLostItsRecord);
  CPPUNIT_TEST(servesWhileTheStoreIsUnreachable);
  CPPUNIT_TEST(acceptsNoSessionOnceItHasFinished);
  CPPUNIT_TEST(answersStatementsInProgressBeforeItExits);
  CPPUNIT_TEST(servesWhileMalformedMessagesArrive);
  CPPUNIT_TEST(survivesASessionWithTooManyVariables);
  CPPUNIT_TEST(followsTheListBesideOddEntries);
  CPPUNIT_TEST(becomesReadyBesideOddEntries);
  CPPUNIT_TEST(reportsAnOddEntryOnce);
  CPPUNIT_TEST(runsNothingThatTheNameOfAnEntryContains);
  CPPUNIT_TEST(namesTheAccountToDatabases);
  CPPUNIT_TEST(refusesUnknownKeys);
  CPPUNIT_TEST(refusesAWithdrawnKeyInsideATransaction);
  CPPUNIT_TEST(servesPublicRoutesWithoutAKey);
  CPPUNIT_TEST(stopsAcceptingKeysWithoutTheStore);
  CPPUNIT_TEST(refusesAnAccountOverItsLimit);
  CPPUNIT_TEST(revealsNoKeys);
  CPPUNIT_TEST_SUITE_END();

  /// Leaves 400 ms for ending transactions.
  static constexpr Milliseconds StopGrace{2000};

  asio::io_context Io_;
  testing::SessionDatabases Databases_{Io_, "g", {"a", "b", "c"}};
  testing::ObjectApi Store_{Io_, [this](const std::string &Id) {
                              if (!Databases_.isUp(Id))
                                return false;
                              Databases_.promote(Id);
                              registerDatabase(Id, "primary");
                              return true;
                            }};
  std::unique_ptr<PlatformHost> Host_;
  std::unique_ptr<PlatformHost> Second_;
  std::string CallerAddress_;
  /// Addresses of all ports on which the host listens.
  std::vector<std::string> TcpAddresses_;
  std::string PeerAddress_;
  std::ostringstream Log_;

  static std::string freeAddress(asio::io_context &Io) {
    tcp::acceptor Acceptor(Io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  void registerDatabase(const std::string &Id, const std::string &Role) {
    Store_.put("servers", Id,
               {{"Service", "g"},
                {"Address", Databases_.addressOf(Id)},
                {"Zone", "z"},
                {"Slots", 5},
                {"State", "ready"},
                {"DatabaseRole", Role}});
  }

  void configure(std::uint64_t Version, const std::vector<std::string> &Names) {
    json Content;
    Content["Version"] = Version;
    Content["Routes"] = json::array();
    for (const std::string &Name : Names)
      Content["Routes"].push_back({{"Host", Name},
                                   {"Service", "g"},
                                   {"Kind", "primary"},
                                   {"TimeoutMs", 1000},
                                   {"Priority", 1}});
    Content["Services"] = {{{"Name", "g"}, {"MaxConnections", 34}}};
    Store_.put("config", "main", Content);
  }

  using Lines = std::vector<std::string>;

  /// Configures two accounts, of which the second is limited, and a public
  /// route.
  void configureAccounts(std::uint64_t Version, const std::string &FirstKey) {
    json Content;
    Content["Version"] = Version;
    json Route = {{"Host", "d1"},      {"Service", "g"}, {"Kind", "primary"},
                  {"TimeoutMs", 1000}, {"Priority", 1},  {"Public", false}};
    json Open = Route;
    Open["Host"] = "open";
    Open["Public"] = true;
    Content["Routes"] = {Route, Open};
    Content["Services"] = {{{"Name", "g"}, {"MaxConnections", 34}}};
    Content["Tenants"] = {
        {{"Name", "first"}, {"ApiKeys", json::array({FirstKey})}},
        {{"Name", "second"},
         {"ApiKeys", json::array({"key-of-second"})},
         {"RequestsPerS", 0.001},
         {"Burst", 2}}};
    Store_.put("config", "main", Content);
  }

  /// Starts another host, with a bound for the revocation of keys, which the
  /// callers connect to.
  void startWithAccounts(Milliseconds RevocationBound) {
    configureAccounts(5, "key-of-first");
    PlatformSettings Settings = settingsOf("h2");
    CallerAddress_ = Settings.CallerAddress;
    TcpAddresses_[3] = "127.0.0.1:" + std::to_string(Settings.MetricsPort);
    Settings.KeyRevocation = RevocationBound;
    Settings.Tolerance = {Milliseconds{5000}, 0.1, 20};
    Second_ = std::make_unique<PlatformHost>(Io_, Settings);
    CPPUNIT_ASSERT(Second_->start());
  }

  std::unique_ptr<TestCaller> connectWith(const std::string &Key,
                                          const std::string &Name = "d1") {
    auto Made = std::make_unique<TestCaller>(Io_, CallerAddress_);
    CPPUNIT_ASSERT_EQUAL(std::string("READY I -"),
                         ask(*Made, "START " + Name + " " + Key).back());
    return Made;
  }

  std::string refusalOf(const std::string &Start) {
    TestCaller Caller(Io_, CallerAddress_);
    Caller.send(Start);
    CPPUNIT_ASSERT(await([&] { return Caller.Closed; }));
    return Caller.Lines.at(0);
  }

  static constexpr Milliseconds LongBound{60000};

  PlatformSettings settingsOf(const HostName &Host) {
    PlatformSettings Settings;
    Settings.Host = Host;
    Settings.Address = "127.0.0.1";
    Settings.Zone = "z";
    Settings.Region = "r";
    Settings.RegionsOfZones = {{"z", "r"}};
    Settings.CallerAddress = freeAddress(Io_);
    Settings.ReadinessAddress = freeAddress(Io_);
    Settings.PeerPort = endpointOf(freeAddress(Io_))->port();
    Settings.MetricsPort = endpointOf(freeAddress(Io_))->port();
    Settings.StoreAddress = Store_.address();
    Settings.PromotionAddress = Store_.address();
    Settings.StopGrace = StopGrace;
    return Settings;
  }

public:
  void setUp() override {
    setLogStream(Log_);
    registerDatabase("a", "primary");
    registerDatabase("b", "replica");
    registerDatabase("c", "replica");
    configure(3, {"d1"});
    PlatformSettings Settings = settingsOf("h1");
    CallerAddress_ = Settings.CallerAddress;
    PeerAddress_ = "127.0.0.1:" + std::to_string(Settings.PeerPort);
    TcpAddresses_ = {CallerAddress_, Settings.ReadinessAddress, PeerAddress_,
                     "127.0.0.1:" + std::to_string(Settings.MetricsPort)};
    Host_ = std::make_unique<PlatformHost>(Io_, Settings);
    CPPUNIT_ASSERT(Host_->start());
  }

  void tearDown() override {
    // Handlers refer to the host, so they must not run after its destruction.
    Io_.stop();
    static std::ostringstream Discarded;
    setLogStream(Discarded);
  }

private:
  /// Runs the loop until the condition holds. Returns false after 10 s.
  bool await(const std::function<bool()> &Condition) {
    auto End = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!Condition() && std::chrono::steady_clock::now() < End)
      Io_.run_one_for(std::chrono::milliseconds(20));
    return Condition();
  }

  void runFor(Milliseconds Span) {
    asio::steady_timer Timer(Io_, Span);
    bool Passed = false;
    Timer.async_wait([&](auto) { Passed = true; });
    CPPUNIT_ASSERT(await([&] { return Passed; }));
  }

  std::vector<std::string> ask(TestCaller &Caller, const std::string &Line) {
    Caller.Lines.clear();
    Caller.send(Line);
    if (!await([&] { return Caller.isReady(); }))
      CPPUNIT_FAIL("no answer to " + Line + " but " +
                   (Caller.Lines.empty() ? "nothing" : Caller.Lines.back()) +
                   "\n" + Log_.str());
    return Caller.Lines;
  }

  std::unique_ptr<TestCaller> connect(const std::string &Name) {
    auto Made = std::make_unique<TestCaller>(Io_, CallerAddress_);
    CPPUNIT_ASSERT_EQUAL(std::string("READY I -"),
                         ask(*Made, "START " + Name + " me").back());
    return Made;
  }

  void servesAStatement() {
    auto Caller = connect("d1");
    Lines Read = ask(*Caller, "QUERY q1 READ x");
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Read.size());
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"), Read[1]);
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                         ask(*Caller, "QUERY q2 WRITE x data")[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Databases_.commits());
  }

  void refusesUnknownDatabases() {
    TestCaller Caller(Io_, CallerAddress_);
    Caller.send("START other me");
    CPPUNIT_ASSERT(await([&] { return Caller.Closed; }));
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR NODATABASE other"),
                         Caller.Lines.at(0));
  }

  void servesATransactionWithPreparedStatement() {
    auto Caller = connect("d1");
    ask(*Caller, "QUERY q1 SET v 1");
    ask(*Caller, "QUERY q2 PREPARE s WRITE shape");
    CPPUNIT_ASSERT_EQUAL(std::string("READY T -"),
                         ask(*Caller, "QUERY q3 BEGIN").back());
    ask(*Caller, "QUERY q4 EXECUTE s x data");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Databases_.commits());
    ask(*Caller, "QUERY q5 COMMIT");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Databases_.commits());
    checkExecuted(Databases_.runs().at(0), {true, "shape"}, " x data");
  }

  /// Runs the loop until the caller has received a number of READY messages.
  void awaitAnswers(tcp::socket &Caller, std::size_t Expected) {
    std::string Received;
    CPPUNIT_ASSERT(await([&] {
      std::string Part(Caller.available(), '\0');
      if (!Part.empty())
        Caller.read_some(asio::buffer(Part));
      Received += Part;
      std::size_t Answers = 0;
      for (std::size_t At = 0;
           (At = Received.find("READY", At)) != std::string::npos; ++At)
        ++Answers;
      return Answers >= Expected;
    }));
  }

  // Guards against a statement that runs ahead of queued ones: its arrival and
  // the answer to the current statement were handled in one turn of the event
  // loop, so that a ROLLBACK ran before a WRITE, which was then committed
  // alone.
  void runsStatementsInTheOrderInWhichTheyWereSent() {
    constexpr int Turns = 60;
    connect("d1");
    for (int Turn = 0; Turn < Turns; ++Turn) {
      tcp::socket Caller(Io_);
      Caller.connect(*endpointOf(CallerAddress_));
      asio::write(Caller, asio::buffer(std::string(
                              "START d1 me\r\nQUERY q1 BEGIN\r\n"
                              "QUERY q2 WRITE a x\r\nQUERY q3 WRITE b x\r\n")));
      for (int Handled = 0; Handled < Turn; ++Handled)
        Io_.run_one_for(Milliseconds{20});
      asio::write(Caller, asio::buffer(std::string("QUERY q4 ROLLBACK\r\n")));
      awaitAnswers(Caller, 5);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), Databases_.commits());
    }
  }

  // Guards against a session that stays silent: its first statement was queued
  // while the host had no configuration.
  void runsAStatementThatWasSentBeforeTheConfiguration() {
    std::optional<json> Content = Store_.find("config", "main");
    Store_.erase("config", "main");
    PlatformSettings Settings = settingsOf("h2");
    PlatformHost Second(Io_, Settings);
    CPPUNIT_ASSERT(Second.start());
    tcp::socket Caller(Io_);
    Caller.connect(*endpointOf(Settings.CallerAddress));
    asio::write(Caller, asio::buffer(std::string(
                            "START d1 me\r\nQUERY q1 SET name value\r\n")));
    runFor(Milliseconds{50});
    Store_.put("config", "main", *Content);
    awaitAnswers(Caller, 2);
    Io_.stop();
  }

  /// Checks that a database ran "EXECUTE NAME" and the arguments, with one word
  /// as the name, and had the prepared statement under it.
  static void
  checkExecuted(const testing::SessionDatabases::Run &Run,
                const testing::SessionDatabases::PreparedStatement &Prepared,
                const std::string &Arguments) {
    std::string Verb = "EXECUTE ";
    CPPUNIT_ASSERT(Run.Text.starts_with(Verb));
    std::size_t NameEnd = Run.Text.find(' ', Verb.size());
    CPPUNIT_ASSERT(NameEnd != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(Arguments, Run.Text.substr(NameEnd));
    CPPUNIT_ASSERT(Run.Prepared == Prepared);
  }

  // Guards against a database that runs a part of the prepared text as the
  // statement's arguments.
  void executesAPreparedTextOfSeveralWords() {
    auto Caller = connect("d1");
    ask(*Caller, "QUERY q1 PREPARE s1 WRITE q7 READ cnqcgjecvq");
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                         ask(*Caller, "QUERY q2 EXECUTE s1 f3 data")[0]);
    checkExecuted(Databases_.runs().at(0), {true, "q7 READ cnqcgjecvq"},
                  " f3 data");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Databases_.commits());
  }

  // Guards against a text that stands twice in one message of at most 1 MiB.
  void executesAPreparedTextOfOverHalfAMessage() {
    auto Caller = connect("d1");
    std::string Text(MaximumLineBytes * 2 / 3, 'q');
    ask(*Caller, "QUERY q1 PREPARE s1 READ " + Text);
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                         ask(*Caller, "QUERY q2 EXECUTE s1 f3")[1]);
    checkExecuted(Databases_.runs().at(0), {false, Text}, " f3");
  }

  void appliesChangedRoutes() {
    auto Old = connect("d1");
    configure(8, {"d2"});
    CPPUNIT_ASSERT(await([&] {
      TestCaller Caller(Io_, CallerAddress_);
      return ask(Caller, "START d2 me").back().starts_with("READY") ||
             Caller.Closed;
    }));
    CPPUNIT_ASSERT(
        ask(*Old, "QUERY q READ x")[0].starts_with("ERROR NODATABASE"));
  }

  void listsAgainAfterHistoryCompaction() {
    connect("d1");
    Store_.dropHistory();
    configure(8, {"d1", "d2"});
    auto HasVersion = [this] {
      return Log_.str().find("version=8") != std::string::npos;
    };
    CPPUNIT_ASSERT(await(HasVersion));
  }

  void replacesALostPrimary() {
    auto Caller = connect("d1");
    ask(*Caller, "QUERY q1 WRITE x data");
    Databases_.crash("a");
    bool Served = await([&] {
      return ask(*Caller, "QUERY q2 WRITE x data")[0].starts_with("COMPLETE");
    });
    CPPUNIT_ASSERT(Served);
    CPPUNIT_ASSERT(Databases_.primary() != "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store_.promotions());
    auto Record = Store_.find("leaderships", "g");
    CPPUNIT_ASSERT_EQUAL(std::string("settled"),
                         (*Record)["phase"].get<std::string>());
  }

  /// Crashes the primary, whose entry leaves the list, and waits until a write
  /// is served by the next one. Returns false if none is.
  bool replacePrimary(TestCaller &Caller) {
    std::string Lost = Databases_.primary();
    Databases_.crash(Lost);
    Store_.erase("servers", Lost);
    return await([&] {
      return ask(Caller, "QUERY q WRITE x data")[0].starts_with("COMPLETE");
    });
  }

  // Guards against a primary that is never replaced again because the store
  // came back from a copy, without the promotion lease and the latest record.
  void replacesAPrimaryAfterTheStoreLostItsRecord() {
    auto Caller = connect("d1");
    ask(*Caller, "QUERY q1 WRITE x data");
    Store_.copy();
    CPPUNIT_ASSERT(replacePrimary(*Caller));
    std::string Second = Databases_.primary();
    Store_.restore();
    Store_.erase("servers", "a");
    registerDatabase(Second, "primary");
    CPPUNIT_ASSERT(replacePrimary(*Caller));
    CPPUNIT_ASSERT(Databases_.primary() != Second);
  }

  void servesWhileTheStoreIsUnreachable() {
    auto Caller = connect("d1");
    ask(*Caller, "QUERY q1 WRITE x data");
    Store_.setDown(true);
    // Waits for longer than a leadership stays valid without confirmation by
    // the store.
    runFor(LeadershipValidity * 2);
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                         ask(*Caller, "QUERY q2 WRITE x data")[0]);
  }

  bool hasLogged(const std::string &Event) const {
    return Log_.str().find("name=" + Event) != std::string::npos;
  }

  // Guards against a session that is accepted while the host gives up its slot:
  // the process exited in the middle of its statement.
  void acceptsNoSessionOnceItHasFinished() {
    connect("d1");
    raise(SIGTERM);
    CPPUNIT_ASSERT(await([this] { return hasLogged("drain_finished"); }));
    tcp::socket Late(Io_);
    boost::system::error_code Error;
    Late.connect(*endpointOf(CallerAddress_), Error);
    CPPUNIT_ASSERT(Error == asio::error::connection_refused);
  }

  void answersStatementsInProgressBeforeItExits() {
    auto Caller = connect("d1");
    ask(*Caller, "QUERY q1 READ x");
    Databases_.setSilent("a", true);
    raise(SIGTERM);
    CPPUNIT_ASSERT(await([this] { return hasLogged("drain_started"); }));
    // Idle sessions are closed after half of the grace period.
    runFor(StopGrace / 2 - Milliseconds{100});
    Caller->Lines.clear();
    Caller->send("QUERY q2 WRITE x data");
    CPPUNIT_ASSERT(await([&] { return Caller->Closed || Io_.stopped(); }));
    CPPUNIT_ASSERT(!Caller->Lines.empty());
    CPPUNIT_ASSERT(Caller->Lines[0].starts_with("ERROR INDOUBT"));
  }

  /// A valid message of each kind of protocol.
  static std::vector<std::string> validMessages() {
    RelayedStatement Statement;
    Statement.Work.Session = 5;
    Statement.Work.Group = "g";
    Statement.Work.Command.Text = "WRITE x data";
    std::string Relay = encodeRelayMessage(Statement);
    std::string Length(4, '\0');
    Length[0] = static_cast<char>(Relay.size());
    HostObservation Observation;
    Observation.Host = "h2";
    Observation.Groups.resize(2);
    Observation.Groups[0].Record.Group = "g";
    return {"START d1 me\r\nQUERY q WRITE x data\r\n", Length + Relay,
            encodeObservation(Observation),
            "GET /v1/readiness HTTP/1.1\r\nHost: h\r\n\r\n"};
  }

  /// Changes some bytes, cuts the message short, or makes it much longer.
  static std::string damaged(std::string Message, std::mt19937 &Random) {
    for (std::size_t Count = Random() % 8; Count > 0; --Count)
      Message[Random() % Message.size()] = static_cast<char>(Random());
    if (Random() % 3 == 0)
      Message.resize(Random() % Message.size());
    if (Random() % 16 == 0)
      Message += std::string(2 * MaximumLineBytes, 'x');
    return Message;
  }

  void sendToAllPorts(const std::string &Bytes) {
    for (const std::string &Address : TcpAddresses_) {
      tcp::socket Socket(Io_);
      boost::system::error_code Ignored;
      Socket.connect(*endpointOf(Address), Ignored);
      Socket.non_blocking(true);
      Socket.send(asio::buffer(Bytes), 0, Ignored);
      Io_.poll();
    }
    asio::ip::udp::socket Sender(Io_, asio::ip::udp::v4());
    tcp::endpoint To = *endpointOf(PeerAddress_);
    boost::system::error_code Ignored;
    Sender.send_to(asio::buffer(Bytes.substr(0, 60000)),
                   asio::ip::udp::endpoint(To.address(), To.port()), 0,
                   Ignored);
    Io_.poll();
  }

  // Guards against one malformed message that ends the process or the sessions
  // of other callers. An exception would leave Io_.poll().
  void servesWhileMalformedMessagesArrive() {
    auto Caller = connect("d1");
    std::mt19937 Random(20261204);
    std::vector<std::string> Valid = validMessages();
    for (int Round = 0; Round < 200; ++Round) {
      sendToAllPorts(damaged(Valid[Random() % Valid.size()], Random));
      if (Round % 20 == 0)
        CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                             ask(*Caller, "QUERY q READ x")[1]);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                         ask(*connect("d1"), "QUERY q READ x")[1]);
  }

  // Guards against a process that ends by itself: the variables are more than
  // the connection to a database queues, and its end was handled in the middle
  // of sending them.
  void survivesASessionWithTooManyVariables() {
    auto Caller = connect("d1");
    std::string Value(MaximumLineBytes - 100, 'x');
    for (int Number = 0; Number < 8; ++Number)
      CPPUNIT_ASSERT_EQUAL(
          std::string("COMPLETE -"),
          ask(*Caller,
              "QUERY q SET v" + std::to_string(Number) + " " + Value)[0]);
    CPPUNIT_ASSERT(ask(*Caller, "QUERY q READ x")[0].starts_with("ERROR "));
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                         ask(*connect("d1"), "QUERY q READ x")[1]);
  }

  /// Contents that another program may have written, from slightly wrong ones
  /// to ones that exhaust the stack of a recursive reader.
  static std::vector<std::string> oddContents() {
    constexpr std::size_t Depth = 200000;
    std::string Valid = R"("Service":"g","Zone":"z","State":"ready",)"
                        R"("DatabaseRole":"primary")";
    return {"{" + Valid + R"(,"Address":"127.0.0.1:70000"})",
            "{" + Valid + R"(,"Address":"127.0.0.1:80","Slots":1e999})",
            "{" + Valid + R"(,"Address":"127.0.0.1:80","Slots":1e300})",
            "{" + Valid + R"(,"Address":"127.0.0.1:80","born":-1})",
            "{" + Valid + R"(,"Address":"127.0.0.1:80","More":)" +
                std::string(Depth, '[') + std::string(Depth, ']') + "}",
            "{" + Valid + R"(,"Address":"\xff\xfe"})",
            "\"\xff\xfe\xfd\xfc\"",
            "nonsense",
            "[]"};
  }

  static std::string oddName(std::size_t Number) {
    return "odd-" + std::to_string(Number);
  }

  void putOddEntries() {
    std::vector<std::string> Contents = oddContents();
    for (std::size_t At = 0; At < Contents.size(); ++At) {
      Store_.putText("servers", oddName(At), Contents[At]);
      runFor(Milliseconds{20});
    }
  }

  bool hasReported(const std::string &Object) const {
    return Log_.str().find("object=" + Object) != std::string::npos;
  }

  // Guards against processes that end, or stop following the list of databases,
  // because another program has written an odd entry there.
  void followsTheListBesideOddEntries() {
    auto Caller = connect("d1");
    putOddEntries();
    for (std::size_t At = 0; At < oddContents().size(); ++At)
      CPPUNIT_ASSERT(await([&] { return hasReported(oddName(At)); }));
    Databases_.crash("a");
    Store_.erase("servers", "a");
    CPPUNIT_ASSERT(await([&] {
      auto Lines = ask(*Caller, "QUERY q READ x");
      return Lines[0].starts_with("DATAROW");
    }));
  }

  // The same for a process that starts, and so reads the whole list at once.
  void becomesReadyBesideOddEntries() {
    putOddEntries();
    PlatformSettings Settings = settingsOf("h2");
    PlatformHost Second(Io_, Settings);
    CPPUNIT_ASSERT(Second.start());
    CallerAddress_ = Settings.CallerAddress;
    auto Caller = connect("d1");
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                         ask(*Caller, "QUERY q READ x")[1]);
    Io_.stop();
  }

  // Guards against a statement that another program has put into the name of an
  // entry, with the address of a database.
  void runsNothingThatTheNameOfAnEntryContains() {
    Store_.put("config", "main",
               {{"Version", 8},
                {"Routes",
                 {{{"Host", "d2"},
                   {"Service", "g"},
                   {"Kind", "bounded_staleness"},
                   {"MaxStalenessMs", 1500},
                   {"TimeoutMs", 1000},
                   {"Priority", 1}}}},
                {"Services", {{{"Name", "g"}, {"MaxConnections", 34}}}}});
    Store_.put("servers", "a\r\nQUERY evil WRITE x stolen",
               {{"Service", "g"},
                {"Address", Databases_.addressOf("a")},
                {"Zone", "z"},
                {"Slots", 5},
                {"State", "ready"},
                {"DatabaseRole", "replica"}});
    CPPUNIT_ASSERT(await(
        [this] { return Log_.str().find("version=8") != std::string::npos; }));
    // Many statements at once need more connections than one.
    Databases_.crash("b");
    Databases_.crash("c");
    std::vector<std::unique_ptr<TestCaller>> Callers(12);
    for (auto &Caller : Callers)
      Caller = connect("d2");
    for (int Round = 0; Round < 10; ++Round) {
      for (auto &Caller : Callers) {
        Caller->Lines.clear();
        Caller->send("QUERY q READ x");
      }
      for (auto &Caller : Callers)
        CPPUNIT_ASSERT(await([&] { return Caller->isReady(); }));
    }
    CPPUNIT_ASSERT(!Databases_.runs().empty());
    for (const auto &Run : Databases_.runs())
      CPPUNIT_ASSERT_EQUAL(std::string("READ x"), Run.Text);
  }

  // Guards against a log that is filled by an entry that stays.
  void reportsAnOddEntryOnce() {
    Store_.putText("servers", oddName(0), "[]");
    CPPUNIT_ASSERT(await([&] { return hasReported(oddName(0)); }));
    for (int Change = 0; Change < 5; ++Change) {
      registerDatabase("b", "replica");
      runFor(Milliseconds{20});
    }
    std::string Text = Log_.str();
    std::size_t First = Text.find(oddName(0));
    CPPUNIT_ASSERT(Text.find(oddName(0), First + 1) == std::string::npos);
  }

  void namesTheAccountToDatabases() {
    startWithAccounts(LongBound);
    auto First = connectWith("key-of-first");
    ask(*First, "QUERY q1 WRITE x data");
    CPPUNIT_ASSERT_EQUAL(std::string("first"),
                         Databases_.runs().back().Account);
    auto Second = connectWith("key-of-second");
    ask(*Second, "QUERY q2 WRITE x data");
    CPPUNIT_ASSERT_EQUAL(std::string("second"),
                         Databases_.runs().back().Account);
    ask(*First, "QUERY q3 READ x");
    CPPUNIT_ASSERT_EQUAL(std::string("first"),
                         Databases_.runs().back().Account);
  }

  void refusesUnknownKeys() {
    startWithAccounts(LongBound);
    connectWith("key-of-first");
    for (const char *Start : {"START d1 other-key", "START d1", "START d1 ",
                              "START none other-key"})
      CPPUNIT_ASSERT(refusalOf(Start).starts_with("ERROR DENIED"));
    CPPUNIT_ASSERT(
        refusalOf("START none key-of-first").starts_with("ERROR NODATABASE"));
    CPPUNIT_ASSERT(Databases_.runs().empty());
  }

  // Guards against a statement or a commit that runs after its key was taken
  // away.
  void refusesAWithdrawnKeyInsideATransaction() {
    startWithAccounts(LongBound);
    auto Idle = connectWith("key-of-first");
    auto Writing = connectWith("key-of-first");
    ask(*Writing, "QUERY q1 BEGIN");
    ask(*Writing, "QUERY q2 WRITE x data");
    configureAccounts(6, "new-key");
    connectWith("new-key");
    CPPUNIT_ASSERT(
        ask(*Idle, "QUERY q3 READ x")[0].starts_with("ERROR DENIED"));
    CPPUNIT_ASSERT(
        ask(*Writing, "QUERY q4 COMMIT")[0].starts_with("ERROR DENIED"));
    CPPUNIT_ASSERT(await([&] { return Idle->Closed && Writing->Closed; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Databases_.commits());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Databases_.runs().size());
  }

  void servesPublicRoutesWithoutAKey() {
    startWithAccounts(LongBound);
    auto Anybody = connectWith("other-key", "open");
    ask(*Anybody, "QUERY q1 READ x");
    CPPUNIT_ASSERT_EQUAL(std::string("nutmegloom"),
                         Databases_.runs().back().Account);
  }

  // Guards against a host that can't hear of a withdrawn key and goes on to
  // accept it.
  void stopsAcceptingKeysWithoutTheStore() {
    startWithAccounts(Milliseconds{1500});
    auto Caller = connectWith("key-of-first");
    CPPUNIT_ASSERT_EQUAL(std::string("COMPLETE sig-a"),
                         ask(*Caller, "QUERY q1 READ x")[1]);
    Store_.setDown(true);
    std::size_t Asked = 1;
    CPPUNIT_ASSERT(await([&] {
      std::string Id = std::to_string(++Asked);
      return ask(*Caller, "QUERY q" + Id + " READ x")[0].starts_with(
          "ERROR BUSY this host can't confirm API keys now, not run");
    }));
    CPPUNIT_ASSERT(
        refusalOf("START d1 key-of-first").starts_with("ERROR BUSY"));
    Store_.setDown(false);
    CPPUNIT_ASSERT(await([&] {
      std::string Id = std::to_string(++Asked);
      return ask(*Caller, "QUERY q" + Id + " READ x").back() == "READY I 3.0" ||
             ask(*Caller, "QUERY r" + Id + " READ x").size() == 3;
    }));
  }

  void refusesAnAccountOverItsLimit() {
    startWithAccounts(LongBound);
    auto Limited = connectWith("key-of-second");
    auto Other = connectWith("key-of-first");
    std::string Refusal;
    for (int Number = 0; Number < 10 && Refusal.empty(); ++Number) {
      Lines Answer =
          ask(*Limited, "QUERY q" + std::to_string(Number) + " READ x");
      if (Answer[0].starts_with("ERROR"))
        Refusal = Answer[0];
    }
    CPPUNIT_ASSERT(Refusal.starts_with(
        "ERROR BUSY over the account's rate limit, not run, retry after "));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), ask(*Other, "QUERY r1 READ x").size());
  }

  // Keys are secrets: neither answers, nor logs, nor metrics, nor what a
  // database is told may contain one.
  void revealsNoKeys() {
    startWithAccounts(LongBound);
    auto Caller = connectWith("key-of-first");
    ask(*Caller, "QUERY q1 WRITE x data");
    std::string Seen = refusalOf("START d1 key-of-nobody");
    configureAccounts(6, "new-key");
    connectWith("new-key");
    for (const std::string &Line : ask(*Caller, "QUERY q2 READ x"))
      Seen += Line;
    std::optional<std::variant<HttpResponse, HttpFailure>> Metrics;
    exchangeOnce(Io_, TcpAddresses_[3], {"GET", "/metrics", {}, ""},
                 Milliseconds{5000}, std::size_t{1} << 20,
                 [&](auto Result) { Metrics = std::move(Result); });
    CPPUNIT_ASSERT(await([&] { return Metrics.has_value(); }));
    Seen += std::get<HttpResponse>(*Metrics).Body;
    CPPUNIT_ASSERT(Seen.find("nutmegloom_key_refusals_total") !=
                   std::string::npos);
    for (const auto &Run : Databases_.runs())
      Seen += Run.Account;
    Seen += Log_.str();
    CPPUNIT_ASSERT(Seen.find("name=key_refused") != std::string::npos);
    for (const char *Key :
         {"key-of-first", "key-of-second", "key-of-nobody", "new-key"})
      CPPUNIT_ASSERT(Seen.find(Key) == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformHostTest);

} // namespace nutmegloom
