#include "sessions/quotaledger.h"

#include <algorithm>

namespace nutmegloom {

namespace {

/// A bucket holds at least one token, however many members share the burst.
constexpr double MinimumCapacity = 1;
/// How long tokens from other members may be used. The window of the member
/// that they came from goes on meanwhile.
constexpr Milliseconds ReceivedValidity{500};
/// Part of a token that is kept for longer, until the rest of it comes.
constexpr double KeptPart = 0.75;
/// How long the first tokens of a process may be used: while the callers of the
/// former one return.
constexpr Milliseconds InitialValidity{3000};
/// Part of the tolerance that all members together may start with. The rest is
/// for members that overlap: a former one that is cut off, and the one that
/// took its place.
constexpr double InitialFraction = 0.4;
constexpr Milliseconds MaximumTokenInterval{5000};
/// Rounding errors of sums must not make a whole token a part of one.
constexpr double RoundingMargin = 1e-9;

double secondsIn(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

Milliseconds WindowCount::slotLength() const {
  return std::max(Milliseconds{1}, Window_ / static_cast<int>(Slots));
}

void WindowCount::start(Milliseconds Window, double Counted, double Returning,
                        TimePoint Now) {
  Window_ = Window;
  Slot_ = Now.time_since_epoch() / slotLength();
  Sum_ = Counted;
  Counts_.fill(Returning / static_cast<double>(Slots));
  // The present slot leaves the window last.
  Counts_[static_cast<std::size_t>(Slot_) % Slots] += Counted - Returning;
}

/// A slot is dropped when all of it is older than the window, so that the count
/// is never too low.
void WindowCount::advance(TimePoint Now) {
  std::int64_t Present = Now.time_since_epoch() / slotLength();
  if (Present - Slot_ > static_cast<std::int64_t>(Slots)) {
    Counts_.fill(0);
    Sum_ = 0;
    Slot_ = Present;
  }
  while (Slot_ < Present) {
    double &Oldest = Counts_[static_cast<std::size_t>(++Slot_) % Slots];
    Sum_ -= Oldest;
    Oldest = 0;
  }
}

void WindowCount::add(double Operations, TimePoint Now) {
  advance(Now);
  Counts_[static_cast<std::size_t>(Slot_) % Slots] += Operations;
  Sum_ += Operations;
}

void WindowCount::scale(double Factor) {
  for (double &Count : Counts_)
    Count *= Factor;
  Sum_ *= Factor;
}

double WindowCount::countedAt(TimePoint Now) {
  advance(Now);
  return Sum_;
}

double QuotaLedger::partOf(double Whole) const {
  return Members_ == 0 ? 0 : Whole / static_cast<double>(Members_);
}

double QuotaLedger::ratePerSecond(const Bucket &Of) const {
  double Window = secondsIn(Tolerance_.Window);
  double Whole =
      Of.Limit.OperationsPerSecond + (Window > 0 ? Of.Limit.Burst / Window : 0);
  return partOf(Whole);
}

double QuotaLedger::capacityOf(const Bucket &Of) const {
  if (Members_ == 0)
    return 0;
  return std::max(MinimumCapacity, partOf(Of.Limit.Burst));
}

double QuotaLedger::windowLimitOf(const Bucket &Of) const {
  double Whole = Of.Limit.OperationsPerSecond * secondsIn(Tolerance_.Window) +
                 Of.Limit.Burst;
  return std::max(MinimumCapacity, partOf(Whole));
}

void QuotaLedger::begin(Bucket &Of, TimePoint Now) const {
  Of.Started = true;
  Of.RefilledAt = Now;
  Of.Tokens = 0;
  double InWindow =
      partOf(Of.Limit.OperationsPerSecond) * secondsIn(Tolerance_.Window);
  Of.Used.start(Tolerance_.Window, windowLimitOf(Of), InWindow, Now);
  double Tolerated = Tolerance_.Operations + Tolerance_.Fraction *
                                                 Of.Limit.OperationsPerSecond *
                                                 secondsIn(Tolerance_.Window);
  Of.Received = std::min(capacityOf(Of), partOf(Tolerated) * InitialFraction);
  Of.ReceivedUntil = Now + InitialValidity;
}

QuotaLedger::Bucket *QuotaLedger::refilled(const AccountName &Account,
                                           TimePoint Now) {
  auto Found = Buckets_.find(Account);
  if (Found == Buckets_.end() || Members_ == 0)
    return nullptr;
  Bucket &Filled = Found->second;
  if (!Filled.Started)
    begin(Filled, Now);
  double Yield = ratePerSecond(Filled) * secondsIn(Now - Filled.RefilledAt);
  Filled.Tokens = std::min(capacityOf(Filled), Filled.Tokens + Yield);
  Filled.RefilledAt = Now;
  if (Now > Filled.ReceivedUntil)
    Filled.Received = std::min(Filled.Received, KeptPart);
  return &Filled;
}

/// Tokens of this member's part that neither the bucket nor the window holds
/// back.
double QuotaLedger::ownTokensOf(Bucket &Of, TimePoint Now) const {
  if (Tolerance_.Window.count() == 0)
    return Of.Tokens;
  double Left = windowLimitOf(Of) - Of.Used.countedAt(Now);
  return std::clamp(Left, 0.0, Of.Tokens);
}

void QuotaLedger::useOwn(Bucket &Of, double Tokens, TimePoint Now) {
  Of.Tokens -= Tokens;
  Of.Used.add(Tokens, Now);
}

void QuotaLedger::configure(
    const std::map<AccountName, AccountSettings> &Accounts, TimePoint Now) {
  std::map<AccountName, Bucket> Next;
  for (const auto &[Name, Settings] : Accounts) {
    if (!Settings.Quota)
      continue;
    Bucket &Kept = Next[Name];
    if (const Bucket *Known = refilled(Name, Now))
      Kept = *Known;
    double Former = windowLimitOf(Kept);
    Kept.Limit = *Settings.Quota;
    // An account whose limit is lowered goes on at the new rate at once, and is
    // not refused until what it did under the former one has left the window.
    if (windowLimitOf(Kept) < Former)
      Kept.Used.scale(windowLimitOf(Kept) / Former);
    Kept.Tokens = std::min(Kept.Tokens, capacityOf(Kept));
  }
  Buckets_ = std::move(Next);
  beginAll(Now);
}

void QuotaLedger::setMembers(std::size_t Members, TimePoint Now) {
  if (Members == Members_)
    return;
  for (auto &[Account, Filled] : Buckets_)
    refilled(Account, Now);
  Members_ = Members;
  // What yielded nothing meanwhile must not be refilled for that time.
  for (auto &[Account, Filled] : Buckets_)
    Filled.RefilledAt = Now;
  beginAll(Now);
}

/// The window of an account begins now, not with its first operation.
void QuotaLedger::beginAll(TimePoint Now) {
  for (auto &[Account, Filled] : Buckets_)
    refilled(Account, Now);
}

bool QuotaLedger::isLimited(const AccountName &Account) const {
  return Buckets_.contains(Account);
}

double QuotaLedger::tokensOf(const AccountName &Account, TimePoint Now) {
  Bucket *From = refilled(Account, Now);
  return From ? From->Received + ownTokensOf(*From, Now) : 0;
}

bool QuotaLedger::tryTake(const AccountName &Account, TimePoint Now) {
  if (tokensOf(Account, Now) + RoundingMargin < 1)
    return false;
  Bucket &From = Buckets_.at(Account);
  double Received = std::min(1.0, From.Received);
  From.Received -= Received;
  useOwn(From, 1 - Received, Now);
  return true;
}

double QuotaLedger::give(const AccountName &Account, double Wanted,
                         TimePoint Now) {
  Bucket *From = refilled(Account, Now);
  if (!From)
    return 0;
  double Given = std::clamp(Wanted, 0.0, ownTokensOf(*From, Now));
  useOwn(*From, Given, Now);
  return Given;
}

void QuotaLedger::receive(const AccountName &Account, double Tokens,
                          TimePoint Now) {
  Bucket *To = refilled(Account, Now);
  if (!To)
    return;
  To->Received += Tokens;
  To->ReceivedUntil = std::max(To->ReceivedUntil, Now + ReceivedValidity);
}

Milliseconds QuotaLedger::tokenInterval(const AccountName &Account) const {
  auto Found = Buckets_.find(Account);
  double Rate = Found == Buckets_.end() ? 0 : ratePerSecond(Found->second);
  if (Rate <= 0)
    return MaximumTokenInterval;
  double Millis = std::min(1000 / Rate, toMilliseconds(MaximumTokenInterval));
  return Milliseconds{static_cast<std::int64_t>(Millis)};
}

} // namespace nutmegloom
