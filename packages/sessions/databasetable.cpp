#include "sessions/databasetable.h"

#include <algorithm>
#include <cmath>

namespace nutmegloom {

namespace {

/// Weight of a new sample in the moving average of service times.
constexpr double ServiceSmoothing = 0.1;
/// Time without statements after a first failure; doubles with each further
/// one.
constexpr Milliseconds FirstAvoidance{50};
constexpr std::uint32_t MaximumAvoidanceDoublings = 4;
/// Time without unconfirmed reads after a first refusal as behind; doubles with
/// each further one.
constexpr Milliseconds FirstBehindPause{50};

} // namespace

Milliseconds roundTripOf(Distance HostDistance) {
  switch (HostDistance) {
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
  std::map<DatabaseId, DatabaseInfo> Next;
  for (const DatabaseListing &Listing : All) {
    auto Known = Databases_.find(Listing.Id);
    bool IsNew = Known == Databases_.end();
    bool Restarted =
        !IsNew && (Known->second.Listing.StartedAtMs != Listing.StartedAtMs ||
                   Known->second.Listing.Address != Listing.Address);
    if (Restarted)
      Result.Restarted.push_back(Listing.Id);
    if (IsNew || !(Known->second.Listing == Listing))
      Result.Groups.push_back(Listing.Group);
    DatabaseInfo Info;
    if (!IsNew && !Restarted)
      Info = Known->second;
    Info.Listing = Listing;
    Info.HostDistance = DistanceOf_(Listing.Zone);
    Next.emplace(Listing.Id, std::move(Info));
  }
  for (const auto &[Id, Info] : Databases_) {
    if (Next.contains(Id))
      continue;
    Result.Removed.push_back(Id);
    Result.Groups.push_back(Info.Listing.Group);
  }
  Databases_ = std::move(Next);
  std::sort(Result.Groups.begin(), Result.Groups.end());
  Result.Groups.erase(std::unique(Result.Groups.begin(), Result.Groups.end()),
                      Result.Groups.end());
  return Result;
}

const DatabaseInfo *DatabaseTable::find(const DatabaseId &Database) const {
  auto Found = Databases_.find(Database);
  return Found == Databases_.end() ? nullptr : &Found->second;
}

DatabaseInfo *DatabaseTable::find(const DatabaseId &Database) {
  auto Found = Databases_.find(Database);
  return Found == Databases_.end() ? nullptr : &Found->second;
}

std::vector<const DatabaseInfo *>
DatabaseTable::membersOf(const GroupId &Group) const {
  std::vector<const DatabaseInfo *> Members;
  for (const auto &[Id, Info] : Databases_)
    if (Info.Listing.Group == Group)
      Members.push_back(&Info);
  return Members;
}

std::vector<GroupId> DatabaseTable::groups() const {
  std::vector<GroupId> Groups;
  for (const auto &[Id, Info] : Databases_)
    if (std::find(Groups.begin(), Groups.end(), Info.Listing.Group) ==
        Groups.end())
      Groups.push_back(Info.Listing.Group);
  return Groups;
}

void DatabaseTable::onSent(const DatabaseId &Database) {
  if (DatabaseInfo *Info = find(Database))
    ++Info->InFlight;
}

void DatabaseTable::onEnded(const DatabaseId &Database) {
  DatabaseInfo *Info = find(Database);
  if (Info && Info->InFlight > 0)
    --Info->InFlight;
}

void DatabaseTable::onAnswer(const DatabaseId &Database,
                             std::optional<Position> Log, TimePoint BegunAt) {
  DatabaseInfo *Info = find(Database);
  if (!Info)
    return;
  if (!Info->LastAnsweredStart || *Info->LastAnsweredStart < BegunAt)
    Info->LastAnsweredStart = BegunAt;
  Info->FailingSince.reset();
  Info->Failures = 0;
  Info->RefusesConnections = false;
  if (Log)
    Info->Log = Log;
}

void DatabaseTable::onServiceTime(const DatabaseId &Database, Duration Time) {
  DatabaseInfo *Info = find(Database);
  if (!Info)
    return;
  Info->LaggingCount = 0;
  double Network = static_cast<double>(roundTripOf(Info->HostDistance).count());
  double Sample = std::max(0.5, toMilliseconds(Time) - Network);
  Info->ServiceMilliseconds +=
      ServiceSmoothing * (Sample - Info->ServiceMilliseconds);
}

void DatabaseTable::onLagging(const DatabaseId &Database, TimePoint Now) {
  DatabaseInfo *Info = find(Database);
  if (!Info)
    return;
  std::uint32_t Doublings =
      std::min(Info->LaggingCount, MaximumAvoidanceDoublings);
  ++Info->LaggingCount;
  Info->LaggingUntil = Now + FirstBehindPause * (1U << Doublings);
}

void DatabaseTable::onFailure(const DatabaseId &Database, bool Refused,
                              TimePoint Now) {
  DatabaseInfo *Info = find(Database);
  if (!Info)
    return;
  if (!Info->FailingSince)
    Info->FailingSince = Now;
  Info->FailedAt = Now;
  Info->RefusesConnections = Refused;
  std::uint32_t Doublings = std::min(Info->Failures, MaximumAvoidanceDoublings);
  ++Info->Failures;
  Info->AvoidUntil = Now + FirstAvoidance * (1U << Doublings);
}

void DatabaseTable::onTimeout(const DatabaseId &Database, TimePoint BegunAt,
                              TimePoint Now) {
  const DatabaseInfo *Info = find(Database);
  bool Answers =
      Info && Info->LastAnsweredStart && *Info->LastAnsweredStart >= BegunAt;
  if (!Answers)
    onFailure(Database, false, Now);
}

void DatabaseTable::onProbeFailed(const DatabaseId &Database,
                                  TimePoint UnansweredSince, TimePoint Now) {
  onFailure(Database, false, Now);
  DatabaseInfo *Info = find(Database);
  if (Info && Info->FailingSince)
    Info->FailingSince = std::min(*Info->FailingSince, UnansweredSince);
}

} // namespace nutmegloom
