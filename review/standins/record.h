#ifndef NUTMEGLOOM_REVIEW_STANDINS_RECORD_H
#define NUTMEGLOOM_REVIEW_STANDINS_RECORD_H

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <fstream>
#include <string>
#include <string_view>

namespace review {

using Milliseconds = std::chrono::milliseconds;

/// The file record.txt of a case: what was sent, answered and run, with the
/// time since the start in seconds.
class Record {
public:
  explicit Record(const std::string &Path);

  void add(const std::string &Text);
  double seconds() const;

private:
  std::ofstream File_;
  std::chrono::steady_clock::time_point StartedAt_;
};

boost::asio::awaitable<void> pause(Milliseconds Time);

/// Starts a coroutine. An exception that leaves it ends the case as one that
/// could not run.
void start(boost::asio::io_context &Io, boost::asio::awaitable<void> Task);

/// Thrown when a case can't run.
struct CannotRun {
  std::string Detail;
};

} // namespace review

#endif // NUTMEGLOOM_REVIEW_STANDINS_RECORD_H
