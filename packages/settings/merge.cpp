#include "settings/merge.h"

namespace nutmegloom {

void mergeInto(Json &Base, const Json &Overlay) {
  if (!Base.is_object() || !Overlay.is_object()) {
    Base = Overlay;
    return;
  }
  for (const auto &[Key, Value] : Overlay.items()) {
    const auto Found = Base.find(Key);
    if (Found == Base.end())
      Base[Key] = Value;
    else
      mergeInto(*Found, Value);
  }
}

} // namespace nutmegloom
