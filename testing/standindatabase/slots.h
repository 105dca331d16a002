#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_SLOTS_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_SLOTS_H

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <functional>

namespace nutmegloom::testing {

/// Executes a bounded number of statements at once; the others wait in order.
class Slots {
public:
  Slots(boost::asio::io_context &Io, std::size_t Count)
      : Io_(Io), Free_(Count) {}

  /// Holds a slot for the time and calls Effect at its end.
  void run(std::chrono::milliseconds Time, std::function<void()> Effect);

private:
  struct Work {
    std::chrono::milliseconds Time;
    std::function<void()> Effect;
  };

  void startNext();

  boost::asio::io_context &Io_;
  std::size_t Free_;
  std::deque<Work> Waiting_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_SLOTS_H
