#include "sessions/databasetable.h"

#include <algorithm>
#include <cmath>

namespace nutmegloom {

namespace {

constexpr double ServiceSmoothing = 0.1;
constexpr Milliseconds FirstAvoidance{50};
constexpr std::uint32_t MaximumAvoidanceDoublings = 4;
constexpr Milliseconds FirstBehindPause{50};

} // namespace

Milliseconds roundTripOf(Distance Away) {
  switch (Away) {
  case Distance::SameZone:
    return Milliseconds{1};
  case Distance::SameRegion:
    return Milliseconds{2};
  case Distance::OtherRegion:
    return Milliseconds{17};
  }
  return Milliseconds{0};
}

DatabaseTable::Change
DatabaseTable::apply(const std::vector<DatabaseListing> &All) {
  Change Result;
  std::map<DatabaseId, DatabaseView> Next;
  for (const DatabaseListing &Listing : All) {
    auto Known = Views_.find(Listing.Id);
    bool IsNew = Known == Views_.end();
    bool Restarted =
        !IsNew && (Known->second.Listing.StartedAtMs != Listing.StartedAtMs ||
                   Known->second.Listing.Address != Listing.Address);
    if (Restarted)
      Result.Restarted.push_back(Listing.Id);
    if (IsNew || !(Known->second.Listing == Listing))
      Result.Groups.push_back(Listing.Group);
    DatabaseView View;
    if (!IsNew && !Restarted)
      View = Known->second;
    View.Listing = Listing;
    View.Away = Measure_(Listing.Zone);
    Next.emplace(Listing.Id, std::move(View));
  }
  for (const auto &[Id, View] : Views_) {
    if (Next.contains(Id))
      continue;
    Result.Removed.push_back(Id);
    Result.Groups.push_back(View.Listing.Group);
  }
  Views_ = std::move(Next);
  std::sort(Result.Groups.begin(), Result.Groups.end());
  Result.Groups.erase(std::unique(Result.Groups.begin(), Result.Groups.end()),
                      Result.Groups.end());
  return Result;
}

const DatabaseView *DatabaseTable::find(const DatabaseId &Database) const {
  auto Found = Views_.find(Database);
  return Found == Views_.end() ? nullptr : &Found->second;
}

DatabaseView *DatabaseTable::find(const DatabaseId &Database) {
  auto Found = Views_.find(Database);
  return Found == Views_.end() ? nullptr : &Found->second;
}

std::vector<const DatabaseView *>
DatabaseTable::membersOf(const GroupId &Group) const {
  std::vector<const DatabaseView *> Members;
  for (const auto &[Id, View] : Views_)
    if (View.Listing.Group == Group)
      Members.push_back(&View);
  return Members;
}

std::vector<GroupId> DatabaseTable::groups() const {
  std::vector<GroupId> Groups;
  for (const auto &[Id, View] : Views_)
    if (std::find(Groups.begin(), Groups.end(), View.Listing.Group) ==
        Groups.end())
      Groups.push_back(View.Listing.Group);
  return Groups;
}

void DatabaseTable::onSent(const DatabaseId &Database) {
  if (DatabaseView *View = find(Database))
    ++View->InFlight;
}

void DatabaseTable::onEnded(const DatabaseId &Database) {
  DatabaseView *View = find(Database);
  if (View && View->InFlight > 0)
    --View->InFlight;
}

void DatabaseTable::onAnswer(const DatabaseId &Database,
                             std::optional<Position> Log, TimePoint BegunAt) {
  DatabaseView *View = find(Database);
  if (!View)
    return;
  if (!View->AnsweredAt || *View->AnsweredAt < BegunAt)
    View->AnsweredAt = BegunAt;
  View->FailingSince.reset();
  View->Failures = 0;
  View->RefusesConnections = false;
  if (Log)
    View->Log = Log;
}

void DatabaseTable::onServiceTime(const DatabaseId &Database, Duration Time) {
  DatabaseView *View = find(Database);
  if (!View)
    return;
  View->BehindCount = 0;
  double Network = static_cast<double>(roundTripOf(View->Away).count());
  double Sample = std::max(0.5, toMilliseconds(Time) - Network);
  View->ServiceMilliseconds +=
      ServiceSmoothing * (Sample - View->ServiceMilliseconds);
}

void DatabaseTable::onBehind(const DatabaseId &Database, TimePoint Now) {
  DatabaseView *View = find(Database);
  if (!View)
    return;
  std::uint32_t Doublings =
      std::min(View->BehindCount, MaximumAvoidanceDoublings);
  ++View->BehindCount;
  View->BehindUntil = Now + FirstBehindPause * (1U << Doublings);
}

void DatabaseTable::onFailure(const DatabaseId &Database, bool Refused,
                              TimePoint Now) {
  DatabaseView *View = find(Database);
  if (!View)
    return;
  if (!View->FailingSince)
    View->FailingSince = Now;
  View->FailedAt = Now;
  View->RefusesConnections = Refused;
  std::uint32_t Doublings = std::min(View->Failures, MaximumAvoidanceDoublings);
  ++View->Failures;
  View->AvoidUntil = Now + FirstAvoidance * (1U << Doublings);
}

void DatabaseTable::onTimeout(const DatabaseId &Database, TimePoint BegunAt,
                              TimePoint Now) {
  const DatabaseView *View = find(Database);
  bool Answers = View && View->AnsweredAt && *View->AnsweredAt >= BegunAt;
  if (!Answers)
    onFailure(Database, false, Now);
}

void DatabaseTable::onSilence(const DatabaseId &Database, TimePoint Since,
                              TimePoint Now) {
  onFailure(Database, false, Now);
  DatabaseView *View = find(Database);
  if (View && View->FailingSince)
    View->FailingSince = std::min(*View->FailingSince, Since);
}

} // namespace nutmegloom
