#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_STATEMENTEXECUTOR_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_STATEMENTEXECUTOR_H

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <functional>

namespace nutmegloom::testing {

/// Limits the number of statements that execute at the same time. Further ones
/// wait in a first-in, first-out queue.
class StatementExecutor {
public:
  StatementExecutor(boost::asio::io_context &Io, std::size_t Count)
      : Io_(Io), FreeSlots_(Count) {}

  /// Waits for a free slot, occupies it for Time and then calls Action. With a
  /// time of zero the slot is not occupied.
  void run(std::chrono::milliseconds Time, std::function<void()> Action);

private:
  struct Statement {
    std::chrono::milliseconds Time;
    std::function<void()> Action;
  };

  void startNext();

  boost::asio::io_context &Io_;
  std::size_t FreeSlots_;
  std::deque<Statement> Waiting_;
};

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_STANDINDATABASE_STATEMENTEXECUTOR_H
