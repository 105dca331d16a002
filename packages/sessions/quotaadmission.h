#ifndef NUTMEGLOOM_SESSIONS_QUOTAADMISSION_H
#define NUTMEGLOOM_SESSIONS_QUOTAADMISSION_H

#include "sessions/quotaledger.h"
#include "sessions/relaymessages.h"

#include <deque>
#include <functional>
#include <set>

namespace nutmegloom {

/// Admits the operations of client accounts within their rate limits.
///
/// An operation that finds no token waits for a moment while other members are
/// asked for some: first those of the region, then the others. If they have
/// none, it is refused, and so are the account's further operations until the
/// members are asked again.
class QuotaAdmission {
public:
  struct Hooks {
    std::function<void(StatementWork, TimePoint)> Admitted;
    /// RetryAfter: time to return, which spreads the refused operations.
    std::function<void(const StatementWork &, Milliseconds RetryAfter,
                       TimePoint)>
        Refused;
    std::function<void(const HostName &, const QuotaRequest &)> Ask;
    /// Members to ask, in the order in which groups of them are asked.
    std::function<std::vector<std::vector<HostName>>(TimePoint)> Members;
  };

  explicit QuotaAdmission(Hooks Callbacks) : Hooks_(std::move(Callbacks)) {}

  QuotaLedger &ledger() { return Ledger_; }

  /// Admits the operation that the statement begins, now or after tokens have
  /// come, or refuses it. A statement of an operation that was admitted before
  /// passes.
  void submit(StatementWork Work, TimePoint Now);
  /// Withdraws a waiting statement of a session that was closed.
  void cancel(CallerSessionId Session);
  /// Refuses all waiting statements, because the host stops.
  void refuseAll(TimePoint Now);
  /// Answers another member's request.
  QuotaGrant onRequest(const QuotaRequest &Request, TimePoint Now);
  void onGrant(const HostName &From, const QuotaGrant &Grant, TimePoint Now);
  /// Goes on without the members whose answers are late.
  void tick(TimePoint Now);

  std::size_t waiting() const;

private:
  /// The operations of an account that wait, and the requests for tokens.
  struct AccountQueue {
    std::deque<StatementWork> Waiting;
    /// Index of the next group of members to ask; nothing: none was asked.
    std::optional<std::size_t> NextGroup;
    /// Members whose answers are outstanding, and the request's number.
    std::set<HostName> Asked;
    std::uint64_t Number = 0;
    /// Tokens that each of them was asked for.
    double Part = 0;
    /// One of them had as many tokens as it was asked for, and may have more.
    bool HasMore = false;
    TimePoint AskedAt;
    /// No member had tokens; operations are refused at once until then.
    TimePoint ExhaustedUntil;
    /// Time of return of the latest refused operation.
    TimePoint LatestReturn;
    /// Recent operations of the account per second.
    double Rate = 0;
    TimePoint RateAt;
  };

  void countOperation(AccountQueue &Queue, TimePoint Now);
  void ask(const AccountName &Account, AccountQueue &Queue, TimePoint Now);
  void admitWaiting(const AccountName &Account, AccountQueue &Queue,
                    TimePoint Now);
  void refuseWaiting(const AccountName &Account, AccountQueue &Queue,
                     TimePoint Now);
  void refuse(const StatementWork &Work, AccountQueue &Queue, TimePoint Now);

  Hooks Hooks_;
  QuotaLedger Ledger_;
  std::map<AccountName, AccountQueue> Queues_;
  std::uint64_t LastNumber_ = 0;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_QUOTAADMISSION_H
