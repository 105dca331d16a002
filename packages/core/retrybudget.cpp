#include "core/retrybudget.h"

#include <algorithm>

namespace nutmegloom {

/// Retries per request.
static constexpr double TokensPerRequest = 0.1;
/// A caller's first request may be retried once.
static constexpr double InitialTokens = 1.0;
/// Bounds the retries after a long time without failures.
static constexpr double MaximumTokens = 10.0;
/// Callers are anonymous strings of unknown number, so the table is bounded.
static constexpr std::size_t MaximumCallers = 16384;

void RetryBudget::onRequest(const std::string &Caller) {
  // Callers without credit stay, so that emptying the table gives none back.
  if (Tokens_.size() >= MaximumCallers && !Tokens_.contains(Caller)) {
    std::erase_if(Tokens_, [](const auto &Entry) {
      return Entry.second >= InitialTokens;
    });
    if (Tokens_.size() >= MaximumCallers)
      Tokens_.clear();
  }
  const auto [Entry, Inserted] = Tokens_.try_emplace(Caller, InitialTokens);
  if (!Inserted)
    Entry->second = std::min(Entry->second + TokensPerRequest, MaximumTokens);
}

bool RetryBudget::tryConsume(const std::string &Caller) {
  const auto Found = Tokens_.find(Caller);
  // The sum of ten credits of 0.1 is slightly below 1.
  if (Found == Tokens_.end() || Found->second < 1.0 - 1e-9)
    return false;
  Found->second -= 1.0;
  return true;
}

} // namespace nutmegloom
