#include "protocol/percentencoding.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
// Boost.URL is compiled into this source, so that no other library is needed.
#include <boost/url/src.hpp>

namespace nutmegloom {

std::string percentEncode(std::string_view Text) {
  return boost::urls::encode(Text, boost::urls::unreserved_chars);
}

} // namespace nutmegloom
