#ifndef NUTMEGLOOM_TESTS_SUPPORT_PROPERTY_H
#define NUTMEGLOOM_TESTS_SUPPORT_PROPERTY_H

#include <rapidcheck.h>

#include <string>

namespace nutmegloom {

/// Checks a RapidCheck property with a fixed seed, which a failure prints.
template <typename Testable>
bool holdsForAll(const std::string &Description, Testable &&Property) {
  rc::detail::TestMetadata Metadata;
  Metadata.id = Description;
  Metadata.description = Description;
  rc::detail::TestParams Parameters;
  Parameters.seed = 20261204;
  const auto Result = rc::detail::checkTestable(
      std::forward<Testable>(Property), Metadata, Parameters);
  if (Result.template is<rc::detail::SuccessResult>())
    return true;
  std::cerr << Description << " (seed " << Parameters.seed << "): ";
  rc::detail::printResultMessage(Result, std::cerr);
  std::cerr << std::endl;
  return false;
}

} // namespace nutmegloom

#endif // NUTMEGLOOM_TESTS_SUPPORT_PROPERTY_H
