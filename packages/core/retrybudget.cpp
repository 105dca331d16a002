#include "core/retrybudget.h"

#include <algorithm>

namespace nutmegloom {

/// Tokens that a request adds.
static constexpr double TokensPerRequest = 0.1;
/// A caller's first request may be retried once.
static constexpr double InitialTokens = 1.0;
/// Limits the number of retries after a long time without failures.
static constexpr double MaximumTokens = 10.0;
/// Maximum number of callers in the table. The number of callers has no other
/// bound.
static constexpr std::size_t MaximumCallers = 16384;

void RetryBudget::onRequest(const std::string &Caller) {
  // Callers that have used up tokens are kept if possible, since removing a
  // caller restores its initial tokens.
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
  // The sum of ten additions of 0.1 is slightly below 1.
  if (Found == Tokens_.end() || Found->second < 1.0 - 1e-9)
    return false;
  Found->second -= 1.0;
  return true;
}

} // namespace nutmegloom
