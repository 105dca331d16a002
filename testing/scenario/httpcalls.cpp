#include "testing/scenario/httpcalls.h"

#include <thread>

namespace nutmegloom::testing {

static constexpr std::size_t MaximumAnswerBytes = 64UL * 1024 * 1024;

std::uint64_t HttpCalls::start(const std::string &Address,
                               const std::string &ConnectionName,
                               HttpRequest Request,
                               std::chrono::milliseconds Timeout) {
  const std::uint64_t Number = Next_++;
  const auto Store = [this, Number](Result Answer) {
    Results_.emplace(Number, std::move(Answer));
  };
  if (ConnectionName.empty()) {
    exchangeOnce(Io_, Address, std::move(Request), Timeout, MaximumAnswerBytes,
                 Store);
    return Number;
  }
  auto &Connection = Connections_[ConnectionName];
  if (Connection && Connection->isOpen()) {
    Connection->exchange(std::move(Request), Timeout, Store);
    return Number;
  }
  Connection = HttpConnection::create(Io_, Address, MaximumAnswerBytes);
  Connection->connect(
      Timeout, [Connection = Connection, Store, Timeout,
                Request = std::move(Request)](const HttpFailure *Failure) {
        if (Failure)
          Store(*Failure);
        else
          Connection->exchange(Request, Timeout, Store);
      });
  return Number;
}

std::optional<HttpCalls::Result> HttpCalls::take(std::uint64_t Number) {
  const auto Found = Results_.find(Number);
  if (Found == Results_.end())
    return std::nullopt;
  Result Answer = std::move(Found->second);
  Results_.erase(Found);
  return Answer;
}

void HttpCalls::proceed(std::chrono::milliseconds Time) {
  const auto End = std::chrono::steady_clock::now() + Time;
  Io_.restart();
  Io_.run_one_until(End);
  Io_.poll();
  // Without work the context returns at once.
  if (Io_.stopped())
    std::this_thread::sleep_until(End);
}

void HttpCalls::closeConnection(const std::string &ConnectionName) {
  const auto Found = Connections_.find(ConnectionName);
  if (Found == Connections_.end())
    return;
  Found->second->close();
  Connections_.erase(Found);
}

} // namespace nutmegloom::testing
