#ifndef NUTMEGLOOM_TESTING_LOADTOOL_LOADTARGET_H
#define NUTMEGLOOM_TESTING_LOADTOOL_LOADTARGET_H

#include "protocol/httpconnection.h"
#include "testing/loadtool/workload.h"

#include <memory>
#include <string>

namespace nutmegloom::testing {

/// What an answer says.
struct LoadResult {
  /// Empty for success; otherwise "code/outcome".
  std::string Error;
  std::string Database;
  std::string Token;
};

/// The API that is loaded.
class LoadTarget {
public:
  virtual ~LoadTarget() = default;
  virtual HttpRequest encode(const LoadRequest &Request,
                             const std::string &Token) const = 0;
  virtual LoadResult decode(const HttpResponse &Response) const = 0;
};

/// The callers' API of nutmegloomd and of the relay.
std::unique_ptr<LoadTarget> makeCallerTarget(std::string Service,
                                             std::uint64_t TimeoutMs);
/// The service port of a stand-in database.
std::unique_ptr<LoadTarget> makeDatabaseTarget(std::uint64_t Term);

} // namespace nutmegloom::testing

#endif // NUTMEGLOOM_TESTING_LOADTOOL_LOADTARGET_H
