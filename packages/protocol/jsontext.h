#ifndef NUTMEGLOOM_PROTOCOL_JSONTEXT_H
#define NUTMEGLOOM_PROTOCOL_JSONTEXT_H

#include <cstddef>
#include <iterator>
#include <string>
#include <string_view>

namespace nutmegloom {

/// Appends Text as a JSON string with its quotes. Bytes that aren't UTF-8 are
/// replaced.
void appendJsonString(std::string &Out, std::string_view Text);

/// Iterator over text that tells others how far a parser has read. With it a
/// part of the text can be taken as it is while the whole is parsed once.
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
