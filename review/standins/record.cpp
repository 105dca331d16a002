#include "record.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstdio>

namespace review {

namespace asio = boost::asio;

Record::Record(const std::string &Path)
    : File_(Path, std::ios::trunc),
      StartedAt_(std::chrono::steady_clock::now()) {
  if (!File_)
    throw CannotRun{Path + " can't be written"};
}

double Record::seconds() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                       StartedAt_)
      .count();
}

void Record::add(const std::string &Text) {
  char Time[32];
  std::snprintf(Time, sizeof Time, "%8.3f  ", seconds());
  File_ << Time << Text << '\n' << std::flush;
}

asio::awaitable<void> pause(Milliseconds Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

void start(asio::io_context &Io, asio::awaitable<void> Task) {
  asio::co_spawn(Io, std::move(Task), [](std::exception_ptr Error) {
    if (Error)
      std::rethrow_exception(Error);
  });
}

} // namespace review
