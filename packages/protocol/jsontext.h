#ifndef NUTMEGLOOM_PROTOCOL_JSONTEXT_H
#define NUTMEGLOOM_PROTOCOL_JSONTEXT_H

#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>

namespace nutmegloom {

/// Appends Text as a quoted JSON string. Invalid UTF-8 is replaced by U+FFFD.
void appendJsonString(std::string &Out, std::string_view Text);

/// Text iterator that stores its position in *Cursor whenever it advances. It
/// lets a SAX handler copy parts of the input unchanged in the same pass.
struct TrackingIterator {
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char *;
  using reference = const char &;

  const char *At = nullptr;
  const char **Cursor = nullptr;

  reference operator*() const { return *At; }
  TrackingIterator &operator++() {
    *Cursor = ++At;
    return *this;
  }
  TrackingIterator operator++(int) {
    TrackingIterator Before = *this;
    ++*this;
    return Before;
  }
  bool operator==(const TrackingIterator &Other) const {
    return At == Other.At;
  }
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_PROTOCOL_JSONTEXT_H
