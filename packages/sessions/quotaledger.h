#ifndef NUTMEGLOOM_SESSIONS_QUOTALEDGER_H
#define NUTMEGLOOM_SESSIONS_QUOTALEDGER_H

#include "sessions/sessiontypes.h"

namespace nutmegloom {

/// Operations that were counted in the latest window of time.
class WindowCount {
public:
  /// Begins with operations of an unknown past, which leave the window at a
  /// steady rate: Returning of them within the window, the rest at its end.
  void start(Milliseconds Window, double Counted, double Returning,
             TimePoint Now);
  void add(double Operations, TimePoint Now);
  void scale(double Factor);
  double countedAt(TimePoint Now);

private:
  static constexpr std::size_t Slots = 20;

  void advance(TimePoint Now);
  Milliseconds slotLength() const;

  Milliseconds Window_{0};
  std::array<double, Slots> Counts_{};
  double Sum_ = 0;
  /// Number of the present slot since the start of the clock.
  std::int64_t Slot_ = 0;
};

/// This member's part of the rate limits of client accounts.
///
/// A limit holds for all hosts together: in any window of time an account may
/// begin as many operations as its rate allows in the window, and its burst.
/// Each member has an equal part of that. Two bounds hold for the part: a count
/// of the operations in the window, and a token bucket, which holds the part of
/// the burst and spreads what the window allows evenly over it.
///
/// Members pass tokens on to one another, so that an account may use its whole
/// limit at one host. A token is counted where it came from before it is sent,
/// so that a lost message loses tokens and never makes any. What a former
/// process of this host has admitted is not known: a new one begins with a full
/// window, and with a part of what the limits tolerate.
class QuotaLedger {
public:
  /// Sets the window, and how far a limit may be exceeded within it. Without a
  /// window, the limit is a token bucket of the rate and the burst.
  void setTolerance(const QuotaTolerance &Tolerance) { Tolerance_ = Tolerance; }
  void configure(const std::map<AccountName, AccountSettings> &Accounts,
                 TimePoint Now);
  /// Sets the number of members among which the limits are divided; zero: this
  /// host has no part of them.
  void setMembers(std::size_t Members, TimePoint Now);

  /// True for an account with a limit.
  bool isLimited(const AccountName &Account) const;
  /// Takes a token. Returns false if there is none.
  bool tryTake(const AccountName &Account, TimePoint Now);
  /// Tokens that may be taken now, with those received from other members.
  double tokensOf(const AccountName &Account, TimePoint Now);
  /// Subtracts up to Wanted tokens of this member's part, which are to be sent
  /// to another member, and returns their number.
  double give(const AccountName &Account, double Wanted, TimePoint Now);
  /// Adds tokens from another member. They are valid for a short time only.
  void receive(const AccountName &Account, double Tokens, TimePoint Now);
  /// Time in which this member's part of the limit yields a token.
  Milliseconds tokenInterval(const AccountName &Account) const;

private:
  struct Bucket {
    AccountQuota Limit;
    /// The counts have begun, as this host has a part of the limits.
    bool Started = false;
    double Tokens = 0;
    TimePoint RefilledAt;
    WindowCount Used;
    /// Tokens from other members, which are counted there.
    double Received = 0;
    TimePoint ReceivedUntil;
  };

  double partOf(double Whole) const;
  double ratePerSecond(const Bucket &Of) const;
  double capacityOf(const Bucket &Of) const;
  double windowLimitOf(const Bucket &Of) const;
  void begin(Bucket &Of, TimePoint Now) const;
  void beginAll(TimePoint Now);
  Bucket *refilled(const AccountName &Account, TimePoint Now);
  double ownTokensOf(Bucket &Of, TimePoint Now) const;
  static void useOwn(Bucket &Of, double Tokens, TimePoint Now);

  QuotaTolerance Tolerance_;
  std::size_t Members_ = 0;
  std::map<AccountName, Bucket> Buckets_;
};

} // namespace nutmegloom

#endif // NUTMEGLOOM_SESSIONS_QUOTALEDGER_H
