#include "sessions/quotaadmission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmegloom {

namespace {

/// A member that has not answered within this time is not waited for. The way
/// to another region and back takes a quarter of it.
constexpr Milliseconds GrantTimeout{80};
/// How long an account's operations are refused at once after no member had
/// tokens for it.
constexpr Milliseconds ExhaustedPeriod{50};
/// Tokens are asked for the operations that are expected in this time, so that
/// a busy account does not ask for each operation.
constexpr double LookaheadSeconds = 0.2;
/// Time over which the rate of operations is averaged.
constexpr double RateSeconds = 1.0;
constexpr Milliseconds MinimumRetryAfter{100};
constexpr Milliseconds MaximumRetryAfter{5000};

} // namespace

void QuotaAdmission::countOperation(AccountQueue &Queue, TimePoint Now) {
  double Elapsed = std::chrono::duration<double>(Now - Queue.RateAt).count();
  Queue.Rate = Queue.Rate * std::exp(-Elapsed / RateSeconds) + 1 / RateSeconds;
  Queue.RateAt = Now;
}

void QuotaAdmission::submit(StatementWork Work, TimePoint Now) {
  if (Work.Admitted || !Ledger_.isLimited(Work.Account)) {
    Work.Admitted = true;
    Hooks_.Admitted(std::move(Work), Now);
    return;
  }
  AccountName Account = Work.Account;
  AccountQueue &Queue = Queues_[Account];
  countOperation(Queue, Now);
  if (Queue.Waiting.empty() && Ledger_.tryTake(Account, Now)) {
    Work.Admitted = true;
    Hooks_.Admitted(std::move(Work), Now);
    return;
  }
  if (Now < Queue.ExhaustedUntil) {
    refuse(Work, Queue, Now);
    return;
  }
  Queue.Waiting.push_back(std::move(Work));
  if (Queue.NextGroup)
    return;
  Queue.NextGroup = 0;
  ask(Account, Queue, Now);
}

/// Asks the next group of members, each for an equal part of what is missing.
void QuotaAdmission::ask(const AccountName &Account, AccountQueue &Queue,
                         TimePoint Now) {
  std::vector<std::vector<HostName>> Groups = Hooks_.Members(Now);
  Queue.Asked.clear();
  while (*Queue.NextGroup < Groups.size()) {
    const std::vector<HostName> &Group = Groups[(*Queue.NextGroup)++];
    if (Group.empty())
      continue;
    double Missing = static_cast<double>(Queue.Waiting.size()) +
                     Queue.Rate * LookaheadSeconds -
                     Ledger_.tokensOf(Account, Now);
    // Some members may have less than an equal part.
    Queue.Part =
        std::max(Missing, 1.0) * 2 / (static_cast<double>(Group.size()) + 1);
    Queue.HasMore = false;
    Queue.Asked.insert(Group.begin(), Group.end());
    Queue.Number = ++LastNumber_;
    Queue.AskedAt = Now;
    for (const HostName &Member : Group)
      Hooks_.Ask(Member, {Account, Queue.Part, Queue.Number});
    return;
  }
  refuseWaiting(Account, Queue, Now);
}

void QuotaAdmission::admitWaiting(const AccountName &Account,
                                  AccountQueue &Queue, TimePoint Now) {
  while (!Queue.Waiting.empty() && Ledger_.tryTake(Account, Now)) {
    StatementWork Work = std::move(Queue.Waiting.front());
    Queue.Waiting.pop_front();
    Work.Admitted = true;
    Hooks_.Admitted(std::move(Work), Now);
  }
}

void QuotaAdmission::refuseWaiting(const AccountName &Account,
                                   AccountQueue &Queue, TimePoint Now) {
  admitWaiting(Account, Queue, Now);
  Queue.NextGroup.reset();
  Queue.Asked.clear();
  if (Queue.Waiting.empty())
    return;
  Queue.ExhaustedUntil = Now + ExhaustedPeriod;
  for (const StatementWork &Work : std::exchange(Queue.Waiting, {}))
    refuse(Work, Queue, Now);
}

/// The refused operations of an account are told to return one by one, as
/// tokens come.
void QuotaAdmission::refuse(const StatementWork &Work, AccountQueue &Queue,
                            TimePoint Now) {
  TimePoint Return =
      std::max(Queue.LatestReturn, Now) + Ledger_.tokenInterval(Work.Account);
  Return = std::clamp<TimePoint>(Return, Now + MinimumRetryAfter,
                                 Now + MaximumRetryAfter);
  Queue.LatestReturn = Return;
  Hooks_.Refused(Work, std::chrono::ceil<Milliseconds>(Return - Now), Now);
}

void QuotaAdmission::cancel(CallerSessionId Session) {
  for (auto &[Account, Queue] : Queues_)
    std::erase_if(Queue.Waiting, [&](const StatementWork &Work) {
      return Work.Session == Session;
    });
}

void QuotaAdmission::refuseAll(TimePoint Now) {
  for (auto &[Account, Queue] : Queues_)
    refuseWaiting(Account, Queue, Now);
}

QuotaGrant QuotaAdmission::onRequest(const QuotaRequest &Request,
                                     TimePoint Now) {
  double Given = Ledger_.give(Request.Account, Request.Tokens, Now);
  return {Request.Account, Given, Request.Number};
}

void QuotaAdmission::onGrant(const HostName &From, const QuotaGrant &Grant,
                             TimePoint Now) {
  Ledger_.receive(Grant.Account, Grant.Tokens, Now);
  auto Found = Queues_.find(Grant.Account);
  if (Found == Queues_.end())
    return;
  AccountQueue &Queue = Found->second;
  admitWaiting(Grant.Account, Queue, Now);
  if (!Queue.NextGroup || Grant.Number != Queue.Number)
    return;
  Queue.Asked.erase(From);
  Queue.HasMore |= Grant.Tokens >= Queue.Part;
  if (Queue.Waiting.empty()) {
    Queue.NextGroup.reset();
    return;
  }
  if (!Queue.Asked.empty())
    return;
  // Operations have arrived since the group was asked.
  if (Queue.HasMore)
    --*Queue.NextGroup;
  ask(Grant.Account, Queue, Now);
}

void QuotaAdmission::tick(TimePoint Now) {
  for (auto &[Account, Queue] : Queues_) {
    if (!Queue.NextGroup || Now - Queue.AskedAt < GrantTimeout)
      continue;
    admitWaiting(Account, Queue, Now);
    if (Queue.Waiting.empty())
      Queue.NextGroup.reset();
    else
      ask(Account, Queue, Now);
  }
}

std::size_t QuotaAdmission::waiting() const {
  std::size_t Count = 0;
  for (const auto &[Account, Queue] : Queues_)
    Count += Queue.Waiting.size();
  return Count;
}

} // namespace nutmegloom
