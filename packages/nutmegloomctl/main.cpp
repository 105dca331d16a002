#include "nutmegloomctl/commands.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdio>
#include <ctime>
#include <random>

using namespace nutmegloom;

static std::string formatTime() {
  const std::time_t Now = std::time(nullptr);
  std::tm Utc{};
  gmtime_r(&Now, &Utc);
  std::array<char, 32> Text{};
  const std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Utc);
  return {Text.data(), Length};
}

static std::string makeEditId() {
  std::random_device Random;
  std::string Id;
  for (int Part = 0; Part < 4; ++Part) {
    std::array<char, 9> Digits{};
    std::snprintf(Digits.data(), Digits.size(), "%08x", Random());
    Id += Digits.data();
  }
  return Id;
}

static void waitFor(boost::asio::io_context &Io, Milliseconds Time) {
  boost::asio::steady_timer Timer(Io, Time);
  bool Expired = false;
  Timer.async_wait(
      [&Expired](const boost::system::error_code &) { Expired = true; });
  Io.restart();
  while (!Expired)
    Io.run_one();
}

int main(int Count, const char **Values) {
  const auto Parsed = parseOptions(Count, Values);
  if (const auto *Exit = std::get_if<EarlyExit>(&Parsed)) {
    std::fputs(Exit->Text.c_str(),
               Exit->Code == ExitCode::Done ? stdout : stderr);
    return static_cast<int>(Exit->Code);
  }
  const auto &Opts = std::get<Options>(Parsed);

  boost::asio::io_context Io;
  const auto Client = makePlatformClient(Io, Opts.Platform, Opts.Timeout);
  PlatformCalls Platform(*Client,
                         {[&Io] {
                            Io.restart();
                            Io.run_one();
                          },
                          [&Io](Milliseconds Time) { waitFor(Io, Time); }});
  const CommandOutput Output =
      runCommand(Opts, Platform,
                 {[&Io, &Opts](const std::vector<StatusTarget> &Targets) {
                    return readStatuses(Io, Targets, Opts.Timeout);
                  },
                  formatTime, makeEditId});
  const std::string Text = Opts.Json ? Output.Json + "\n" : Output.Text;
  std::fputs(Text.c_str(),
             Output.Code == ExitCode::Done || Opts.Json ? stdout : stderr);
  return static_cast<int>(Output.Code);
}
