#ifndef NUTMEGLOOM_CORE_RETRYBUDGET_H
#define NUTMEGLOOM_CORE_RETRYBUDGET_H

#include <cstddef>
#include <string>
#include <unordered_map>

namespace nutmegloom {

/// Limits the retries of each caller to a tenth of its requests.
class RetryBudget {
public:
  void onRequest(const std::string &Caller);
  /// Takes the credit for one retry; false when the caller has none left.
  bool take(const std::string &Caller);
  std::size_t callers() const { return Credits_.size(); }

private:
  std::unordered_map<std::string, double> Credits_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_CORE_RETRYBUDGET_H
