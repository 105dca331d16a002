#include "sessions/membership.h"

#include <algorithm>
#include <utility>

namespace nutmegloom {

namespace {

constexpr std::size_t MemberTarget = 12;
constexpr std::size_t MinimumPerZone = 2;
/// A host without high capacity waits this long before it takes a slot, so that
/// hosts with high capacity can take it first.
constexpr Milliseconds LowCapacityJoinDelay{800};
/// Spreads the reads of hosts without high capacity over this time.
constexpr std::size_t LowCapacityJoinJitterMs = 400;
constexpr Milliseconds RetryInterval{400};
/// Interval at which the slots are read, by which members learn of new members
/// and other hosts of the members to relay to.
constexpr Milliseconds ListInterval{10000};
constexpr Milliseconds FirstListInterval{1500};
/// The slot of a stopped host is reserved for its return for this long.
constexpr Milliseconds StoppedRetention{8000};
/// A host that is unreachable for this long loses its slot.
constexpr Milliseconds UnreachableRetention{12000};

} // namespace

Membership::Membership(HostName Self, ListedHost Location, std::size_t Zones,
                       bool HighCapacity, Hooks Callbacks)
    : Self_(std::move(Self)), Location_(std::move(Location)), Zones_(Zones),
      HighCapacity_(HighCapacity), Hooks_(std::move(Callbacks)) {}

std::size_t Membership::slotsPerZone() const {
  return std::max(MinimumPerZone,
                  MemberTarget / std::max<std::size_t>(1, Zones_));
}

void Membership::list(TimePoint Now) {
  Listing_ = true;
  ListIsOutdated_ = false;
  ListedAt_ = Now;
  Hooks_.List(/*MayBeOld=*/NoFreeSlot_ && !Member_);
}

void Membership::onListFailed() { Listing_ = false; }

void Membership::onListed(std::vector<MemberSlot> Slots, StoreRevision AsOf,
                          TimePoint Now) {
  Listing_ = false;
  Listed_ = true;
  if (!FirstListedAt_)
    FirstListedAt_ = Now;
  Slots_ = std::move(Slots);
  // The list may be older than this host's latest write.
  if (Member_ && (Writing_ || AsOf < Own_.Revision))
    return;
  if (Member_ && AsOf.Era > Own_.Revision.Era) {
    restoreSlot(AsOf.Era);
    return;
  }
  auto Own = std::find_if(Slots_.begin(), Slots_.end(),
                          [&](const auto &Slot) { return Slot.Host == Self_; });
  if (Member_ && Own == Slots_.end())
    leave();
  if (Member_ || Stopping_ || Own == Slots_.end())
    return;
  Own_ = *Own;
  bool Same = !Own->Stopped && Own->Location.Address == Location_.Address;
  if (Same)
    join(Own->Revision);
}

/// Writes this host's slot again, unless the store has it as this host wrote it
/// in an earlier era. Promotions also wait for the host that a restored slot
/// names.
void Membership::restoreSlot(std::uint64_t Era) {
  auto Stored =
      std::find_if(Slots_.begin(), Slots_.end(),
                   [&](const auto &Slot) { return Slot.Name == Own_.Name; });
  Own_.Revision = StoreRevision(0, Era);
  if (Stored != Slots_.end()) {
    Own_.Revision = Stored->Revision;
    Own_.Former.insert(Stored->Former.begin(), Stored->Former.end());
    if (!Stored->Stopped)
      Own_.Former.insert(Stored->Host);
    Own_.Former.erase(Self_);
    bool IsComplete = Stored->Host == Self_ && !Stored->Stopped &&
                      Stored->Location.Address == Location_.Address &&
                      Stored->Former == Own_.Former;
    if (IsComplete)
      return;
  }
  Writing_ = true;
  Hooks_.Write(Own_, Own_.Revision);
}

/// Another host has taken the slot, after this one was unreachable.
void Membership::leave() {
  Member_ = false;
  NoFreeSlot_ = true;
  Own_ = MemberSlot{};
  Hooks_.Decided(false);
}

void Membership::join(StoreRevision Revision) {
  Own_.Revision = Revision;
  Member_ = true;
  Hooks_.Decided(true);
}

bool Membership::isTakeable(const MemberSlot &Slot, TimePoint Now) {
  if (Slot.Host == Self_)
    return true;
  if (!Slot.Stopped) {
    StoppedSince_.erase(Slot.Name);
    std::optional<Milliseconds> Unreachable =
        Hooks_.UnreachableFor(Slot.Host, Now);
    return Unreachable && *Unreachable >= UnreachableRetention;
  }
  TimePoint Since = StoppedSince_.try_emplace(Slot.Name, Now).first->second;
  return Now - Since >= StoppedRetention;
}

/// The host's own slot, or a free one of its zone. Hosts begin the search at
/// different slots, to make conflicts less likely.
std::optional<MemberSlot> Membership::freeSlot(TimePoint Now) {
  std::size_t Count = slotsPerZone();
  std::size_t First = std::hash<HostName>{}(Self_) % Count;
  std::optional<MemberSlot> Free;
  for (std::size_t Step = 0; Step < Count; ++Step) {
    MemberSlot Wanted;
    Wanted.Name = Location_.Zone + "." + std::to_string((First + Step) % Count);
    auto Known =
        std::find_if(Slots_.begin(), Slots_.end(), [&](const auto &Slot) {
          return Slot.Name == Wanted.Name;
        });
    if (Known != Slots_.end() && !isTakeable(*Known, Now))
      continue;
    if (Known != Slots_.end()) {
      Wanted.Revision = Known->Revision;
      Wanted.Former = Known->Former;
      if (!Known->Stopped && Known->Host != Self_)
        Wanted.Former.insert(Known->Host);
    }
    bool IsOwn = Known != Slots_.end() && Known->Host == Self_;
    if (IsOwn || !Free)
      Free = Wanted;
    if (IsOwn)
      break;
  }
  return Free;
}

bool Membership::isListDue(TimePoint Now) const {
  if (ListIsOutdated_)
    return true;
  Milliseconds Interval = ListInterval;
  if (!Listed_)
    Interval = RetryInterval;
  else if (Member_ && Slots_.size() <= 1)
    Interval = FirstListInterval;
  return Now - ListedAt_ >= Interval;
}

void Membership::tick(TimePoint Now) {
  if (Listing_ || Writing_ || Stopping_)
    return;
  if (isListDue(Now))
    list(Now);
  else if (Listed_ && !Member_)
    tryJoin(Now);
}

void Membership::tryJoin(TimePoint Now) {
  std::optional<MemberSlot> Free = freeSlot(Now);
  if (!Free) {
    if (!std::exchange(NoFreeSlot_, true))
      Hooks_.Decided(false);
    return;
  }
  bool MustWait = !HighCapacity_ && Own_.Name != Free->Name;
  TimePoint MayJoinAt = *FirstListedAt_;
  if (MustWait)
    MayJoinAt +=
        LowCapacityJoinDelay +
        Milliseconds{std::hash<HostName>{}(Self_) % LowCapacityJoinJitterMs};
  if (Now < MayJoinAt)
    return;
  // The list from before the wait is outdated.
  if (ListedAt_ < MayJoinAt && MustWait) {
    list(Now);
    return;
  }
  Own_ = *Free;
  Own_.Host = Self_;
  // Promotions wait for this host as the slot's host, so it need not be among
  // the former ones.
  Own_.Former.erase(Self_);
  Own_.Location = Location_;
  Writing_ = true;
  Hooks_.Write(Own_, Own_.Revision);
}

void Membership::onWritten(WriteOutcome Outcome, StoreRevision Revision,
                           TimePoint Now) {
  Writing_ = false;
  if (Stopping_)
    return;
  if (Member_) {
    onRestored(Outcome, Revision);
    return;
  }
  if (Outcome == WriteOutcome::Written) {
    AddedSlot_ = !Own_.Revision.isSet();
    join(Revision);
    list(Now);
    return;
  }
  // Another host has taken the slot, or this one has and the answer was lost.
  MemberSlot Taken;
  Taken.Name = std::exchange(Own_, MemberSlot{}).Name;
  std::erase_if(Slots_, [&](const auto &S) { return S.Name == Taken.Name; });
  if (Outcome == WriteOutcome::Conflict)
    Slots_.push_back(Taken);
  else
    Listed_ = false;
}

/// Handles the result of writing the slot again in a new era of the store.
void Membership::onRestored(WriteOutcome Outcome, StoreRevision Revision) {
  ListIsOutdated_ = true;
  switch (Outcome) {
  case WriteOutcome::Written:
    Own_.Revision = Revision;
    return;
  case WriteOutcome::Unknown:
    // The next list shows whether the slot is to be written once more.
    Own_.Revision = StoreRevision();
    return;
  case WriteOutcome::Conflict:
    leave();
    return;
  }
}

void Membership::stop() {
  Stopping_ = true;
  if (!Member_)
    return;
  Member_ = false;
  MemberSlot Ended = Own_;
  Ended.Stopped = true;
  Hooks_.Write(Ended, Ended.Revision);
}

} // namespace nutmegloom
