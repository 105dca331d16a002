#include "nutmegloomctl/commands.h"

#include "tests/settings/fakeplatform.h"
#include "tests/settings/samplesettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace nutmegloom {

class CommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandsTest);
  CPPUNIT_TEST(exitCodesReportTheOutcome);
  CPPUNIT_TEST(rejectsInvalidCommandLines);
  CPPUNIT_TEST(parsesAllOptions);
  CPPUNIT_TEST(diffHidesSecrets);
  CPPUNIT_TEST(statusReportsHighestTermAndRefusals);
  CPPUNIT_TEST(statusQueriesHostsWhenStoreIsUnreachable);
  CPPUNIT_TEST(manPageAndCompletionListEveryOption);
  CPPUNIT_TEST_SUITE_END();

  FakePlatform Store_;
  std::filesystem::path Folder_;
  std::vector<StatusTarget> QueriedTargets_;
  std::vector<HostStatus> Statuses_;

public:
  void setUp() override {
    Folder_ = std::filesystem::temp_directory_path() /
              ("nutmegloomctl-test-" + std::to_string(::getpid()));
    std::filesystem::create_directories(Folder_ / "overlays");
    write("base.jsonc", sampleBase());
  }
  void tearDown() override { std::filesystem::remove_all(Folder_); }

private:
  void write(const std::string &Name, const std::string &Text) const {
    std::ofstream(Folder_ / Name) << Text;
  }

  static std::string read(const std::string &Path) {
    std::ifstream File(std::string(NUTMEGLOOM_SOURCE_FOLDER) + "/" + Path);
    std::ostringstream Text;
    Text << File.rdbuf();
    return Text.str();
  }

  static std::variant<Options, EarlyExit>
  parse(std::vector<const char *> Arguments) {
    Arguments.insert(Arguments.begin(), "nutmegloomctl");
    Arguments.push_back(nullptr);
    return parseOptions(static_cast<int>(Arguments.size()) - 1,
                        Arguments.data());
  }

  CommandOutput run(const std::string &Command) {
    Options CommandOptions;
    CommandOptions.Command = Command;
    CommandOptions.Paths = {Folder_.string()};
    CommandOptions.Comment = "reason";
    CommandOptions.Editor = "ana";
    PlatformCalls Calls = Store_.calls();
    return runCommand(CommandOptions, Calls,
                      {[this](const std::vector<StatusTarget> &Targets) {
                         QueriedTargets_ = Targets;
                         return Statuses_;
                       },
                       [] { return std::string("2026-01-01T00:00:00Z"); },
                       [this] { return "id" + std::to_string(Store_.Puts); }});
  }

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  // Scripts use the exit code to decide whether to retry.
  void exitCodesReportTheOutcome() {
    CPPUNIT_ASSERT(run("check").Code == ExitCode::Done);
    CPPUNIT_ASSERT(run("apply").Code == ExitCode::Done);
    CPPUNIT_ASSERT(run("apply").Code == ExitCode::Done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Store_.Puts);
    CPPUNIT_ASSERT(contains(run("history").Text, "reason"));
    write("overlays/a.jsonc", "{\"limits\": {\"connections\": 1}}");
    const CommandOutput Refused = run("check");
    CPPUNIT_ASSERT(Refused.Code == ExitCode::Refused);
    CPPUNIT_ASSERT(contains(Refused.Text, (Folder_ / "overlays/a.jsonc: "
                                                     "limits.connections: 1")
                                              .string()));
    CPPUNIT_ASSERT(run("apply").Code == ExitCode::Refused);
    write("overlays/a.jsonc", "{}");
    Store_.PutFaults = {
        {[this] {
           Store_.PutFaults.clear();
           PlatformCalls Calls = Store_.calls();
           EditApplier(Calls, overlayEdit("other", "a", "{ }")).run();
         },
         false, false, false}};
    CPPUNIT_ASSERT(run("apply").Code == ExitCode::Conflict);
    Store_.PutFaults = {{nullptr, true, false, false}};
    Store_.FailReadsFrom = Store_.Reads + 1;
    Store_.FailReadsCount = 100;
    CPPUNIT_ASSERT(run("apply").Code == ExitCode::Unknown);
    CPPUNIT_ASSERT(run("apply").Code == ExitCode::Unreachable);
    CPPUNIT_ASSERT(run("history").Code == ExitCode::Unreachable);
  }

  // A typo must not start a change of the configuration.
  void rejectsInvalidCommandLines() {
    for (const std::vector<const char *> &Arguments :
         std::vector<std::vector<const char *>>{
             {},
             {"aply"},
             {"check"},
             {"apply", "x", "-p", "127.0.0.1:1"},
             {"status", "-p", "localhost:1"},
             {"status", "-p", "127.0.0.1:1", "-H", "1"},
             {"history", "-p", "127.0.0.1:1", "-t", "0"},
             {"history", "-p", "127.0.0.1:1", "-n", "0"},
             {"history", "--unknown"}}) {
      const auto Parsed = parse(Arguments);
      CPPUNIT_ASSERT(std::holds_alternative<EarlyExit>(Parsed));
      CPPUNIT_ASSERT(std::get<EarlyExit>(Parsed).Code == ExitCode::Usage);
    }
    CPPUNIT_ASSERT(std::get<EarlyExit>(parse({"--help"})).Code ==
                   ExitCode::Done);
  }

  // An option stored in the wrong field would change the wrong setting.
  void parsesAllOptions() {
    const auto Parsed = parse({"-p",  "127.0.0.1:1", "-t",    "7",   "-j", "-c",
                               "why", "-e",          "bo",    "-b",  "9",  "-o",
                               "-n",  "3",           "-r",    "a",   "-r", "b",
                               "-H",  "127.0.0.2:2", "apply", "one", "two"});
    CPPUNIT_ASSERT(std::holds_alternative<Options>(Parsed));
    const auto &ParsedOptions = std::get<Options>(Parsed);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:1"), ParsedOptions.Platform);
    CPPUNIT_ASSERT(ParsedOptions.Timeout == Milliseconds(7));
    CPPUNIT_ASSERT(ParsedOptions.Json);
    CPPUNIT_ASSERT_EQUAL(std::string("why"), ParsedOptions.Comment);
    CPPUNIT_ASSERT_EQUAL(std::string("bo"), ParsedOptions.Editor);
    CPPUNIT_ASSERT(ParsedOptions.BasedOn == std::uint64_t{9});
    CPPUNIT_ASSERT(ParsedOptions.Offline);
    CPPUNIT_ASSERT_EQUAL(3U, ParsedOptions.HistoryLimit);
    CPPUNIT_ASSERT(ParsedOptions.RemovedOverlays ==
                   (std::vector<std::string>{"a", "b"}));
    CPPUNIT_ASSERT(ParsedOptions.Hosts ==
                   std::vector<std::string>{"127.0.0.2:2"});
    CPPUNIT_ASSERT(ParsedOptions.Paths ==
                   (std::vector<std::string>{"one", "two"}));
  }

  // The output of diff is kept in terminals and tickets.
  void diffHidesSecrets() {
    run("apply");
    write("base.jsonc", sampleBaseWith("0123456789abcdef", "ABCDEF9876543210"));
    const CommandOutput Output = run("diff");
    CPPUNIT_ASSERT(contains(Output.Text, "tokens[0].secret: (hidden)"));
    write("base.jsonc",
          sampleBaseWith("[{\"id\": \"k1\", \"secret\": \"0123456789abcdef\"}]",
                         "\"ABCDEF9876543210\""));
    for (const CommandOutput &Each : {Output, run("diff")})
      for (const std::string &Text : {Each.Text, Each.Json}) {
        CPPUNIT_ASSERT(!contains(Text, "0123456789"));
        CPPUNIT_ASSERT(!contains(Text, "ABCDEF"));
      }
  }

  // A host that does not know of a failover yet must not hide the new primary.
  void statusReportsHighestTermAndRefusals() {
    run("apply");
    Store_.Hosts = {{"h1", "entry", "a", "r", "127.0.0.5:90", false},
                    {"d0", "database", "a", "r", "127.0.0.6:90", false}};
    Statuses_ = {
        parseHostStatus("1", R"({"host": "h1", "zone": "a", "state": "ready",
          "configuration": {"version": 1, "refused_version": 2,
            "refused_reason": "too new"},
          "groups": [{"group": "shop/0", "term": 3, "primary": "d1",
            "phase": "idle"}], "refusals": {"overloaded": 4}})"),
        parseHostStatus("2", R"({"host": "h2", "zone": "a", "state": "ready",
          "configuration": {"version": 0},
          "groups": [{"group": "shop/0", "term": 2, "primary": "d0"}]})"),
        parseHostStatus("3", "{}")};
    const CommandOutput Output = run("status");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, QueriedTargets_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.5:8080"),
                         QueriedTargets_[0].Address);
    for (const char *Part :
         {"latest edit: version 1  2026-01-01T00:00:00Z  ana",
          "a: version 0, 1, 2 hosts", "shop/0: term 3, primary d1\n",
          "h1: version 2 of the configuration: too new",
          "h1: 4 requests: overloaded", "at 3: the status can't be read"})
      CPPUNIT_ASSERT_MESSAGE(Part + Output.Text, contains(Output.Text, Part));
  }

  // The status must be available during an outage of the store.
  void statusQueriesHostsWhenStoreIsUnreachable() {
    Store_.FailReadsFrom = 0;
    Store_.FailReadsCount = 1;
    Store_.Hosts = {{"h1", "entry", "a", "r", "127.0.0.5:90", false}};
    CPPUNIT_ASSERT(run("status").Code == ExitCode::Unreachable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, QueriedTargets_.size());
  }

  // Users do not find options that are missing from help, man page or
  // completion.
  void manPageAndCompletionListEveryOption() {
    const std::string Help = helpText();
    const std::string Page = read("packages/nutmegloomctl/nutmegloomctl.1");
    const std::string Completion =
        read("packages/nutmegloomctl/nutmegloomctl.bash");
    std::size_t Count = 0;
    std::istringstream Arguments(Help);
    std::string Word;
    while (Arguments >> Word) {
      if (Word.rfind("--", 0) != 0)
        continue;
      ++Count;
      const std::string Name = Word.substr(2);
      CPPUNIT_ASSERT_MESSAGE(Word, contains(Completion, Word));
      CPPUNIT_ASSERT_MESSAGE(Word, contains(Page, "Fl -" + Name));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, Count);
    for (const char *Command :
         {"check", "diff", "apply", "status", "history", "help"}) {
      CPPUNIT_ASSERT(contains(Help, std::string("\n  ") + Command));
      CPPUNIT_ASSERT(contains(Page, std::string(".It Cm ") + Command));
      CPPUNIT_ASSERT(contains(Completion, Command));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

} // namespace nutmegloom
