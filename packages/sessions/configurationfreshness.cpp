#include "sessions/configurationfreshness.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// For differences between the clocks' rates, and the time between the check
/// and its effect.
constexpr Milliseconds Reserve{300};
/// A host reads the store itself at this fraction of the bound.
constexpr double ReadFraction = 0.7;
constexpr Milliseconds ReadInterval{500};
/// Time for another host to confirm a configuration that it has sent.
constexpr Milliseconds FirstConfirmationTime{200};
/// The version in use and those that a message has announced meanwhile.
constexpr std::size_t KeptVersions = 4;

} // namespace

void ConfigurationFreshness::confirm(std::uint64_t Version, TimePoint Moment) {
  TimePoint &Known = Moments_.try_emplace(Version, Moment).first->second;
  Known = std::max(Known, Moment);
  while (Moments_.size() > KeptVersions)
    Moments_.erase(Moments_.begin());
}

std::optional<Milliseconds> ConfigurationFreshness::ageOf(std::uint64_t Version,
                                                          TimePoint Now) const {
  auto Found = Moments_.find(Version);
  if (Found == Moments_.end())
    return std::nullopt;
  return std::chrono::ceil<Milliseconds>(Now - Found->second);
}

bool ConfigurationFreshness::mayAcceptKeys(std::uint64_t Version,
                                           TimePoint Now) const {
  if (!Bound_)
    return true;
  std::optional<Milliseconds> Age = ageOf(Version, Now);
  return Age && *Age + Reserve <= *Bound_;
}

bool ConfigurationFreshness::isReadDue(std::uint64_t Version, TimePoint Now) {
  std::optional<Milliseconds> Age = ageOf(Version, Now);
  if (Age)
    UnconfirmedSince_.reset();
  else if (!UnconfirmedSince_)
    UnconfirmedSince_ = Now;
  if (!Bound_ || (ReadBegunAt_ && Now - *ReadBegunAt_ < ReadInterval))
    return false;
  if (!Age)
    return Now - *UnconfirmedSince_ >= FirstConfirmationTime;
  return *Age > *Bound_ * ReadFraction;
}

} // namespace nutmegloom
