#include "core/retrybudget.h"

#include <algorithm>

namespace nutmegloom {

/// Retries per request.
static constexpr double CreditPerRequest = 0.1;
/// A caller's first request may be retried once.
static constexpr double InitialCredit = 1.0;
/// Bounds the retries after a long time without failures.
static constexpr double MaximumCredit = 10.0;
/// Callers are anonymous strings of unknown number, so the table is bounded.
static constexpr std::size_t MaximumCallers = 16384;

void RetryBudget::onRequest(const std::string &Caller) {
  // Callers without credit stay, so that emptying the table gives none back.
  if (Credits_.size() >= MaximumCallers && !Credits_.contains(Caller)) {
    std::erase_if(Credits_, [](const auto &Entry) {
      return Entry.second >= InitialCredit;
    });
    if (Credits_.size() >= MaximumCallers)
      Credits_.clear();
  }
  const auto [Entry, Inserted] = Credits_.try_emplace(Caller, InitialCredit);
  if (!Inserted)
    Entry->second = std::min(Entry->second + CreditPerRequest, MaximumCredit);
}

bool RetryBudget::take(const std::string &Caller) {
  const auto Found = Credits_.find(Caller);
  // The sum of ten credits of 0.1 is slightly below 1.
  if (Found == Credits_.end() || Found->second < 1.0 - 1e-9)
    return false;
  Found->second -= 1.0;
  return true;
}

} // namespace nutmegloom
