#ifndef NUTMEGLOOM_TESTING_STANDINDATABASE_STATEMENTEXECUTOR_H
#define NUTMEGLOOM_TESTING_STANDINDATABASE_STATEMENTEXECUTOR_H

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <deque>
#include <functional>

namespace nutmegloom::testing {

/// Executes a bounded number of statements at once; the others wait in order.
class StatementExecutor {
public:
  StatementExecutor(boost::asio::io_context &Io, std::size_t Count)
      : Io_(Io), FreeSlots_(Count) {}

  /// Holds a slot for the time and calls Action at its end.
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
