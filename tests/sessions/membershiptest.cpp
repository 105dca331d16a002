#include "sessions/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>

namespace nutmegloom {

/// Tests several hosts that independently take member slots in one store.
class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(allOfAFewHostsAreMembers);
  CPPUNIT_TEST(limitsTheMembersOfEachZone);
  CPPUNIT_TEST(weakHostsYieldSlotsToStrongOnes);
  CPPUNIT_TEST(weakHostsTakeSlotsWithoutStrongOnes);
  CPPUNIT_TEST(aRestartedHostReclaimsItsSlot);
  CPPUNIT_TEST(reservesTheSlotOfAStoppedHost);
  CPPUNIT_TEST(takesTheSlotOfAnUnreachableHost);
  CPPUNIT_TEST(keepsTheSlotOfAHostThatIsReachableAgain);
  CPPUNIT_TEST(takesItsSlotAfterALostAnswer);
  CPPUNIT_TEST(writesItsSlotAgainAfterTheStoreLostIt);
  CPPUNIT_TEST(takesItsSlotBackFromARestoredHost);
  CPPUNIT_TEST(retriesTheListUntilTheStoreAnswers);
  CPPUNIT_TEST_SUITE_END();

  TimePoint Now_{std::chrono::hours(1)};
  std::map<std::string, MemberSlot> Store_;
  std::uint64_t Revision_ = 5;
  std::uint64_t Era_ = 0;
  bool StoreDown_ = false;
  bool DropsAnswers_ = false;
  std::vector<std::unique_ptr<Membership>> Hosts_;
  std::size_t Calls_ = 0;
  /// Hosts that the others cannot reach, and since when.
  std::map<HostName, TimePoint> UnreachableSince_;
  /// Store calls to execute and answer after the host's tick has returned.
  std::vector<std::function<void()>> DeferredCalls_;

  Membership &start(const HostName &Name, const ZoneName &Zone,
                    std::size_t Zones, bool HighCapacity = true) {
    std::size_t At = Hosts_.size();
    Membership::Hooks Hooks;
    Hooks.Write = [this, At](const MemberSlot &Slot, StoreRevision Expected) {
      ++Calls_;
      DeferredCalls_.push_back(
          [this, At, Slot, Expected] { writeSlot(At, Slot, Expected); });
    };
    Hooks.List = [this, At](bool) {
      ++Calls_;
      DeferredCalls_.push_back([this, At] { listSlots(At); });
    };
    Hooks.UnreachableFor =
        [this](const HostName &Host,
               TimePoint Now) -> std::optional<Milliseconds> {
      auto Found = UnreachableSince_.find(Host);
      if (Found == UnreachableSince_.end())
        return std::nullopt;
      return std::chrono::floor<Milliseconds>(Now - Found->second);
    };
    Hooks.Decided = [](bool) {};
    ListedHost Location{Name + ":1", Zone, "region"};
    Hosts_.push_back(std::make_unique<Membership>(Name, Location, Zones,
                                                  HighCapacity, Hooks));
    return *Hosts_.back();
  }

  void writeSlot(std::size_t At, MemberSlot Slot, StoreRevision Expected) {
    auto Held = Store_.find(Slot.Name);
    StoreRevision Present =
        Held == Store_.end() ? StoreRevision() : Held->second.Revision;
    WriteOutcome Outcome = WriteOutcome::Conflict;
    if (Present == Expected || !(Present.isSet() || Expected.isSet())) {
      Slot.Revision = StoreRevision(++Revision_, Era_);
      Store_[Slot.Name] = Slot;
      Outcome = WriteOutcome::Written;
    }
    if (DropsAnswers_)
      Outcome = WriteOutcome::Unknown;
    Hosts_[At]->onWritten(Outcome, StoreRevision(Revision_, Era_), Now_);
  }

  void listSlots(std::size_t At) {
    if (StoreDown_) {
      Hosts_[At]->onListFailed();
      return;
    }
    std::vector<MemberSlot> Slots;
    for (const auto &[Name, Slot] : Store_)
      Slots.push_back(Slot);
    Hosts_[At]->onListed(std::move(Slots), StoreRevision(Revision_, Era_),
                         Now_);
  }

  void run(Milliseconds Span) {
    for (TimePoint End = Now_ + Span; Now_ < End; Now_ += Milliseconds{50}) {
      for (auto &Host : Hosts_)
        Host->tick(Now_);
      for (const auto &Call : std::exchange(DeferredCalls_, {}))
        Call();
    }
  }

  /// Returns the store to a copy, in the next era. All hosts hear of it.
  void restore(const std::map<std::string, MemberSlot> &Copy) {
    Store_ = Copy;
    Revision_ = 5;
    ++Era_;
    for (auto &[Name, Slot] : Store_) {
      Slot.Revision.Era = Era_;
      Revision_ = std::max(Revision_, Slot.Revision.Number);
    }
    for (auto &Host : Hosts_)
      Host->onEraChanged();
  }

  std::size_t members() const {
    return static_cast<std::size_t>(
        std::count_if(Hosts_.begin(), Hosts_.end(),
                      [](const auto &Host) { return Host->isMember(); }));
  }

  void allOfAFewHostsAreMembers() {
    for (const char *Zone : {"x", "y", "z"})
      for (int Count = 0; Count < 3; ++Count)
        start(Zone + std::to_string(Count), Zone, 3);
    run(Milliseconds{1000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), members());
  }

  void limitsTheMembersOfEachZone() {
    for (const char *Zone : {"u", "v", "w", "x", "y", "z"})
      for (int Count = 0; Count < 14; ++Count)
        start(Zone + std::to_string(Count), Zone, 6);
    run(Milliseconds{2000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(12), members());
    for (const auto &Host : Hosts_)
      CPPUNIT_ASSERT(Host->isDecided());
  }

  void weakHostsYieldSlotsToStrongOnes() {
    for (int Count = 0; Count < 12; ++Count)
      start("weak" + std::to_string(Count), "z", 6, false);
    Membership &First = start("strong0", "z", 6);
    Membership &Second = start("strong1", "z", 6);
    run(Milliseconds{3000});
    CPPUNIT_ASSERT(First.isMember() && Second.isMember());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), members());
    // Each host lists at the start, and weak hosts again after their wait.
    CPPUNIT_ASSERT(Calls_ < 14 * 2 + 6);
  }

  void weakHostsTakeSlotsWithoutStrongOnes() {
    for (int Count = 0; Count < 12; ++Count)
      start("weak" + std::to_string(Count), "z", 6, false);
    run(Milliseconds{2500});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), members());
  }

  void aRestartedHostReclaimsItsSlot() {
    start("a", "z", 6);
    start("b", "z", 6);
    run(Milliseconds{500});
    Hosts_.clear();
    start("c", "z", 6);
    Membership &Back = start("a", "z", 6);
    run(Milliseconds{500});
    CPPUNIT_ASSERT(Back.isMember());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), members());
  }

  // A host that is stopped for an update comes back to its slot. One that is
  // removed does not, so the slot must be taken by another host in the end.
  void reservesTheSlotOfAStoppedHost() {
    Membership &First = start("a", "z", 6);
    start("b", "z", 6);
    Membership &Other = start("c", "z", 6);
    run(Milliseconds{500});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), members());
    bool WasMember = First.isMember();
    (WasMember ? First : *Hosts_[1]).stop();
    for (const auto &Call : std::exchange(DeferredCalls_, {}))
      Call();
    run(Milliseconds{9000});
    CPPUNIT_ASSERT(!Other.isMember() || members() == 1);
    run(Milliseconds{22000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), members());
  }

  // Guards against losing the slots of machines that are removed for good. The
  // host may also be merely cut off, so the slot must name it as a former
  // holder, for which promoters wait. It steps down when it sees that its slot
  // is taken.
  void takesTheSlotOfAnUnreachableHost() {
    Membership &Gone = start("a", "z", 12);
    start("b", "z", 12);
    run(Milliseconds{500});
    Membership &Next = start("c", "z", 12);
    run(Milliseconds{1000});
    CPPUNIT_ASSERT(Gone.isMember() && !Next.isMember());
    UnreachableSince_["a"] = Now_;
    run(Milliseconds{8000});
    CPPUNIT_ASSERT(!Next.isMember());
    run(Milliseconds{7000});
    CPPUNIT_ASSERT(Next.isMember());
    bool IsRemembered =
        std::any_of(Store_.begin(), Store_.end(), [](const auto &Entry) {
          return Entry.second.Host == "c" && Entry.second.Former.contains("a");
        });
    CPPUNIT_ASSERT(IsRemembered);
    run(Milliseconds{11000});
    CPPUNIT_ASSERT(!Gone.isMember());
  }

  void keepsTheSlotOfAHostThatIsReachableAgain() {
    start("a", "z", 12);
    start("b", "z", 12);
    run(Milliseconds{500});
    Membership &Next = start("c", "z", 12);
    UnreachableSince_["a"] = Now_;
    run(Milliseconds{9000});
    UnreachableSince_.clear();
    run(Milliseconds{20000});
    CPPUNIT_ASSERT(!Next.isMember());
  }

  // Guards against a promotion that does not wait for a member, because the
  // store came back from a copy without its slot.
  void writesItsSlotAgainAfterTheStoreLostIt() {
    start("a", "z", 12);
    run(Milliseconds{500});
    std::map<std::string, MemberSlot> Copy = Store_;
    Membership &Later = start("b", "z", 12);
    run(Milliseconds{500});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Store_.size());
    restore(Copy);
    run(Milliseconds{200});
    CPPUNIT_ASSERT(Later.isMember());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Store_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), members());
  }

  // The same for a slot that the copy names another host for: it may be running
  // as a member, so promotions wait for both.
  void takesItsSlotBackFromARestoredHost() {
    start("a", "z", 12);
    start("b", "z", 12);
    run(Milliseconds{500});
    std::map<std::string, MemberSlot> Copy = Store_;
    Membership &Next = start("c", "z", 12);
    run(Milliseconds{1000});
    UnreachableSince_["a"] = Now_;
    run(Milliseconds{15000});
    CPPUNIT_ASSERT(Next.isMember());
    run(Milliseconds{11000});
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), members());
    restore(Copy);
    run(Milliseconds{200});
    CPPUNIT_ASSERT(Next.isMember());
    bool IsRemembered =
        std::any_of(Store_.begin(), Store_.end(), [](const auto &Entry) {
          return Entry.second.Host == "c" && Entry.second.Former.contains("a");
        });
    CPPUNIT_ASSERT(IsRemembered);
  }

  void takesItsSlotAfterALostAnswer() {
    Membership &Host = start("a", "z", 6);
    DropsAnswers_ = true;
    run(Milliseconds{150});
    DropsAnswers_ = false;
    run(Milliseconds{1500});
    CPPUNIT_ASSERT(Host.isMember());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store_.size());
  }

  void retriesTheListUntilTheStoreAnswers() {
    StoreDown_ = true;
    Membership &Host = start("a", "z", 6);
    run(Milliseconds{3000});
    CPPUNIT_ASSERT(!Host.isMember() && !Host.isDecided());
    StoreDown_ = false;
    run(Milliseconds{1000});
    CPPUNIT_ASSERT(Host.isMember());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace nutmegloom
