#include "testing/standindatabase/statementexecutor.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace nutmegloom::testing {

void StatementExecutor::run(std::chrono::milliseconds Time,
                            std::function<void()> Action) {
  Waiting_.push_back({Time, std::move(Action)});
  startNext();
}

void StatementExecutor::startNext() {
  while (FreeSlots_ > 0 && !Waiting_.empty()) {
    Statement Next = std::move(Waiting_.front());
    Waiting_.pop_front();
    if (Next.Time.count() == 0) {
      Next.Action();
      continue;
    }
    --FreeSlots_;
    const auto Timer =
        std::make_shared<boost::asio::steady_timer>(Io_, Next.Time);
    Timer->async_wait([this, Timer, Action = std::move(Next.Action)](
                          const boost::system::error_code &) {
      Action();
      ++FreeSlots_;
      startNext();
    });
  }
}

} // namespace nutmegloom::testing
