#ifndef NUTMEGLOOM_CORE_RETRYBUDGET_H
#define NUTMEGLOOM_CORE_RETRYBUDGET_H

#include <cstddef>
#include <string>
#include <unordered_map>

namespace nutmegloom {

/// Limits the retries of each caller to a tenth of its requests (token bucket).
class RetryBudget {
public:
  void onRequest(const std::string &Caller);
  /// Takes the token for one retry; returns false if the caller has none left.
  bool tryConsume(const std::string &Caller);
  std::size_t callers() const { return Tokens_.size(); }

private:
  std::unordered_map<std::string, double> Tokens_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_RETRYBUDGET_H
