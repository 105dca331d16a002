#include "sessions/quotaadmission.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace nutmegloom {

/// Tests rate limits that twelve members in two regions share, on a clock of
/// its own. Messages between members take time and can be lost.
class QuotaAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaAdmissionTest);
  CPPUNIT_TEST(admitsAllBelowTheLimit);
  CPPUNIT_TEST(letsAnAccountUseItsRateAtOneMember);
  CPPUNIT_TEST(admitsSmallAccountsThatMoveBetweenMembers);
  CPPUNIT_TEST(keepsTheLimitInEachWindow);
  CPPUNIT_TEST(keepsTheLimitWhileMembersAreCutOffAndRestarted);
  CPPUNIT_TEST(followsALoweredLimit);
  CPPUNIT_TEST(spreadsTheRefused);
  CPPUNIT_TEST(forgetsCancelledStatements);
  CPPUNIT_TEST(leavesUnlimitedAccountsAlone);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t Members = 12;
  static constexpr Milliseconds Tick{50};
  static constexpr Milliseconds Window{5000};

  struct Member {
    std::unique_ptr<QuotaAdmission> Admission;
    bool CutOff = false;
  };
  struct Load {
    double PerSecond = 0;
    /// Members at which the operations arrive, by turns.
    std::vector<std::size_t> At;
  };

  TimePoint Now_{std::chrono::hours(1)};
  std::multimap<TimePoint, std::function<void()>> Events_;
  std::vector<Member> Members_{Members};
  std::vector<TimePoint> Admitted_;
  std::vector<Milliseconds> Refused_;
  std::map<AccountName, AccountSettings> Accounts_;
  QuotaTolerance Tolerance_{Window, 0.1, 20};
  CallerSessionId LastSession_ = 0;
  std::mt19937 Random_{20261207};

  static HostName nameOfMember(std::size_t Index) {
    return "h" + std::to_string(10 + Index);
  }
  static std::size_t indexOf(const HostName &Name) {
    return std::stoul(Name.substr(1)) - 10;
  }
  static std::size_t regionOf(std::size_t Index) {
    return Index < Members / 2 ? 0 : 1;
  }
  static Milliseconds delayBetween(std::size_t From, std::size_t To) {
    return regionOf(From) == regionOf(To) ? Milliseconds{1} : Milliseconds{8};
  }

  void schedule(Milliseconds Delay, std::function<void()> Event) {
    Events_.emplace(Now_ + Delay, std::move(Event));
  }

  QuotaAdmission::Hooks hooksOf(std::size_t Index) {
    QuotaAdmission::Hooks Hooks;
    Hooks.Admitted = [this](const StatementWork &, TimePoint At) {
      Admitted_.push_back(At);
    };
    Hooks.Refused = [this](const StatementWork &, Milliseconds RetryAfter,
                           TimePoint) { Refused_.push_back(RetryAfter); };
    Hooks.Ask = [this, Index](const HostName &Host,
                              const QuotaRequest &Request) {
      std::size_t To = indexOf(Host);
      if (Members_[Index].CutOff || Members_[To].CutOff)
        return;
      schedule(delayBetween(Index, To), [this, Index, To, Request] {
        QuotaGrant Grant = Members_[To].Admission->onRequest(Request, Now_);
        schedule(delayBetween(Index, To), [this, Index, To, Grant] {
          if (!Members_[Index].CutOff && !Members_[To].CutOff)
            Members_[Index].Admission->onGrant(nameOfMember(To), Grant, Now_);
        });
      });
    };
    Hooks.Members = [Index](TimePoint) {
      std::vector<std::vector<HostName>> Groups(2);
      for (std::size_t Other = 0; Other < Members; ++Other)
        if (Other != Index)
          Groups[regionOf(Other) == regionOf(Index) ? 0 : 1].push_back(
              nameOfMember(Other));
      return Groups;
    };
    return Hooks;
  }

  void start(std::size_t Index) {
    auto &Admission = Members_[Index].Admission;
    Admission = std::make_unique<QuotaAdmission>(hooksOf(Index));
    Admission->ledger().setTolerance(Tolerance_);
    Admission->ledger().configure(Accounts_, Now_);
    Admission->ledger().setMembers(Members, Now_);
  }

  void tick() {
    for (Member &Each : Members_)
      Each.Admission->tick(Now_);
    schedule(Tick, [this] { tick(); });
  }

  void startAll(double Rate, double Burst) {
    AccountSettings &Limited = Accounts_["a"];
    Limited.Account = "a";
    Limited.Quota = {Rate, Burst};
    for (std::size_t Index = 0; Index < Members; ++Index)
      start(Index);
    tick();
  }

  void submit(std::size_t Index) {
    StatementWork Work;
    Work.Session = ++LastSession_;
    Work.Account = "a";
    Members_[Index].Admission->submit(std::move(Work), Now_);
  }

  void arrive(const Load &Offered, std::size_t Number, TimePoint End) {
    if (Now_ >= End)
      return;
    submit(Offered.At[Number % Offered.At.size()]);
    std::exponential_distribution<double> Gap(Offered.PerSecond / 1000);
    auto Next = Milliseconds{std::llround(Gap(Random_))};
    schedule(Next, [=, this] { arrive(Offered, Number + 1, End); });
  }

  void runUntil(TimePoint End) {
    while (!Events_.empty() && Events_.begin()->first <= End) {
      Now_ = Events_.begin()->first;
      std::function<void()> Event = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Event();
    }
    Now_ = End;
  }

  void play(const Load &Offered, Milliseconds Span) {
    TimePoint End = Now_ + Span;
    arrive(Offered, 0, End);
    runUntil(End + Milliseconds{200});
  }

  std::vector<std::size_t> allMembers() const {
    std::vector<std::size_t> All;
    for (std::size_t Index = 0; Index < Members; ++Index)
      All.push_back(Index);
    return All;
  }

  /// Highest number of admitted operations in any window.
  std::size_t mostInAWindow() const {
    std::size_t Most = 0;
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Admitted_.size(); ++Last) {
      while (Admitted_[Last] - Admitted_[First] >= Window)
        ++First;
      Most = std::max(Most, Last - First + 1);
    }
    return Most;
  }

  double tolerated(double Rate, double Burst) const {
    return (Rate * 5 + Burst) * (1 + Tolerance_.Fraction) +
           Tolerance_.Operations;
  }

  // Guards against parts of a limit that lie idle at other members while an
  // account is refused.
  void admitsAllBelowTheLimit() {
    startAll(100, 100);
    runUntil(Now_ + Window);
    play({90, {2, 8}}, Milliseconds{20000});
    CPPUNIT_ASSERT(Admitted_.size() > 1600);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Refused_.size());
  }

  void letsAnAccountUseItsRateAtOneMember() {
    startAll(100, 100);
    play({200, {4}}, Milliseconds{2000});
    Admitted_.clear();
    play({200, {4}}, Milliseconds{10000});
    CPPUNIT_ASSERT(Admitted_.size() >= 980);
  }

  // Guards against a small account that never has a whole token at any member.
  void admitsSmallAccountsThatMoveBetweenMembers() {
    startAll(2, 2);
    runUntil(Now_ + Milliseconds{3000});
    play({1, allMembers()}, Milliseconds{120000});
    CPPUNIT_ASSERT(Admitted_.size() > 90);
    CPPUNIT_ASSERT(Refused_.size() * 50 < Admitted_.size());
  }

  void keepsTheLimitInEachWindow() {
    for (auto [Rate, Burst] : {std::pair{100.0, 100.0}, {2.0, 2.0}, {5, 40}}) {
      Admitted_.clear();
      startAll(Rate, Burst);
      play({Rate * 6, allMembers()}, Milliseconds{20000});
      CPPUNIT_ASSERT(static_cast<double>(mostInAWindow()) <=
                     tolerated(Rate, Burst));
      CPPUNIT_ASSERT(static_cast<double>(Admitted_.size()) >= Rate * 19);
      Events_.clear();
    }
  }

  // Guards against tokens that two members count as theirs, and against a
  // restarted process that begins with what its predecessor has used already.
  void keepsTheLimitWhileMembersAreCutOffAndRestarted() {
    startAll(50, 50);
    schedule(Milliseconds{6000}, [this] { Members_[1].CutOff = true; });
    schedule(Milliseconds{7000}, [this] { Members_[7].CutOff = true; });
    schedule(Milliseconds{9000}, [this] { Members_[1].CutOff = false; });
    for (int Number = 0; Number < 3; ++Number)
      schedule(Milliseconds{10000 + 300 * Number},
               [this, Number] { start(static_cast<std::size_t>(Number)); });
    schedule(Milliseconds{16000}, [this] {
      for (std::size_t Index = 0; Index < Members; ++Index)
        start(Index);
    });
    play({300, allMembers()}, Milliseconds{24000});
    CPPUNIT_ASSERT(static_cast<double>(mostInAWindow()) <= tolerated(50, 50));
    CPPUNIT_ASSERT(Admitted_.size() > std::size_t{50} * 20);
  }

  void followsALoweredLimit() {
    startAll(100, 100);
    play({300, allMembers()}, Milliseconds{10000});
    Accounts_["a"].Quota = {10, 10};
    for (Member &Each : Members_)
      Each.Admission->ledger().configure(Accounts_, Now_);
    Admitted_.clear();
    play({300, allMembers()}, Milliseconds{1000});
    CPPUNIT_ASSERT(!Admitted_.empty());
    play({300, allMembers()}, Milliseconds{9000});
    CPPUNIT_ASSERT(static_cast<double>(mostInAWindow()) <= tolerated(10, 10));
  }

  // Guards against refused operations that all return at the same time.
  void spreadsTheRefused() {
    startAll(12, 12);
    for (int Number = 0; Number < 60; ++Number)
      submit(0);
    runUntil(Now_ + Milliseconds{300});
    CPPUNIT_ASSERT(Refused_.size() >= 30);
    CPPUNIT_ASSERT(std::is_sorted(Refused_.begin(), Refused_.end()));
    CPPUNIT_ASSERT(Refused_.front() >= Milliseconds{100});
    CPPUNIT_ASSERT(Refused_.back() >= Refused_.front() + Milliseconds{2000});
  }

  void forgetsCancelledStatements() {
    Tolerance_ = {};
    startAll(10, 10);
    submit(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Members_[0].Admission->waiting());
    Members_[0].Admission->cancel(LastSession_);
    runUntil(Now_ + Milliseconds{3000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Members_[0].Admission->waiting());
    CPPUNIT_ASSERT(Admitted_.empty());
    CPPUNIT_ASSERT(Refused_.empty());
  }

  void leavesUnlimitedAccountsAlone() {
    startAll(10, 10);
    Accounts_["a"].Quota.reset();
    Members_[0].Admission->ledger().configure(Accounts_, Now_);
    for (int Number = 0; Number < 1000; ++Number)
      submit(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1000), Admitted_.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaAdmissionTest);

} // namespace nutmegloom
