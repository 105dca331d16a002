#include "testing/soak/faults.h"

#include <array>
#include <csignal>
#include <iostream>

namespace nutmegloom::testing {

using std::chrono::milliseconds;

Faults::Faults(boost::asio::io_context &Io, Deployment &To, std::uint32_t Seed)
    : Io_(Io), To_(To), Random_(Seed), Timer_(Io) {}

std::string_view Faults::nameOf(Kind Fault) {
  constexpr std::array<std::string_view, KindCount> Names{
      "kill",           "pause",          "graceful restart", "store down",
      "store slow",     "store silent",   "store one way",    "lost answers",
      "store forgets",  "database crash", "primary crash",    "database silent",
      "database reset", "database slow",  "configuration"};
  return Names[static_cast<std::size_t>(Fault)];
}

int Faults::pick(int Least, int Greatest) {
  return std::uniform_int_distribution<>(Least, Greatest)(Random_);
}

std::string Faults::pickDatabase() {
  return std::string(1, static_cast<char>('a' + pick(0, 2)));
}

void Faults::start() { next(); }

void Faults::stop() {
  Stopped_ = true;
  Timer_.cancel();
  To_.healProxies();
  To_.store().setDown(false);
  To_.store().setLostWrites(0);
  for (std::size_t Host = 0; Host < To_.size(); ++Host)
    To_.signal(Host, SIGCONT);
  DisturbedAt_ = std::chrono::steady_clock::now();
}

void Faults::next() {
  Timer_.expires_after(milliseconds{pick(50, 1500)});
  Timer_.async_wait([this](auto Cancelled) {
    if (Cancelled || Stopped_)
      return;
    inject(static_cast<Kind>(pick(0, KindCount - 1)));
    next();
  });
}

void Faults::later(milliseconds Time, std::function<void()> Call) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Io_, Time);
  Timer->async_wait([this, Timer, Call = std::move(Call)](auto Cancelled) {
    if (Cancelled)
      return;
    DisturbedAt_ = std::chrono::steady_clock::now();
    Call();
  });
}

void Faults::inject(Kind Fault) {
  auto Host =
      static_cast<std::size_t>(pick(0, static_cast<int>(To_.size()) - 1));
  std::string Id = pickDatabase();
  milliseconds Span{pick(200, 4000)};
  std::cout << "fault " << nameOf(Fault) << " host " << Host << " database "
            << Id << " for " << Span.count() << " ms" << std::endl;
  bool IsPlanned =
      Fault == Kind::GracefulRestart || Fault == Kind::Configuration;
  if (!IsPlanned)
    DisturbedAt_ = std::chrono::steady_clock::now();
  FaultProxy &Store = To_.storeProxy(Host);
  FaultProxy &Database = To_.databaseProxy(Id);
  switch (Fault) {
  case Kind::Kill:
    if (To_.isUp(Host))
      To_.restart(Host, /*Gracefully=*/false, Span / 2);
    break;
  case Kind::Pause:
    if (!To_.isUp(Host))
      break;
    To_.signal(Host, SIGSTOP);
    later(Span, [this, Host] { To_.signal(Host, SIGCONT); });
    break;
  case Kind::GracefulRestart:
    if (To_.isUp(Host))
      To_.restart(Host, /*Gracefully=*/true, milliseconds{6500});
    break;
  case Kind::StoreDown:
    To_.store().setDown(true);
    later(Span, [this] { To_.store().setDown(false); });
    break;
  case Kind::StoreSlow:
    Store.setDelay(milliseconds{pick(50, 400)});
    later(Span, [&Store] { Store.heal(); });
    break;
  case Kind::StoreSilent:
    Store.silence();
    break;
  case Kind::StoreOneWay:
    Store.setCut(pick(0, 1) == 0, true);
    later(Span, [&Store] { Store.heal(); });
    break;
  case Kind::StoreLosesAnswers:
    To_.store().setLostWrites(0.4);
    later(Span, [this] { To_.store().setLostWrites(0); });
    break;
  case Kind::StoreForgets:
    To_.store().dropHistory();
    break;
  case Kind::DatabaseCrash:
    To_.crash(Id, Span);
    break;
  case Kind::PrimaryCrash:
    To_.crash(To_.databases().primary(), Span * 2);
    break;
  case Kind::DatabaseSilent:
    Database.silence();
    break;
  case Kind::DatabaseReset:
    Database.reset();
    break;
  case Kind::DatabaseSlow:
    Database.setDelay(milliseconds{pick(10, 200)});
    later(Span, [&Database] { Database.heal(); });
    break;
  case Kind::Configuration:
    To_.configure();
    break;
  }
}

} // namespace nutmegloom::testing
