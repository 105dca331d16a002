#include "platform/listings.h"

using namespace nutmegloom;

/// Objects of the store may come from any writer, so no content may crash their
/// parsers.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  StoredObject Object;
  Object.Name = "name";
  Object.Revision = 1;
  Object.Content.assign(reinterpret_cast<const char *>(Data), Size);
  readDatabase(Object);
  std::vector<std::string> LeftOut;
  readConfiguration(Object, LeftOut);
  readLeadership(Object);
  readLease(Object);
  readSlot(Object);
  return 0;
}
