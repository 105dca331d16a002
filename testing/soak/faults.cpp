#include "testing/soak/faults.h"

#include <array>
#include <csignal>
#include <iostream>

namespace nutmegloom::testing {

using std::chrono::milliseconds;

/// Added to the seed of the changes in the list of databases.
static constexpr std::uint32_t ListSeedOffset = 1000003;
/// Added to the seed of the restores of the store.
static constexpr std::uint32_t RestoreSeedOffset = 2000003;

/// Contents of entries that another program may have written.
static const std::vector<std::string> &oddContents() {
  static const std::string Start =
      R"({"Service":"g","Zone":"z1","State":"ready","DatabaseRole":"primary",)"
      R"("Address":)";
  static const std::string Deep(200000, '[');
  static const std::string DeepEnd(200000, ']');
  static const std::vector<std::string> Contents{
      Start + R"("127.0.0.1:70000"})",
      Start + R"("127.0.0.1:9","Slots":1e999})",
      Start + R"("127.0.0.1:9","born":1e300})",
      Start + R"("127.0.0.1:9","More":)" + Deep + DeepEnd + "}",
      Start + "\"\xff\xfe\"}",
      Start + R"("127.0.0.1:9"})",
      "\"\xff\"",
      "[]"};
  return Contents;
}

Faults::Faults(boost::asio::io_context &Io, Deployment &Target,
               std::uint32_t Seed)
    : Io_(Io), Deployment_(Target), Random_(Seed),
      ListRandom_(Seed + ListSeedOffset),
      RestoreRandom_(Seed + RestoreSeedOffset), Timer_(Io), ListTimer_(Io),
      RestoreTimer_(Io) {}

std::string_view Faults::nameOf(Kind Fault) {
  constexpr std::array<std::string_view, KindCount> Names{
      "kill",           "pause",          "graceful restart", "store down",
      "store slow",     "store silent",   "store one way",    "lost answers",
      "store forgets",  "database crash", "primary crash",    "database silent",
      "database reset", "database slow",  "configuration"};
  return Names[static_cast<std::size_t>(Fault)];
}

int Faults::randomBetween(int Least, int Greatest) {
  return std::uniform_int_distribution<>(Least, Greatest)(Random_);
}

std::string Faults::randomDatabase() {
  return std::string(1, static_cast<char>('a' + randomBetween(0, 2)));
}

int Faults::listRandomBetween(int Least, int Greatest) {
  return std::uniform_int_distribution<>(Least, Greatest)(ListRandom_);
}

void Faults::start() {
  next();
  nextListChange();
  nextRestore();
}

void Faults::stop() {
  Stopped_ = true;
  Timer_.cancel();
  ListTimer_.cancel();
  RestoreTimer_.cancel();
  Deployment_.healProxies();
  Deployment_.store().setDown(false);
  Deployment_.store().setUnansweredWriteShare(0);
  for (std::size_t Host = 0; Host < Deployment_.size(); ++Host)
    Deployment_.signal(Host, SIGCONT);
  LastFaultAt_ = std::chrono::steady_clock::now();
}

void Faults::next() {
  Timer_.expires_after(milliseconds{randomBetween(50, 1500)});
  Timer_.async_wait([this](auto Cancelled) {
    if (Cancelled || Stopped_)
      return;
    inject(static_cast<Kind>(randomBetween(0, KindCount - 1)));
    next();
  });
}

void Faults::nextListChange() {
  ListTimer_.expires_after(milliseconds{listRandomBetween(200, 2000)});
  ListTimer_.async_wait([this](auto Cancelled) {
    if (Cancelled || Stopped_)
      return;
    change(static_cast<ListChange>(listRandomBetween(0, ListChangeCount - 1)));
    nextListChange();
  });
}

int Faults::restoreRandomBetween(int Least, int Greatest) {
  return std::uniform_int_distribution<>(Least, Greatest)(RestoreRandom_);
}

void Faults::nextRestore() {
  RestoreTimer_.expires_after(milliseconds{restoreRandomBetween(1000, 8000)});
  RestoreTimer_.async_wait([this](auto Cancelled) {
    if (Cancelled || Stopped_)
      return;
    restore();
    nextRestore();
  });
}

void Faults::restore() {
  milliseconds Age{restoreRandomBetween(0, 5000)};
  milliseconds Away{restoreRandomBetween(0, 1500)};
  bool KillsAll = restoreRandomBetween(0, 3) == 0;
  std::cout << "store restored in " << (Age + Away).count() << " ms from now"
            << (KillsAll ? ", all processes killed" : "") << std::endl;
  Deployment_.store().copy();
  schedule(Age, [this, KillsAll, Away] {
    if (Stopped_)
      return;
    Deployment_.store().setDown(true);
    for (std::size_t Host = 0; KillsAll && Host < Deployment_.size(); ++Host)
      if (Deployment_.isUp(Host))
        Deployment_.restart(Host, /*Gracefully=*/false, Away);
  });
  schedule(Age + Away, [this] {
    if (Stopped_)
      return;
    Deployment_.store().setDown(false);
    Deployment_.restoreStore();
  });
}

void Faults::change(ListChange Change) {
  milliseconds Duration{listRandomBetween(200, 4000)};
  switch (Change) {
  case ListChange::DatabaseReplaced: {
    std::string Id(1, static_cast<char>('a' + listRandomBetween(0, 2)));
    std::cout << "database " << Id << " replaced for " << Duration.count()
              << " ms" << std::endl;
    Deployment_.replaceDatabase(Id, Duration);
    break;
  }
  case ListChange::OddEntry: {
    int Last = static_cast<int>(oddContents().size()) - 1;
    auto Number = static_cast<std::size_t>(listRandomBetween(0, Last));
    std::cout << "odd entry " << Number << " for " << Duration.count() << " ms"
              << std::endl;
    Deployment_.putOddEntry(oddContents()[Number], Duration);
    break;
  }
  }
}

void Faults::schedule(milliseconds Time, std::function<void()> Action) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Time);
  Timer->async_wait([this, Timer, Action = std::move(Action)](auto Cancelled) {
    if (Cancelled)
      return;
    LastFaultAt_ = std::chrono::steady_clock::now();
    Action();
  });
}

void Faults::inject(Kind Fault) {
  auto Host = static_cast<std::size_t>(
      randomBetween(0, static_cast<int>(Deployment_.size()) - 1));
  std::string Id = randomDatabase();
  milliseconds Duration{randomBetween(200, 4000)};
  std::cout << "fault " << nameOf(Fault) << " host " << Host << " database "
            << Id << " for " << Duration.count() << " ms" << std::endl;
  bool IsPlanned =
      Fault == Kind::GracefulRestart || Fault == Kind::Configuration;
  if (!IsPlanned)
    LastFaultAt_ = std::chrono::steady_clock::now();
  FaultProxy &Store = Deployment_.storeProxy(Host);
  FaultProxy &Database = Deployment_.databaseProxy(Id);
  switch (Fault) {
  case Kind::Kill:
    if (Deployment_.isUp(Host))
      Deployment_.restart(Host, /*Gracefully=*/false, Duration / 2);
    break;
  case Kind::Pause:
    if (!Deployment_.isUp(Host))
      break;
    Deployment_.signal(Host, SIGSTOP);
    schedule(Duration, [this, Host] { Deployment_.signal(Host, SIGCONT); });
    break;
  case Kind::GracefulRestart:
    if (Deployment_.isUp(Host))
      Deployment_.restart(Host, /*Gracefully=*/true, milliseconds{6500});
    break;
  case Kind::StoreDown:
    Deployment_.store().setDown(true);
    schedule(Duration, [this] { Deployment_.store().setDown(false); });
    break;
  case Kind::StoreSlow:
    Store.setDelay(milliseconds{randomBetween(50, 400)});
    schedule(Duration, [&Store] { Store.heal(); });
    break;
  case Kind::StoreSilent:
    Store.silence();
    break;
  case Kind::StoreOneWay:
    Store.setCut(randomBetween(0, 1) == 0, true);
    schedule(Duration, [&Store] { Store.heal(); });
    break;
  case Kind::StoreLosesAnswers:
    Deployment_.store().setUnansweredWriteShare(0.4);
    schedule(Duration,
             [this] { Deployment_.store().setUnansweredWriteShare(0); });
    break;
  case Kind::StoreForgets:
    Deployment_.store().dropHistory();
    break;
  case Kind::DatabaseCrash:
    Deployment_.crash(Id, Duration);
    break;
  case Kind::PrimaryCrash:
    Deployment_.crash(Deployment_.databases().primary(), Duration * 2);
    break;
  case Kind::DatabaseSilent:
    Database.silence();
    break;
  case Kind::DatabaseReset:
    Database.reset();
    break;
  case Kind::DatabaseSlow:
    Database.setDelay(milliseconds{randomBetween(10, 200)});
    schedule(Duration, [&Database] { Database.heal(); });
    break;
  case Kind::Configuration:
    Deployment_.putNextConfiguration();
    break;
  }
}

} // namespace nutmegloom::testing
