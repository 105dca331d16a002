#ifndef NUTMEGLOOM_SESSIONS_CONFIGURATIONFRESHNESS_H
#define NUTMEGLOOM_SESSIONS_CONFIGURATIONFRESHNESS_H

#include "core/types.h"

#include <map>

namespace nutmegloom {

/// Decides whether this host knows the present configuration well enough to
/// accept API keys by it.
///
/// A key must be refused everywhere within a bound after it was taken away,
/// also by hosts that can't hear of it. A host therefore accepts keys only for
/// that long after a moment at which its configuration was the latest one. Such
/// a moment is the start of a read of the store, here or at another host;
/// another host's moment is known from the age that it sends in answer to a
/// message. Times must come from a clock that counts suspensions.
class ConfigurationFreshness {
public:
  /// Sets the time in which a key that is taken away must be refused; nothing:
  /// keys are accepted by a configuration of any age.
  void setBound(std::optional<Milliseconds> Bound) { Bound_ = Bound; }
  bool isBounded() const { return Bound_.has_value(); }

  /// The version was the latest one in the store at Moment, or at some later
  /// time.
  void confirm(std::uint64_t Version, TimePoint Moment);

  /// Time since the version was last known to be the latest one; nothing: it
  /// never was.
  std::optional<Milliseconds> ageOf(std::uint64_t Version, TimePoint Now) const;
  /// True if keys may be accepted by a configuration of this version.
  bool mayAcceptKeys(std::uint64_t Version, TimePoint Now) const;
  /// True if this host should read the store itself, because confirmations from
  /// other hosts are late.
  bool isReadDue(std::uint64_t Version, TimePoint Now);
  /// A read of the store was begun for isReadDue().
  void onReadBegun(TimePoint Now) { ReadBegunAt_ = Now; }

private:
  std::optional<Milliseconds> Bound_;
  /// Latest moment of each of the newest versions.
  std::map<std::uint64_t, TimePoint> Moments_;
  std::optional<TimePoint> ReadBegunAt_;
  /// Since when the present version has never been confirmed.
  std::optional<TimePoint> UnconfirmedSince_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_CONFIGURATIONFRESHNESS_H
