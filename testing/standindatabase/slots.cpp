#include "testing/standindatabase/slots.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace nutmegloom::testing {

void Slots::run(std::chrono::milliseconds Time, std::function<void()> Effect) {
  Waiting_.push_back({Time, std::move(Effect)});
  startNext();
}

void Slots::startNext() {
  while (Free_ > 0 && !Waiting_.empty()) {
    Work Next = std::move(Waiting_.front());
    Waiting_.pop_front();
    if (Next.Time.count() == 0) {
      Next.Effect();
      continue;
    }
    --Free_;
    const auto Timer =
        std::make_shared<boost::asio::steady_timer>(Io_, Next.Time);
    Timer->async_wait([this, Timer, Effect = std::move(Next.Effect)](
                          const boost::system::error_code &) {
      Effect();
      ++Free_;
      startNext();
    });
  }
}

} // namespace nutmegloom::testing
