#include "telemetry/logoutput.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>

namespace nutmegloom {

/// Tests the output of the log to a pipe.
class LogOutputTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogOutputTest);
  CPPUNIT_TEST(writesLinesAtOnce);
  CPPUNIT_TEST(neverWaitsForTheReader);
  CPPUNIT_TEST_SUITE_END();

  std::array<int, 2> Pipe_{};

public:
  void setUp() override {
    CPPUNIT_ASSERT_EQUAL(0, pipe(Pipe_.data()));
    fcntl(Pipe_[0], F_SETFL, O_NONBLOCK);
  }
  void tearDown() override {
    close(Pipe_[0]);
    close(Pipe_[1]);
  }

private:
  std::string readAll() const {
    std::string Text;
    std::array<char, 4096> Part{};
    for (;;) {
      ssize_t Count = read(Pipe_[0], Part.data(), Part.size());
      if (Count <= 0)
        return Text;
      Text.append(Part.data(), static_cast<std::size_t>(Count));
    }
  }

  void writesLinesAtOnce() {
    LogOutput Output(Pipe_[1]);
    Output.write("one\n");
    Output.write("two\n");
    CPPUNIT_ASSERT_EQUAL(std::string("one\ntwo\n"), readAll());
    CPPUNIT_ASSERT(!Output.hasReportableDrops());
  }

  // Guards against a process that blocks in write() when the reader of its log
  // has stopped, and answers nothing until the reader goes on.
  void neverWaitsForTheReader() {
    LogOutput Output(Pipe_[1]);
    std::string Line(1000, 'x');
    Line += '\n';
    std::size_t Accepted = 0;
    constexpr std::size_t Lines = 2000;
    for (std::size_t Number = 0; Number < Lines; ++Number)
      Accepted += Output.write(Line) ? 1 : 0;
    CPPUNIT_ASSERT(Accepted < Lines);
    CPPUNIT_ASSERT(!Output.hasReportableDrops());
    std::string Text;
    for (std::string Part = readAll(); !Part.empty(); Part = readAll()) {
      Text += Part;
      Output.flush();
    }
    CPPUNIT_ASSERT_EQUAL(Accepted * Line.size(), Text.size());
    CPPUNIT_ASSERT(Output.hasReportableDrops());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(Lines - Accepted), Output.takeDropped());
    CPPUNIT_ASSERT(!Output.hasReportableDrops());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogOutputTest);

} // namespace nutmegloom
